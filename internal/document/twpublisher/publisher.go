// Package twpublisher stores the configuration documents of an environment in the platform's table: a head row that
// names the accepted revision, a row for each revision, and the proofs of documents that were in force. The operator's
// command line writes them; twrevision reads them at each daemon.
package twpublisher

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/document/twparser"
)

// historyLimit bounds the revisions that History reads.
const historyLimit = 1000

// Publisher reads and writes the documents of one environment. It applies a document by compare-and-set on the head
// row.
type Publisher struct {
	table       turmericwall.Table
	environment string
}

// Config holds the dependencies of a Publisher.
type Config struct {
	Table       turmericwall.Table
	Environment string
}

// Head is the row that names the accepted revision.
type Head struct {
	Revision int64  `json:"revision"`
	Digest   string `json:"digest"`
}

// RevisionEntry is the row of one accepted revision.
type RevisionEntry struct {
	Revision int64     `json:"revision"`
	Digest   string    `json:"digest"`
	Source   []byte    `json:"source"`
	At       time.Time `json:"at"`
	Operator string    `json:"operator"`
	// PromotedFrom names the environment in which the same bytes were proved.
	PromotedFrom string `json:"promotedFrom,omitempty"`
}

// Proof is the row that records on which VMs a document was in force, and how many requests they answered and failed.
type Proof struct {
	Environment string    `json:"environment"`
	Revision    int64     `json:"revision"`
	Digest      string    `json:"digest"`
	VMs         []string  `json:"vms"`
	Answered    int64     `json:"answered"`
	Failed      int64     `json:"failed"`
	At          time.Time `json:"at"`
}

// New returns a Publisher for the environment of the config.
func New(config Config) *Publisher {
	return &Publisher{table: config.Table, environment: config.Environment}
}

// Head returns the head and the version of its row. A new environment has revision 0 and version 0.
func (p *Publisher) Head(ctx context.Context) (Head, int64, error) {
	row, ok, err := p.table.Get(ctx, p.headKey())
	if err != nil || !ok {
		return Head{}, 0, err
	}
	var head Head
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return Head{}, 0, fmt.Errorf("decode the head of %s, restore the row from its history: %w", p.environment, err)
	}
	return head, row.Version, nil
}

// FetchEntry returns one accepted revision, or a *turmericwall.Problem of kind KindNotFound.
func (p *Publisher) FetchEntry(ctx context.Context, revision int64) (RevisionEntry, error) {
	row, ok, err := p.table.Get(ctx, p.entryKey(revision))
	if err != nil {
		return RevisionEntry{}, err
	}
	if !ok {
		return RevisionEntry{}, turmericwall.NewProblem(turmericwall.KindNotFound,
			fmt.Sprintf("%s has no revision %d", p.environment, revision), "list the revisions with history")
	}
	return decodeEntry(row)
}

// History returns up to historyLimit revisions, the newest first.
func (p *Publisher) History(ctx context.Context) ([]RevisionEntry, error) {
	rows, err := p.table.List(ctx, p.entryPrefix(), "", historyLimit)
	if err != nil {
		return nil, err
	}
	entries := make([]RevisionEntry, 0, len(rows))
	for i := len(rows) - 1; i >= 0; i-- {
		entry, err := decodeEntry(rows[i])
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// Apply validates the entry's document, stores it as the revision after base and returns the new head. An invalid
// document gives a *turmericwall.Problem of kind KindInvalidDocument.
//
// When operators race, the condition on the head row lets one of them succeed; the other gets a *turmericwall.Problem
// of kind KindConflict instead of overwriting a revision that it has not read. An apply that is retried after its
// answer was lost finds its own bytes at the next revision and succeeds.
func (p *Publisher) Apply(ctx context.Context, base int64, entry RevisionEntry) (Head, error) {
	if _, err := twparser.New(p.environment).Parse(base+1, entry.Source); err != nil {
		return Head{}, err
	}
	head, version, err := p.Head(ctx)
	if err != nil {
		return Head{}, err
	}
	next := Head{Revision: base + 1, Digest: twparser.Digest(entry.Source)}
	if head == next {
		return head, nil
	}
	if head.Revision != base {
		return Head{}, p.conflict(base, head.Revision)
	}
	entry.Revision, entry.Digest = next.Revision, next.Digest
	err = p.commit(ctx, next, version, entry)
	if turmericwall.IsConflict(err) {
		return Head{}, p.conflict(base, base+1)
	}
	return next, err
}

// StoreProof stores the proof under its digest and replaces an earlier one.
func (p *Publisher) StoreProof(ctx context.Context, proof Proof) error {
	value, err := json.Marshal(proof)
	if err != nil {
		return fmt.Errorf("encode the proof: %w", err)
	}
	row, _, err := p.table.Get(ctx, proofKey(proof.Digest))
	if err != nil {
		return err
	}
	return p.table.Commit(ctx, turmericwall.Transaction{Token: uuid.NewString(), Writes: []turmericwall.Write{
		{Key: proofKey(proof.Digest), IfVersion: row.Version, Value: value},
	}})
}

// Proof returns the proof of the document with the digest, or a *turmericwall.Problem of kind KindNotFound.
func (p *Publisher) Proof(ctx context.Context, digest string) (Proof, error) {
	row, ok, err := p.table.Get(ctx, proofKey(digest))
	if err != nil {
		return Proof{}, err
	}
	if !ok {
		return Proof{}, turmericwall.NewProblem(turmericwall.KindNotFound,
			"the document was not proved", "apply it in trial and run prove there first")
	}
	var proof Proof
	if err := json.Unmarshal(row.Value, &proof); err != nil {
		return Proof{}, fmt.Errorf("decode the proof, run prove again: %w", err)
	}
	return proof, nil
}

// commit writes the head and the revision in one transaction, on the condition that the head row has the version.
func (p *Publisher) commit(ctx context.Context, head Head, version int64, entry RevisionEntry) error {
	headValue, err := json.Marshal(head)
	if err != nil {
		return fmt.Errorf("encode the head: %w", err)
	}
	entryValue, err := json.Marshal(entry)
	if err != nil {
		return fmt.Errorf("encode the revision: %w", err)
	}
	return p.table.Commit(ctx, turmericwall.Transaction{Token: uuid.NewString(), Writes: []turmericwall.Write{
		{Key: p.headKey(), IfVersion: version, Value: headValue},
		{Key: p.entryKey(head.Revision), Value: entryValue},
	}})
}

func (p *Publisher) conflict(base, current int64) error {
	return turmericwall.NewProblem(turmericwall.KindConflict,
		fmt.Sprintf("%s is at revision %d, not %d: another operator was first", p.environment, current, base),
		"run diff, then apply on top of the current revision")
}

func (p *Publisher) headKey() string     { return "documents/" + p.environment + "/head" }
func (p *Publisher) entryPrefix() string { return "documents/" + p.environment + "/revisions/" }

func (p *Publisher) entryKey(revision int64) string {
	return fmt.Sprintf("%s%012d", p.entryPrefix(), revision)
}

func proofKey(digest string) string { return "proofs/" + digest }

func decodeEntry(row turmericwall.Row) (RevisionEntry, error) {
	var entry RevisionEntry
	if err := json.Unmarshal(row.Value, &entry); err != nil {
		return RevisionEntry{}, fmt.Errorf("decode row %q, restore it from the platform's backup: %w", row.Key, err)
	}
	return entry, nil
}
