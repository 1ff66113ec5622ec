// Package twledger keeps deferrable requests until they are answered.
package twledger

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/ledger/twentry"
	"github.com/turmericwall/turmericwall/internal/platform/twclear"
)

const (
	// submitTimeout bounds the wait for an entry's rows.
	submitTimeout = 5 * time.Second
	// inlineBytes is the longest prompt that stands in the row itself.
	inlineBytes = 16 << 10
	// lifetime is how long an answer can be fetched.
	lifetime = 7 * 24 * time.Hour
	retryAt  = 5 * time.Second
	// maxRunning bounds the entries that one daemon works on at a time.
	maxRunning = 32
)

// Ledger accepts deferrable requests, works on them, and answers for them.
//
// An accepted request must not go missing, whichever VMs are replaced, and must be answered once. It is
// durable before it is accepted. Any daemon may take its lease over when the owner counts as lost; the
// lease row's version keeps a former owner that wakes up from writing a second answer.
type Ledger struct {
	config  Config
	clearer *twclear.Clearer
	starts  chan leased

	mu       sync.Mutex
	running  map[string]context.CancelFunc
	draining bool
	open     map[string]int
	owned    int
	observed map[string]observation
}

// Config names what the ledger works with.
type Config struct {
	Incarnation string
	Table       turmericwall.Table
	Writer      turmericwall.Writer
	Objects     turmericwall.ObjectStore
	Peers       turmericwall.Peers
	Documents   turmericwall.Documents
	Deliverer   turmericwall.Deliverer
	Clock       clockwork.Clock
	Recorder    turmericwall.Recorder
}

// leased is an entry whose lease this daemon holds.
type leased struct {
	lease   twentry.Lease
	version int64
}

// New returns a ledger; it works on entries while Run runs.
func New(config Config) *Ledger {
	l := &Ledger{
		config:   config,
		starts:   make(chan leased, maxRunning),
		running:  make(map[string]context.CancelFunc),
		open:     make(map[string]int),
		observed: make(map[string]observation),
	}
	l.clearer = twclear.New(twclear.Config{
		Table: config.Table, Writer: config.Writer, Clock: config.Clock, Prefixes: entryPrefixes(), Expired: expired,
	})
	return l
}

// Submit makes the entry durable; the same entry again is no error. It returns a problem of kind
// KindKeyReused for another entry under the same name.
func (l *Ledger) Submit(ctx context.Context, entry twentry.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if l.overLimit(entry.Account) {
		return turmericwall.NewProblem(turmericwall.KindOverLimit, "the account has too many requests without an answer",
			"come back when some are answered").WithRetryAt(l.config.Clock.Now().Add(retryAt))
	}
	entry.State, entry.At = twentry.StateOpen, l.config.Clock.Now().UTC()
	if err := l.storePrompt(ctx, &entry); err != nil {
		return notAccepted(err)
	}
	lease := twentry.Lease{ID: entry.ID, Account: entry.Account}
	if l.reserve(entry.ID) {
		lease.Owner = l.config.Incarnation
	}
	err := l.writeNew(ctx, entry, lease)
	switch {
	case turmericwall.IsConflict(err):
		l.unreserve(lease)
		return l.sameEntry(ctx, entry)
	case err != nil:
		l.unreserve(lease)
		return notAccepted(err)
	}
	l.config.Recorder.Record(turmericwall.EventDeferrableAccepted).Str("request", entry.ID).Str("account", entry.Account).Send()
	if lease.Owner != "" {
		l.starts <- leased{lease: lease, version: 1}
	}
	return nil
}

// Fetch returns the entry, with its answer once it ended.
func (l *Ledger) Fetch(ctx context.Context, id string) (twentry.Entry, error) {
	entry, _, err := l.read(ctx, id)
	return entry, err
}

