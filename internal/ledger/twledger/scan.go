package twledger

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/ledger/twentry"
)

const (
	scanInterval = 2 * time.Second
	scanRows     = 200
	// isolatedWait is how long a lease must stand unchanged before a daemon that may itself be cut off
	// takes it over.
	isolatedWait = time.Minute
	maxObserved  = 1 << 16
)

// observation is when this daemon first saw the lease at its version.
type observation struct {
	version          int64
	takeoverDeadline time.Time
}

// scan looks through the leases of this daemon's partitions and takes those that nobody works on.
func (l *Ledger) scan(ctx context.Context) {
	counts := make(map[string]int)
	owned := 0
	for p := range twentry.Partitions {
		if l.partitionOwner(p) != l.config.Incarnation {
			continue
		}
		owned++
		l.scanPartition(ctx, p, counts)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open, l.owned = counts, owned
}

func (l *Ledger) partitionOwner(partition int) string {
	leaders := l.config.Peers.Leaders()
	if len(leaders) == 0 {
		return ""
	}
	return rendezvous.New(leaders, xxhash.Sum64String).Lookup("ledger/" + strconv.Itoa(partition))
}

func (l *Ledger) scanPartition(ctx context.Context, partition int, counts map[string]int) {
	after := ""
	for {
		rows, err := l.config.Table.List(ctx, twentry.LeasePrefix(partition), after, scanRows)
		if err != nil {
			return
		}
		for _, row := range rows {
			l.consider(ctx, row, counts)
		}
		if len(rows) < scanRows {
			return
		}
		after = rows[len(rows)-1].Key
	}
}

func (l *Ledger) consider(ctx context.Context, row turmericwall.Row, counts map[string]int) {
	var lease twentry.Lease
	if json.Unmarshal(row.Value, &lease) != nil {
		return
	}
	counts[lease.Account]++
	if !l.mayTake(lease, row.Version) || !l.reserve(lease.ID) {
		return
	}
	if !l.take(ctx, lease, row.Version) {
		l.unreserve(twentry.Lease{ID: lease.ID, Owner: l.config.Incarnation})
	}
}

// mayTake allows a lease that nobody holds, or whose owner counts as lost. Being wrong about that costs
// work done twice; the answer is still written once.
func (l *Ledger) mayTake(lease twentry.Lease, version int64) bool {
	switch {
	case lease.Owner == "":
		return true
	case lease.Owner == l.config.Incarnation:
		return !l.isRunning(lease.ID)
	case l.config.Peers.Live(lease.Owner):
		return false
	case !l.config.Peers.Isolated():
		return true
	}
	return l.stoodStill(lease.ID, version)
}

func (l *Ledger) stoodStill(id string, version int64) bool {
	now := l.config.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	seen, ok := l.observed[id]
	if !ok || seen.version != version {
		if len(l.observed) >= maxObserved {
			clear(l.observed)
		}
		l.observed[id] = observation{version: version, takeoverDeadline: now.Add(isolatedWait)}
		return false
	}
	return now.After(seen.takeoverDeadline)
}

func (l *Ledger) take(ctx context.Context, lease twentry.Lease, version int64) bool {
	previous := lease.Owner
	lease.Owner = l.config.Incarnation
	value, err := json.Marshal(lease)
	if err != nil {
		return false
	}
	err = l.config.Writer.Write(ctx, turmericwall.Write{Key: twentry.LeaseKey(lease.ID), IfVersion: version, Value: value})
	if err != nil {
		return false
	}
	l.config.Recorder.Record(turmericwall.EventDeferrableLeased).Str("request", lease.ID).Str("previousOwner", previous).Send()
	l.starts <- leased{lease: lease, version: version + 1}
	return true
}

// reserve claims one of the daemon's places for the entry.
func (l *Ledger) reserve(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.running[id]; ok || l.draining || len(l.running) >= maxRunning {
		return false
	}
	l.running[id] = func() {}
	return true
}

func (l *Ledger) unreserve(lease twentry.Lease) {
	if lease.Owner == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, lease.ID)
}

func (l *Ledger) isRunning(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.running[id]
	return ok
}

// overLimit estimates the account's open entries from this daemon's partitions.
func (l *Ledger) overLimit(account string) bool {
	document, ok := l.config.Documents.Current()
	if !ok {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.owned == 0 {
		return false
	}
	estimate := l.open[account] * twentry.Partitions / l.owned
	for _, a := range document.Accounts() {
		if a.Name == account {
			return estimate >= a.OpenDeferrable
		}
	}
	return false
}
