// Package twledger stores deferrable requests in the platform's table until they are answered. The edge submits such a
// request, and fetches its answer later; any daemon may acquire its lease, run it through prefill and decode, and write
// the answer.
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
	"github.com/turmericwall/turmericwall/internal/platform/twexpiry"
)

const (
	// submitTimeout bounds the wait until an entry's rows are stored.
	submitTimeout = 5 * time.Second
	// maxInlinePromptBytes is the longest prompt that is stored in the entry's row; longer ones become objects.
	maxInlinePromptBytes = 16 << 10
	// entryLifetime is how long an entry is kept after it was accepted, once it has ended.
	entryLifetime = 7 * 24 * time.Hour
	// overLimitRetryDelay is the Retry-After for an account with too many open entries.
	overLimitRetryDelay = 5 * time.Second
	// maxRunning bounds the entries that one daemon processes at a time.
	maxRunning = 32
)

// Ledger accepts deferrable requests, processes them and returns their answers.
//
// An accepted request must not be lost, whichever VMs are replaced, and must be answered once. It is durable before it
// is accepted. Any daemon may take over its lease when the owner is no longer live; the version of the lease's row
// prevents a former owner that resumes from writing a second answer.
type Ledger struct {
	config  Config
	sweeper *twexpiry.Sweeper
	// acquired holds leases whose entries Run starts to process.
	acquired chan heldLease

	mu sync.Mutex
	// running holds the entries that this daemon processes, each with the function that ends its processing.
	running  map[string]context.CancelFunc
	draining bool
	// openByAccount counts the open entries of each account in this daemon's ownedPartitions, as of the last scan.
	openByAccount   map[string]int
	ownedPartitions int
	observations    map[string]observation
}

// Config holds the dependencies of a Ledger.
type Config struct {
	// Incarnation names this start of the daemon; it is written as the owner of its leases.
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

// heldLease is the lease of an entry as this daemon last wrote it.
type heldLease struct {
	lease   twentry.Lease
	version int64
}

// New returns a Ledger. Entries are processed only while Run runs.
func New(config Config) *Ledger {
	l := &Ledger{
		config:        config,
		acquired:      make(chan heldLease, maxRunning),
		running:       make(map[string]context.CancelFunc),
		openByAccount: make(map[string]int),
		observations:  make(map[string]observation),
	}
	l.sweeper = twexpiry.New(twexpiry.Config{
		Table: config.Table, Writer: config.Writer, Clock: config.Clock, Prefixes: entryPrefixes(), Expired: expired,
	})
	return l
}

// Submit stores the entry durably; submitting the same entry again is no error. It returns a *turmericwall.Problem of
// kind KindKeyReused for another entry under the same ID, KindOverLimit when the account has too many open entries, and
// KindStoreUnavailable when the entry was not accepted.
func (l *Ledger) Submit(ctx context.Context, entry twentry.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if l.overLimit(entry.Account) {
		return turmericwall.NewProblem(turmericwall.KindOverLimit,
			"the account has too many requests without an answer", "come back when some are answered").
			WithRetryAt(l.config.Clock.Now().Add(overLimitRetryDelay))
	}
	entry.State, entry.At = twentry.StateOpen, l.config.Clock.Now().UTC()
	if err := l.storePrompt(ctx, &entry); err != nil {
		return notAccepted(err)
	}
	lease := twentry.Lease{ID: entry.ID, Account: entry.Account}
	if l.reserveSlot(entry.ID) {
		lease.Owner = l.config.Incarnation
	}
	err := l.createEntry(ctx, entry, lease)
	switch {
	case turmericwall.IsConflict(err):
		l.releaseSlot(lease)
		return l.checkSameEntry(ctx, entry)
	case err != nil:
		l.releaseSlot(lease)
		return notAccepted(err)
	}
	l.config.Recorder.Record(turmericwall.EventDeferrableAccepted).
		Str("request", entry.ID).Str("account", entry.Account).Send()
	if lease.Owner != "" {
		l.acquired <- heldLease{lease: lease, version: 1}
	}
	return nil
}

// Fetch returns the entry, with its answer once it has ended. An unknown ID gives a problem of kind KindNotFound.
func (l *Ledger) Fetch(ctx context.Context, id string) (twentry.Entry, error) {
	entry, _, err := l.readEntry(ctx, id)
	return entry, err
}

// Cancel ends the entry without an answer; an entry that has ended stays as it is. It returns a problem of kind
// KindConflict when the entry ended or its lease changed its owner meanwhile.
func (l *Ledger) Cancel(ctx context.Context, id string) error {
	entry, version, err := l.readEntry(ctx, id)
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
	err = l.closeEntry(ctx, entry, version, row.Version)
	if turmericwall.IsConflict(err) {
		return turmericwall.NewProblem(turmericwall.KindConflict,
			"the request changed hands meanwhile", "cancel it again")
	}
	l.cancelRunning(id)
	return err
}

// storePrompt moves a prompt that is too long for the entry's row to an object.
func (l *Ledger) storePrompt(ctx context.Context, entry *twentry.Entry) error {
	if len(entry.Prompt) <= maxInlinePromptBytes {
		return nil
	}
	name := "prompts/" + entry.ID + "-" + entry.BodyHash
	if err := l.config.Objects.Put(ctx, name, []byte(entry.Prompt)); err != nil {
		return err
	}
	entry.Prompt, entry.PromptObject = "", name
	return nil
}

// createEntry writes the entry and its lease in one transaction, on the condition that neither row exists.
func (l *Ledger) createEntry(ctx context.Context, entry twentry.Entry, lease twentry.Lease) error {
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

// checkSameEntry returns a problem of kind KindKeyReused unless the stored entry is the submitted one.
func (l *Ledger) checkSameEntry(ctx context.Context, entry twentry.Entry) error {
	stored, _, err := l.readEntry(ctx, entry.ID)
	if err != nil {
		return err
	}
	if stored.BodyHash != entry.BodyHash {
		return turmericwall.NewProblem(turmericwall.KindKeyReused, "the key was used for another request",
			"use a new Idempotency-Key for each request")
	}
	return nil
}

func (l *Ledger) readEntry(ctx context.Context, id string) (twentry.Entry, int64, error) {
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
		return twentry.Entry{}, 0,
			fmt.Errorf("decode entry %s, restore its row from the platform's backup: %w", id, err)
	}
	return entry, row.Version, nil
}

// closeEntry writes the ended entry and deletes its lease, in one transaction.
func (l *Ledger) closeEntry(ctx context.Context, entry twentry.Entry, version, leaseVersion int64) error {
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

// expired reports whether the entry in a row's value has ended and is past its lifetime.
func expired(value []byte, now time.Time) bool {
	var entry twentry.Entry
	if err := json.Unmarshal(value, &entry); err != nil {
		return false
	}
	return entry.State != twentry.StateOpen && now.After(entry.At.Add(entryLifetime))
}
