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
	// scanRows is the number of rows that one List call of a scan returns.
	scanRows = 200
	// isolatedTakeoverDelay is how long a lease must stay unchanged before a daemon that may itself be partitioned
	// takes it over.
	isolatedTakeoverDelay = time.Minute
	// maxObservations bounds the observed leases; when it is reached, all observations are discarded.
	maxObservations = 1 << 16
)

// observation is a lease version that this daemon saw, with the time from which it may take the lease over.
type observation struct {
	version    int64
	takeoverAt time.Time
}

// scanPartitions lists the leases of the partitions that this daemon owns, counts the open entries of each account, and
// acquires the leases of entries that no daemon processes.
func (l *Ledger) scanPartitions(ctx context.Context) {
	counts := make(map[string]int)
	ownedPartitions := 0
	for p := range twentry.Partitions {
		if l.partitionOwner(p) != l.config.Incarnation {
			continue
		}
		ownedPartitions++
		l.scanPartition(ctx, p, counts)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openByAccount, l.ownedPartitions = counts, ownedPartitions
}

// partitionOwner returns the incarnation that scans the partition, by rendezvous hashing over the live daemons.
func (l *Ledger) partitionOwner(partition int) string {
	leaders := l.config.Peers.EligibleLeaders()
	if len(leaders) == 0 {
		return ""
	}
	return rendezvous.New(leaders, xxhash.Sum64String).Lookup("ledger/" + strconv.Itoa(partition))
}

// scanPartition lists the leases of one partition; an error ends it, and the next scan starts over.
func (l *Ledger) scanPartition(ctx context.Context, partition int, counts map[string]int) {
	after := ""
	for {
		rows, err := l.config.Table.List(ctx, twentry.LeasePrefix(partition), after, scanRows)
		if err != nil {
			return
		}
		for _, row := range rows {
			l.considerLease(ctx, row, counts)
		}
		if len(rows) < scanRows {
			return
		}
		after = rows[len(rows)-1].Key
	}
}

// considerLease counts the lease for its account and acquires it if this daemon may.
func (l *Ledger) considerLease(ctx context.Context, row turmericwall.Row, counts map[string]int) {
	var lease twentry.Lease
	if json.Unmarshal(row.Value, &lease) != nil {
		return
	}
	counts[lease.Account]++
	if !l.mayAcquire(lease, row.Version) || !l.reserveSlot(lease.ID) {
		return
	}
	if !l.acquireLease(ctx, lease, row.Version) {
		l.releaseSlot(twentry.Lease{ID: lease.ID, Owner: l.config.Incarnation})
	}
}

// mayAcquire reports whether this daemon may acquire the lease: it has no owner, or its owner is no longer live. If
// that is wrong, the entry is processed twice; its answer is still written once.
func (l *Ledger) mayAcquire(lease twentry.Lease, version int64) bool {
	switch {
	case lease.Owner == "":
		return true
	case lease.Owner == l.config.Incarnation:
		return !l.isRunning(lease.ID)
	case l.config.Peers.IsLive(lease.Owner):
		return false
	case !l.config.Peers.IsPartitioned():
		return true
	}
	return l.leaseUnchanged(lease.ID, version)
}

// leaseUnchanged reports whether the lease has had this version for isolatedTakeoverDelay.
func (l *Ledger) leaseUnchanged(id string, version int64) bool {
	now := l.config.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	seen, ok := l.observations[id]
	if !ok || seen.version != version {
		if len(l.observations) >= maxObservations {
			clear(l.observations)
		}
		l.observations[id] = observation{version: version, takeoverAt: now.Add(isolatedTakeoverDelay)}
		return false
	}
	return now.After(seen.takeoverAt)
}

// acquireLease writes this daemon as the owner of the lease and hands it to Run. It returns false when the write fails.
func (l *Ledger) acquireLease(ctx context.Context, lease twentry.Lease, version int64) bool {
	previousOwner := lease.Owner
	lease.Owner = l.config.Incarnation
	value, err := json.Marshal(lease)
	if err != nil {
		return false
	}
	err = l.config.Writer.Write(ctx,
		turmericwall.Write{Key: twentry.LeaseKey(lease.ID), IfVersion: version, Value: value})
	if err != nil {
		return false
	}
	l.config.Recorder.Record(turmericwall.EventDeferrableLeased).
		Str("request", lease.ID).Str("previousOwner", previousOwner).Send()
	l.acquired <- heldLease{lease: lease, version: version + 1}
	return true
}

// reserveSlot reserves one of this daemon's maxRunning slots for the entry. It returns false when the entry already has
// one, when no slot is free, or while the daemon drains.
func (l *Ledger) reserveSlot(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.running[id]; ok || l.draining || len(l.running) >= maxRunning {
		return false
	}
	l.running[id] = func() {}
	return true
}

// releaseSlot releases the slot of the entry; a lease without an owner has none.
func (l *Ledger) releaseSlot(lease twentry.Lease) {
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

// overLimit reports whether the account has reached its limit of open entries. It extrapolates from the partitions that
// this daemon owns.
func (l *Ledger) overLimit(account string) bool {
	document, ok := l.config.Documents.Current()
	if !ok {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ownedPartitions == 0 {
		return false
	}
	estimate := l.openByAccount[account] * twentry.Partitions / l.ownedPartitions
	for _, a := range document.Accounts() {
		if a.Name == account {
			return estimate >= a.OpenDeferrable
		}
	}
	return false
}
