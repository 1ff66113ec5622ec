// Package twrevision holds the configuration in force at one daemon. It polls the platform's table for new revisions,
// and peers offer theirs; the packages that serve requests read the current one.
package twrevision

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/document/twparser"
	"github.com/turmericwall/turmericwall/internal/document/twpublisher"
)

// pollInterval keeps 700 daemons at 350 reads a second; the platform allows two thousand.
const pollInterval = 2 * time.Second

// Holder implements turmericwall.Documents.
//
// A stale read, a restarted peer or a late answer may deliver an older revision after a newer one. The Holder applies
// only higher revisions, so the configuration in force at this daemon never reverts.
type Holder struct {
	publisher *twpublisher.Publisher
	clock     clockwork.Clock
	recorder  turmericwall.Recorder
	changed   chan struct{}

	mu      sync.RWMutex
	current *turmericwall.Document
}

// Config holds the dependencies of a Holder.
type Config struct {
	Publisher *twpublisher.Publisher
	Clock     clockwork.Clock
	Recorder  turmericwall.Recorder
}

// New returns a Holder without a revision.
func New(config Config) *Holder {
	return &Holder{
		publisher: config.Publisher,
		clock:     config.Clock,
		recorder:  config.Recorder,
		changed:   make(chan struct{}, 1),
	}
}

// Current returns the configuration in force, and false while there is none.
func (h *Holder) Current() (*turmericwall.Document, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.current, h.current != nil
}

// Revision returns the number of the revision in force, or 0 while there is none.
func (h *Holder) Revision() int64 {
	document, ok := h.Current()
	if !ok {
		return 0
	}
	return document.Revision()
}

// Changed returns a channel that receives a value after a revision was applied. It holds one value, so several
// revisions may be signalled as one.
func (h *Holder) Changed() <-chan struct{} { return h.changed }

// ApplyIfNewer applies the revision if it is higher than the one in force. An invalid document is logged and returned
// as the error of the parser. The argument from names the sender: a peer, or the platform.
func (h *Holder) ApplyIfNewer(revision int64, source []byte, from string) error {
	if revision <= h.Revision() {
		return nil
	}
	document, err := twparser.New(from).Parse(revision, source)
	if err != nil {
		h.recorder.Record(turmericwall.EventDocumentRejected).
			Int("revision", revision).Str("from", from).Err(err).Send()
		return err
	}
	if h.apply(document) {
		h.recorder.Record(turmericwall.EventDocumentApplied).
			Int("revision", revision).Str("from", from).Str("digest", document.Digest()).Send()
	}
	return nil
}

// Run refreshes the configuration every pollInterval until ctx ends. A failed refresh is logged.
func (h *Holder) Run(ctx context.Context) error {
	ticker := h.clock.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if err := h.Refresh(ctx); err != nil && ctx.Err() == nil {
			h.recorder.Record(turmericwall.EventDocumentUnreadable).Int("revision", h.Revision()).Err(err).Send()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
		}
	}
}

// Refresh reads the head row from the platform's table, and applies the revision that it names if that is higher.
func (h *Holder) Refresh(ctx context.Context) error {
	head, _, err := h.publisher.Head(ctx)
	if err != nil || head.Revision <= h.Revision() {
		return err
	}
	entry, err := h.publisher.FetchEntry(ctx, head.Revision)
	if err != nil {
		return err
	}
	return h.ApplyIfNewer(head.Revision, entry.Source, "platform")
}

// apply puts the document in force and reports whether its revision is higher than the one before.
func (h *Holder) apply(document *turmericwall.Document) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current != nil && h.current.Revision() >= document.Revision() {
		return false
	}
	h.current = document
	select {
	case h.changed <- struct{}{}:
	default:
	}
	return true
}