// Cancel ends the entry without an answer, unless it ended before.
func (l *Ledger) Cancel(ctx context.Context, id string) error {
	entry, version, err := l.read(ctx, id)
	if err != nil || entry.State != twentry.StateOpen {
		return err
	}
	row, ok, err := l.config.Table.Get(ctx, twentry.LeaseKey(id))
	if err != nil {
		return err
	}
	if !ok {
		return nil
	}
	entry.State, entry.Prompt = twentry.StateCancelled, ""
	err = l.end(ctx, entry, version, row.Version)
	if turmericwall.IsConflict(err) {
		return turmericwall.NewProblem(turmericwall.KindConflict, "the request changed hands meanwhile", "cancel it again")
	}
	l.stop(id)
	return err
}

func (l *Ledger) storePrompt(ctx context.Context, entry *twentry.Entry) error {
	if len(entry.Prompt) <= inlineBytes {
		return nil
	}
	name := "prompts/" + entry.ID + "-" + entry.BodyHash
	if err := l.config.Objects.Put(ctx, name, []byte(entry.Prompt)); err != nil {
		return err
	}
	entry.Prompt, entry.PromptObject = "", name
	return nil
}

func (l *Ledger) writeNew(ctx context.Context, entry twentry.Entry, lease twentry.Lease) error {
	entryValue, err := json.Marshal(entry)
	if err != nil {
		return fmt.Errorf("encode an entry: %w", err)
	}
	leaseValue, err := json.Marshal(lease)
	if err != nil {
		return fmt.Errorf("encode a lease: %w", err)
	}
	return l.config.Writer.Write(ctx,
		turmericwall.Write{Key: twentry.EntryKey(entry.ID), Value: entryValue},
		turmericwall.Write{Key: twentry.LeaseKey(entry.ID), Value: leaseValue})
}

// sameEntry tells a repeated submission from another one under the same key.
func (l *Ledger) sameEntry(ctx context.Context, entry twentry.Entry) error {
	known, _, err := l.read(ctx, entry.ID)
	if err != nil {
		return err
	}
	if known.BodyHash != entry.BodyHash {
		return turmericwall.NewProblem(turmericwall.KindKeyReused, "the key was used for another request",
			"use a new Idempotency-Key for each request")
	}
	return nil
}

func (l *Ledger) read(ctx context.Context, id string) (twentry.Entry, int64, error) {
	row, ok, err := l.config.Table.Get(ctx, twentry.EntryKey(id))
	if err != nil {
		return twentry.Entry{}, 0, err
	}
	if !ok {
		return twentry.Entry{}, 0, turmericwall.NewProblem(turmericwall.KindNotFound,
			"no such request", "use the address from the Location header; answers are kept for seven days")
	}
	var entry twentry.Entry
	if err := json.Unmarshal(row.Value, &entry); err != nil {
		return twentry.Entry{}, 0, fmt.Errorf("decode entry %s, restore its row from the platform's backup: %w", id, err)
	}
	return entry, row.Version, nil
}

// end writes the ended entry and takes its lease away, in one transaction.
func (l *Ledger) end(ctx context.Context, entry twentry.Entry, version, leaseVersion int64) error {
	value, err := json.Marshal(entry)
	if err != nil {
		return fmt.Errorf("encode an entry: %w", err)
	}
	return l.config.Writer.Write(ctx,
		turmericwall.Write{Key: twentry.EntryKey(entry.ID), IfVersion: version, Value: value},
		turmericwall.Write{Key: twentry.LeaseKey(entry.ID), IfVersion: leaseVersion, Delete: true})
}

func notAccepted(cause error) error {
	return turmericwall.NewProblem(turmericwall.KindStoreUnavailable,
		"the request could not be stored, and was not accepted", "send it again with the same Idempotency-Key").
		WithCause(cause)
}

func entryPrefixes() []string {
	prefixes := make([]string, 0, twentry.Partitions)
	for p := range twentry.Partitions {
		prefixes = append(prefixes, twentry.EntryPrefix(p))
	}
	return prefixes
}

func expired(value []byte, now time.Time) bool {
	var entry twentry.Entry
	if err := json.Unmarshal(value, &entry); err != nil {
		return false
	}
	return entry.State != twentry.StateOpen && now.After(entry.At.Add(lifetime))
}
