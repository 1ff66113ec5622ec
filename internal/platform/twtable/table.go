// Package twtable is the client of the platform's table service.
package twtable

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/platform/twhttp"
)

const (
	settleFor     = 5 * time.Second
	firstInterval = 50 * time.Millisecond
)

// Table implements turmericwall.Table over HTTP.
type Table struct {
	client *twhttp.Client
}

// New returns a table that calls through the client.
func New(client *twhttp.Client) *Table { return &Table{client: client} }

// Get reads one row.
func (t *Table) Get(ctx context.Context, key string) (turmericwall.Row, bool, error) {
	reply, err := t.client.Get(ctx, "/table/row?key="+url.QueryEscape(key))
	if err != nil {
		return turmericwall.Row{}, false, fmt.Errorf("read row %q: %w", key, err)
	}
	if reply.Status() == http.StatusNotFound {
		return turmericwall.Row{}, false, nil
	}
	var row turmericwall.Row
	if err := reply.Decode(&row); err != nil {
		return turmericwall.Row{}, false, err
	}
	return row, true, nil
}

// List reads a run of rows in the order of their keys.
func (t *Table) List(ctx context.Context, prefix, after string, limit int) ([]turmericwall.Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	reply, err := t.client.Get(ctx, "/table/rows?"+query.Encode())
	if err != nil {
		return nil, fmt.Errorf("list rows %q: %w", prefix, err)
	}
	var rows []turmericwall.Row
	if err := reply.Decode(&rows); err != nil {
		return nil, err
	}
	return rows, nil
}

// Commit applies the transaction.
//
// An answer can be lost after the writes took effect. The same transaction is then sent again: its
// conditions keep it from taking effect twice, and a conflict with a row that carries the
// transaction's own token means that the first one did take effect.
func (t *Table) Commit(ctx context.Context, transaction turmericwall.Transaction) error {
	interval := backoff.NewExponentialBackOff()
	interval.InitialInterval = firstInterval
	lost := false
	attempt := func() (bool, error) {
		err := t.commitOnce(ctx, transaction, lost)
		if err != nil && !turmericwall.IsKind(err, turmericwall.KindStoreUnavailable) {
			return false, backoff.Permanent(err)
		}
		lost = err != nil
		return err == nil, err
	}
	_, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(interval), backoff.WithMaxElapsedTime(settleFor))
	return err
}

func (t *Table) commitOnce(ctx context.Context, transaction turmericwall.Transaction, lost bool) error {
	reply, err := t.client.Post(ctx, "/table/transactions", transaction)
	if err != nil {
		return fmt.Errorf("commit %d writes: %w", len(transaction.Writes), err)
	}
	switch reply.Status() {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return t.conflict(ctx, transaction, reply, lost)
	default:
		return fmt.Errorf("commit %d writes: the platform answered status %d, check its version", len(transaction.Writes), reply.Status())
	}
}

type conflictReply struct {
	Key string `json:"key"`
}

func (t *Table) conflict(ctx context.Context, transaction turmericwall.Transaction, reply twhttp.Reply, lost bool) error {
	var conflict conflictReply
	if err := reply.Decode(&conflict); err != nil {
		return err
	}
	if !lost {
		return turmericwall.NewConflictError(conflict.Key)
	}
	return t.settle(ctx, transaction, conflict.Key)
}

// settle looks for the transaction's token in the rows it wrote: the writes took effect together,
// so one row that carries the token is enough.
func (t *Table) settle(ctx context.Context, transaction turmericwall.Transaction, conflicting string) error {
	for _, w := range transaction.Writes {
		row, ok, err := t.Get(ctx, w.Key)
		if err != nil {
			return err
		}
		if ok && row.Token == transaction.Token {
			return nil
		}
	}
	return turmericwall.NewConflictError(conflicting)
}
