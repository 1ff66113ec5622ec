package twledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/ledger/twentry"
)

const (
	// leaseCheckInterval is how often a daemon checks that it still owns the lease of an entry it processes.
	leaseCheckInterval = 5 * time.Second
	releaseTimeout     = 2 * time.Second
	// closeTimeout bounds the retries of writing an answer.
	closeTimeout       = time.Minute
	closeRetryInterval = time.Second
	// failurePause is the wait before the lease of an entry that could not be processed is released.
	failurePause = time.Second
)

// Run processes entries, scans for leases to acquire and deletes expired entries until ctx ends. The leases of
// entries that are processed then are released.
func (l *Ledger) Run(ctx context.Context) error {
	ticker := l.config.Clock.NewTicker(scanInterval)
	defer ticker.Stop()
	ends := make(chan struct{})
	running := 0
	start := func(task func()) {
		running++
		go func() {
			task()
			ends <- struct{}{}
		}()
	}
	start(func() { _ = l.sweeper.Run(ctx) })
	scanning := false
	scanned := make(chan struct{}, 1)
	for {
		select {
		case <-ctx.Done():
			for ; running > 0; running-- {
				<-ends
			}
			return nil
		case <-ends:
			running--
		case held := <-l.acquired:
			start(func() { l.processEntry(ctx, held) })
		case <-scanned:
			scanning = false
		case <-ticker.Chan():
			if scanning {
				continue
			}
			scanning = true
			start(func() {
				l.scanPartitions(ctx)
				scanned <- struct{}{}
			})
		}
	}
}

// Drain stops this daemon from acquiring further leases; the entries that it processes continue.
func (l *Ledger) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
}

// RunningCount returns the number of entries that this daemon processes.
func (l *Ledger) RunningCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.running)
}

// processEntry delivers one entry and writes its answer.
func (l *Ledger) processEntry(ctx context.Context, held heldLease) {
	id := held.lease.ID
	defer l.releaseSlot(held.lease)
	entryCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.mu.Lock()
	l.running[id] = cancel
	l.mu.Unlock()
	watched := make(chan struct{})
	go func() {
		l.watchLease(entryCtx, cancel, held)
		close(watched)
	}()
	l.deliverEntry(entryCtx, held)
	cancel()
	<-watched
}

// deliverEntry runs the entry through its engines and records the answer. A failure that another attempt may avoid
// releases the lease instead.
func (l *Ledger) deliverEntry(ctx context.Context, held heldLease) {
	entry, version, err := l.readEntry(ctx, held.lease.ID)
	if err != nil || entry.State != twentry.StateOpen {
		l.releaseLease(held)
		return
	}
	request, err := l.buildRequest(ctx, entry)
	if err != nil {
		l.waitAfterFailure(ctx)
		l.releaseLease(held)
		return
	}
	request.Ends = held.lease.Ends
	var answer collector
	usage, err := l.config.Deliverer.Deliver(ctx, request, &answer)
	if err != nil && !isTerminal(err) {
		held.lease.Ends = l.config.Deliverer.EndsUnder(request)
		l.waitAfterFailure(ctx)
		l.releaseLease(held)
		return
	}
	ended := entry
	ended.Prompt = ""
	ended.State, ended.Text, ended.Usage = twentry.StateDone, answer.String(), usage
	if err != nil {
		ended.State, ended.Fault = twentry.StateFailed, err.Error()
	}
	l.recordAnswer(ended, version, held)
}

// recordAnswer retries the write of the ended entry until it succeeds. A conflict means that the lease was taken over
// or the entry cancelled; this answer is then dropped.
func (l *Ledger) recordAnswer(entry twentry.Entry, version int64, held heldLease) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for ctx.Err() == nil {
		err := l.closeEntry(ctx, entry, version, held.version)
		if err == nil {
			l.config.Recorder.Record(turmericwall.EventDeferrableAnswered).
				Str("request", entry.ID).Str("state", string(entry.State)).Send()
			return
		}
		if turmericwall.IsConflict(err) {
			l.config.Recorder.Record(turmericwall.EventDeferrableLost).Str("request", entry.ID).Send()
			return
		}
		l.config.Clock.Sleep(closeRetryInterval)
	}
}

// releaseLease removes the owner from the lease, so that any daemon can acquire it.
func (l *Ledger) releaseLease(held heldLease) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	released := held.lease
	released.Owner = ""
	value, err := json.Marshal(released)
	if err != nil {
		return
	}
	_ = l.config.Writer.Write(ctx,
		turmericwall.Write{Key: twentry.LeaseKey(released.ID), IfVersion: held.version, Value: value})
}

// watchLease cancels the processing of an entry that was cancelled, or taken over by another daemon.
func (l *Ledger) watchLease(ctx context.Context, cancel context.CancelFunc, held heldLease) {
	ticker := l.config.Clock.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		row, ok, err := l.config.Table.Get(ctx, twentry.LeaseKey(held.lease.ID))
		if err == nil && (!ok || row.Version != held.version) {
			cancel()
			return
		}
	}
}

// cancelRunning cancels the processing of the entry if this daemon processes it.
func (l *Ledger) cancelRunning(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cancel, ok := l.running[id]; ok {
		cancel()
	}
}

// buildRequest returns the request of the entry by the configuration in force.
func (l *Ledger) buildRequest(ctx context.Context, entry twentry.Entry) (turmericwall.Request, error) {
	document, ok := l.config.Documents.Current()
	if !ok {
		return turmericwall.Request{}, fmt.Errorf("process entry %s: no configuration is in force yet", entry.ID)
	}
	work, ok := document.Work(entry.Work)
	if !ok {
		return turmericwall.Request{},
			fmt.Errorf("process entry %s: its kind of work %q is not declared, declare it again", entry.ID, entry.Work)
	}
	service, ok := document.ServiceOfModel(entry.Model)
	if !ok {
		return turmericwall.Request{},
			fmt.Errorf("process entry %s: no service has its model %q, declare the model again", entry.ID, entry.Model)
	}
	prompt, err := l.loadPrompt(ctx, entry)
	return turmericwall.Request{
		ID: entry.ID, Account: entry.Account, Work: *work, Model: entry.Model, Service: service.Name,
		Prompt: prompt, MaxTokens: entry.MaxTokens,
	}, err
}

func (l *Ledger) loadPrompt(ctx context.Context, entry twentry.Entry) (string, error) {
	if entry.PromptObject == "" {
		return entry.Prompt, nil
	}
	content, ok, err := l.config.Objects.Get(ctx, entry.PromptObject)
	if err == nil && !ok {
		err = fmt.Errorf("object %q is missing, restore it from the platform's backup", entry.PromptObject)
	}
	return string(content), err
}

func (l *Ledger) waitAfterFailure(ctx context.Context) {
	timer := l.config.Clock.NewTimer(failurePause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}

// isTerminal reports whether every further attempt would fail in the same way.
func isTerminal(err error) bool {
	var engine *turmericwall.EngineError
	refused := errors.As(err, &engine) && engine.Reason() == turmericwall.EngineRefused
	return refused || turmericwall.IsKind(err, turmericwall.KindTooLarge) ||
		turmericwall.IsKind(err, turmericwall.KindQuarantined)
}

// collector implements turmericwall.Sink; it collects the complete text of an answer.
type collector struct{ strings.Builder }

// Token appends the text of one token.
func (c *collector) Token(text string) error {
	_, err := c.WriteString(text)
	return err
}
