package twcluster

import (
	"context"
	"encoding/json"
	"time"

	"github.com/turmericwall/turmericwall"
)

// knowOthers writes this daemon's address, and reads the others' while it is the leader.
//
// It has a loop of its own: a leader that is cut off from the store waits 1.5 s for each call. Between two heartbeats, that
// silenced it while it lived, and at the peak 208 calls were placed by daemons that each knew a part of the load.
func (c *Cluster) knowOthers(ctx context.Context) error {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	registered := false
	var registerAt, readAt time.Time
	for {
		if now := time.Now(); !registered && !now.Before(registerAt) {
			registered = c.register(ctx)
			registerAt = now.Add(failedReadEvery)
		}
		if _, keeping := c.config.Keeping(); !keeping {
			readAt = time.Time{}
		} else if now := time.Now(); now.After(readAt) {
			readAt = now.Add(c.read(ctx))
			wake(c.known)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.elected:
		case <-tick.C:
		}
	}
}

// register writes this daemon's address, so that a leader finds it.
func (c *Cluster) register(ctx context.Context) bool {
	value, err := json.Marshal(c.config.Self)
	if err != nil {
		return false
	}
	version := int64(0)
	for range 3 {
		_, current, ok, err := c.config.Store.Swap(ctx, table, c.config.Self.Name, version, value)
		if err != nil {
			c.config.Recorder.Record(turmericwall.EventStoreUnavailable).Str("table", table).Err(err).Send()
			return false
		}
		if ok {
			return true
		}
		version = current.Version
	}
	return false
}

// read learns the daemons' addresses and returns the pause until the next read.
func (c *Cluster) read(ctx context.Context) time.Duration {
	snapshot, err := c.config.Store.Rows(ctx, table)
	if err != nil {
		c.config.Recorder.Record(turmericwall.EventStoreUnavailable).Str("table", table).Err(err).Send()
		return failedReadEvery
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, row := range snapshot.Rows {
		var m turmericwall.Member
		if json.Unmarshal(row.Value, &m) != nil || m.Name == c.config.Self.Name || m.Address == "" {
			continue
		}
		known, ok := c.members[m.Name]
		if !ok {
			c.members[m.Name] = &member{Member: m}
			continue
		}
		known.Address = m.Address
	}
	return readEvery
}
