package turmericwall

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryLost is returned if the store no longer has the changes after the requested version. All rows must be read
// again.
var ErrHistoryLost = errors.New("the store no longer keeps these changes; read all rows again")

// FeedRow is one row of a table, or a record of its removal if Removed is set.
type FeedRow struct {
	Key   string
	Value []byte
	// Version increases with each write, also when the store continues from a copy; see package twposition.
	Version int64
	Removed bool
}

// Snapshot is the result of one read of a table.
type Snapshot struct {
	Rows []FeedRow
	// Version is the store's newest version at the time of the read. The next read of changes starts after it. It is
	// lower than one read before only if a lagging replica answered.
	Version int64
}

// Feed reads small tables and their changes.
type Feed interface {
	// Rows returns all rows of the table as of one time.
	Rows(ctx context.Context, table string) (Snapshot, error)
	// Changes returns the changes after the version and waits up to wait if there are none. It returns ErrHistoryLost
	// if the store no longer has them, or has continued from a copy since it gave out that version.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Snapshot, error)
}

// RowWriter writes single rows conditionally.
type RowWriter interface {
	// CompareAndSwap writes the row if it has the version ifVersion; 0 means that the row must not exist. If ok is
	// false, current is the row in the store, with version 0 if there is none. After an error the write may have taken
	// effect, or may still do so.
	CompareAndSwap(
		ctx context.Context, table, key string, ifVersion int64, value []byte,
	) (version int64, current FeedRow, ok bool, err error)
}

// Decoder decodes rows that the operator and the upstreams wrote in the platform's format.
type Decoder interface {
	// Plan decodes the operator's configuration.
	Plan(value []byte) (*RoutePlan, error)
	// Upstream decodes the entry that an upstream wrote under its ID.
	Upstream(id string, value []byte) (Upstream, error)
}
