// Package twrevision keeps the configuration in force at one daemon.
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

// pollInterval keeps 700 daemons at 350 reads a second of the platform's two thousand.
const pollInterval = 2 * time.Second

// Holder implements turmericwall.Documents.
//
// A stale reader, a restarted peer or a late answer may bring an older revision after a newer one.
// The holder applies only higher revisions, so a configuration in force here never reverts.
type Holder struct {
	publisher *twpublisher.Publisher
	clock     clockwork.Clock
	recorder  turmericwall.Recorder
	changed   chan struct{}

	mu      sync.RWMutex
	current *turmericwall.Document
}

// Config names what the holder reads.
type Config struct {
	Publisher *twpublisher.Publisher
	Clock     clockwork.Clock
	Recorder  turmericwall.Recorder
}

// New returns a holder that knows no revision.
func New(config Config) *Holder {
	return &Holder{
		publisher: config.Publisher,
		clock:     config.Clock,
		recorder:  config.Recorder,
		changed:   make(chan struct{}, 1),
	}
}

// Current returns the configuration in force.
func (h *Holder) Current() (*turmericwall.Document, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.current, h.current != nil
}

// Revision returns the revision in force; 0 while none is known.
func (h *Holder) Revision() int64 {
	document, ok := h.Current()
	if !ok {
		return 0
	}
	return document.Revision()
}

// Changed receives after a revision was applied.
func (h *Holder) Changed() <-chan struct{} { return h.changed }

// Offer applies the revision if it is higher than the one in force.
func (h *Holder) Offer(revision int64, source []byte, from string) error {
	if revision <= h.Revision() {
		return nil
	}
	document, err := twparser.New(from).Parse(revision, source)
	if err != nil {
		h.recorder.Record(turmericwall.EventDocumentRejected).Int("revision", revision).Str("from", from).Err(err).Send()
		return err
	}
	if h.apply(document) {
		h.recorder.Record(turmericwall.EventDocumentApplied).Int("revision", revision).Str("from", from).Str("digest", document.Digest()).Send()
	}
	return nil
}

// Run reads the head row until ctx ends.
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

// Refresh reads the head row, and the revision it names if that is higher.
func (h *Holder) Refresh(ctx context.Context) error {
	head, _, err := h.publisher.Head(ctx)
	if err != nil || head.Revision <= h.Revision() {
		return err
	}
	entry, err := h.publisher.Entry(ctx, head.Revision)
	if err != nil {
		return err
	}
	return h.Offer(head.Revision, entry.Source, "platform")
}

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
