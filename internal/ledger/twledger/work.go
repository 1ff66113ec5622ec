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
	// watchInterval is how often a daemon looks whether an entry it works on is still its own.
	watchInterval  = 5 * time.Second
	releaseTimeout = 2 * time.Second
	endTimeout     = time.Minute
	endAgain       = time.Second
	failedPause    = time.Second
)

// Run works on entries until ctx ends; leases still held are then given back.
func (l *Ledger) Run(ctx context.Context) error {
	ticker := l.config.Clock.NewTicker(scanInterval)
	defer ticker.Stop()
	ends := make(chan struct{})
	running := 0
	start := func(work func()) {
		running++
		go func() {
			work()
			ends <- struct{}{}
		}()
	}
	start(func() { _ = l.clearer.Run(ctx) })
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
		case held := <-l.starts:
			start(func() { l.work(ctx, held) })
		case <-scanned:
			scanning = false
		case <-ticker.Chan():
			if scanning {
				continue
			}
			scanning = true
			start(func() {
				l.scan(ctx)
				scanned <- struct{}{}
			})
		}
	}
}

// Drain takes no further entries; those under way go on.
func (l *Ledger) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
}

// Running counts the entries that this daemon works on.
func (l *Ledger) Running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.running)
}

// work delivers one entry and writes its answer.
func (l *Ledger) work(ctx context.Context, held leased) {
	id := held.lease.ID
	defer l.unreserve(held.lease)
	work, cancel := context.WithCancel(ctx)
	defer cancel()
	l.mu.Lock()
	l.running[id] = cancel
	l.mu.Unlock()
	watched := make(chan struct{})
	go func() {
		l.watch(work, cancel, held)
		close(watched)
	}()
	l.deliver(work, held)
	cancel()
	<-watched
}

func (l *Ledger) deliver(ctx context.Context, held leased) {
	entry, version, err := l.read(ctx, held.lease.ID)
	if err != nil || entry.State != twentry.StateOpen {
		l.release(held)
		return
	}
	request, err := l.request(ctx, entry)
	if err != nil {
		l.pause(ctx)
		l.release(held)
		return
	}
	var answer collector
	usage, err := l.config.Deliverer.Deliver(ctx, request, &answer)
	if err != nil && !terminal(err) {
		l.pause(ctx)
		l.release(held)
		return
	}
	finished := entry
	finished.Prompt = ""
	finished.State, finished.Text, finished.Usage = twentry.StateDone, answer.String(), usage
	if err != nil {
		finished.State, finished.Fault = twentry.StateFailed, err.Error()
	}
	l.finish(finished, version, held)
}

// finish writes the answer once; a conflict means that the lease was taken over or the entry cancelled,
// and this answer is dropped.
func (l *Ledger) finish(entry twentry.Entry, version int64, held leased) {
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	defer cancel()
	for ctx.Err() == nil {
		err := l.end(ctx, entry, version, held.version)
		if err == nil {
			l.config.Recorder.Record(turmericwall.EventDeferrableAnswered).Str("request", entry.ID).Str("state", string(entry.State)).Send()
			return
		}
		if turmericwall.IsConflict(err) {
			l.config.Recorder.Record(turmericwall.EventDeferrableLost).Str("request", entry.ID).Send()
			return
		}
		l.config.Clock.Sleep(endAgain)
	}
}

// release gives the lease back, for any daemon to take.
func (l *Ledger) release(held leased) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	free := held.lease
	free.Owner = ""
	value, err := json.Marshal(free)
	if err != nil {
		return
	}
	_ = l.config.Writer.Write(ctx, turmericwall.Write{Key: twentry.LeaseKey(free.ID), IfVersion: held.version, Value: value})
}

// watch ends the work on an entry that was cancelled, or taken over by another daemon.
func (l *Ledger) watch(ctx context.Context, cancel context.CancelFunc, held leased) {
	ticker := l.config.Clock.NewTicker(watchInterval)
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

// stop ends this daemon's own work on the entry, if it does any.
func (l *Ledger) stop(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cancel, ok := l.running[id]; ok {
		cancel()
	}
}

func (l *Ledger) request(ctx context.Context, entry twentry.Entry) (turmericwall.Request, error) {
	document, ok := l.config.Documents.Current()
	if !ok {
		return turmericwall.Request{}, fmt.Errorf("work on entry %s: no configuration is known yet", entry.ID)
	}
	work, ok := document.Work(entry.Work)
	if !ok {
		return turmericwall.Request{}, fmt.Errorf("work on entry %s: declare its kind of work %q again", entry.ID, entry.Work)
	}
	service, ok := document.ServiceOfModel(entry.Model)
	if !ok {
		return turmericwall.Request{}, fmt.Errorf("work on entry %s: declare its model %q again", entry.ID, entry.Model)
	}
	prompt, err := l.prompt(ctx, entry)
	return turmericwall.Request{
		ID: entry.ID, Account: entry.Account, Work: *work, Model: entry.Model, Service: service.Name,
		Prompt: prompt, MaxTokens: entry.MaxTokens,
	}, err
}

func (l *Ledger) prompt(ctx context.Context, entry twentry.Entry) (string, error) {
	if entry.PromptObject == "" {
		return entry.Prompt, nil
	}
	content, ok, err := l.config.Objects.Get(ctx, entry.PromptObject)
	if err == nil && !ok {
		err = fmt.Errorf("object %q is missing, restore it from the platform's backup", entry.PromptObject)
	}
	return string(content), err
}

func (l *Ledger) pause(ctx context.Context) {
	timer := l.config.Clock.NewTimer(failedPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}

// terminal tells an answer that would be the same at every try.
func terminal(err error) bool {
	var engine *turmericwall.EngineError
	refused := errors.As(err, &engine) && engine.Reason() == turmericwall.EngineRefused
	return refused || turmericwall.IsKind(err, turmericwall.KindTooLarge)
}

// collector gathers a whole answer.
type collector struct{ strings.Builder }

// Token appends one token's text.
func (c *collector) Token(text string) error {
	_, err := c.WriteString(text)
	return err
}
