// Package twtable is the HTTP client of the platform's table service. Everything that a daemon must not lose is stored
// through it: claims, deferrable requests and configuration documents.
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
	// commitTimeout bounds the retries of a transaction whose answer was lost.
	commitTimeout      = 5 * time.Second
	firstRetryInterval = 50 * time.Millisecond
)

// Table implements turmericwall.Table over HTTP.
type Table struct {
	client *twhttp.Client
}

// New returns a Table that sends its requests through the client.
func New(client *twhttp.Client) *Table { return &Table{client: client} }

// Get returns the row, and false when there is none.
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

// List returns at most limit rows whose key starts with prefix and sorts after the key after, in the order of their
// keys.
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

// Commit applies all writes of the transaction, or none and returns a *turmericwall.ConflictError. It retries for up to
// commitTimeout while the platform is unavailable; after that the transaction may have taken effect.
//
// An answer can be lost after the writes took effect. The same transaction is then sent again: its conditions prevent
// it from taking effect twice, and a conflict with a row that carries the transaction's own token means that the
// earlier one took effect.
func (t *Table) Commit(ctx context.Context, transaction turmericwall.Transaction) error {
	retryInterval := backoff.NewExponentialBackOff()
	retryInterval.InitialInterval = firstRetryInterval
	answerLost := false
	attempt := func() (bool, error) {
		err := t.commitOnce(ctx, transaction, answerLost)
		if err != nil && !turmericwall.IsKind(err, turmericwall.KindStoreUnavailable) {
			return false, backoff.Permanent(err)
		}
		answerLost = err != nil
		return err == nil, err
	}
	_, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(retryInterval), backoff.WithMaxElapsedTime(commitTimeout))
	return err
}

func (t *Table) commitOnce(ctx context.Context, transaction turmericwall.Transaction, answerLost bool) error {
	reply, err := t.client.Post(ctx, "/table/transactions", transaction)
	if err != nil {
		return fmt.Errorf("commit %d writes: %w", len(transaction.Writes), err)
	}
	switch reply.Status() {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return t.resolveConflict(ctx, transaction, reply, answerLost)
	default:
		return fmt.Errorf("commit %d writes: the platform answered status %d, check its version",
			len(transaction.Writes), reply.Status())
	}
}

// conflictReply is the body of a conflict; it names the row whose condition failed.
type conflictReply struct {
	Key string `json:"key"`
}

// resolveConflict returns the conflict in the reply, or nil when an earlier attempt of the transaction took effect.
func (t *Table) resolveConflict(
	ctx context.Context, transaction turmericwall.Transaction, reply twhttp.Reply, answerLost bool,
) error {
	var conflict conflictReply
	if err := reply.Decode(&conflict); err != nil {
		return err
	}
	if !answerLost {
		return turmericwall.NewConflictError(conflict.Key)
	}
	return t.confirmCommit(ctx, transaction, conflict.Key)
}

// confirmCommit returns nil when one of the transaction's rows carries its token, and the conflict otherwise. The
// writes took effect together, so one row that carries the token is enough.
func (t *Table) confirmCommit(
	ctx context.Context, transaction turmericwall.Transaction, conflictingKey string,
) error {
	for _, w := range transaction.Writes {
		row, ok, err := t.Get(ctx, w.Key)
		if err != nil {
			return err
		}
		if ok && row.Token == transaction.Token {
			return nil
		}
	}
	return turmericwall.NewConflictError(conflictingKey)
}
