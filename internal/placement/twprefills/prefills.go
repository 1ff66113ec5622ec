// Package twprefills predicts when an engine ends the prefills that were requested from it. It is for the load in which
// prefill engines stop, slow down or lose packets while prompts keep arriving: an engine that ends nothing must not look
// idle. It also measures the errors of the predictions. The placement allocator keeps one Prefills for each engine.
package twprefills

import (
	"math"
	"slices"
	"time"
)

const (
	// reportDelay is how long the report of an end may take from the engine to the leader. A prefill is overdue only
	// after it.
	reportDelay = 50 * time.Millisecond
	// maxErrors is how many of the latest errors are kept, and errorValidity how long each counts. At the usual load an
	// engine ends several prefills in it.
	maxErrors     = 12
	errorValidity = 3 * time.Second
	// minErrors is the number of errors below which none is reported: a single lost packet delays one prefill.
	minErrors = 3
	// errorQuantile is the share of the errors that are at most as large as the one that is reported.
	errorQuantile = 0.8
	// minErrorMillis is the smallest error that is reported: reports arrive that much later or earlier.
	minErrorMillis = 30
)

// Prefills are the prefills of one engine that have not ended, and the errors of the latest predictions. It has no clock
// of its own and is not safe for concurrent use.
type Prefills struct {
	// open are the prefills in the order of their requests.
	open []prefill
	// tokens is the sum of the open prefills' tokens.
	tokens int
	// errors are the latest errors, oldest first.
	errors []predictionError
	// error is the quantile of the errors until errorUntil, when one of them becomes too old.
	error      float64
	errorUntil time.Time
}

type prefill struct {
	call   string
	tokens int
	// endsAt is the predicted end.
	endsAt time.Time
}

// predictionError is by how many milliseconds a prefill ended after its predicted end; negative if before it.
type predictionError struct {
	at     time.Time
	millis float64
}

// New returns the prefills of an engine without any.
func New() *Prefills { return &Prefills{} }

// Begin adds a requested prefill with its predicted end.
func (p *Prefills) Begin(call string, tokens int, endsAt time.Time) {
	p.open = append(p.open, prefill{call: call, tokens: tokens, endsAt: endsAt})
	p.tokens += tokens
}

// Complete removes a prefill that has ended, and records the error of its prediction.
func (p *Prefills) Complete(now time.Time, call string) {
	ended, ok := p.take(call)
	if !ok {
		return
	}
	if len(p.errors) == maxErrors {
		p.errors = slices.Delete(p.errors, 0, 1)
	}
	p.errors = append(p.errors, predictionError{at: now, millis: float64(now.Sub(ended.endsAt).Milliseconds())})
	p.errorUntil = time.Time{}
}

// Withdraw removes a prefill that was not completed.
func (p *Prefills) Withdraw(call string) { p.take(call) }

func (p *Prefills) take(call string) (prefill, bool) {
	for i, open := range p.open {
		if open.call == call {
			p.open = slices.Delete(p.open, i, i+1)
			p.tokens -= open.tokens
			return open, true
		}
	}
	return prefill{}, false
}

// Tokens returns the tokens of the open prefills.
func (p *Prefills) Tokens() int { return p.tokens }

// Open returns the number of open prefills.
func (p *Prefills) Open() int { return len(p.open) }

// OverdueMillis returns by how many milliseconds the oldest prefill is overdue, or 0. An engine prefills one prompt after
// another, so that the others are waiting behind the oldest.
func (p *Prefills) OverdueMillis(now time.Time) float64 {
	if len(p.open) == 0 {
		return 0
	}
	return math.Max(0, float64(now.Sub(p.open[0].endsAt.Add(reportDelay)).Milliseconds()))
}

// BacklogMillis returns in how many milliseconds the engine will have ended its open prefills, of which queuedMillis is
// the prediction by its speed in tokens per millisecond.
//
// While the oldest prefill is overdue, the prediction by speed is wrong: it falls to 0 although nothing has ended. The
// engine is then expected to need as long again as it is overdue, and the time of the prompts behind the oldest.
func (p *Prefills) BacklogMillis(now time.Time, queuedMillis, speed float64) float64 {
	overdue := p.OverdueMillis(now)
	if overdue == 0 {
		return queuedMillis
	}
	return math.Max(queuedMillis, overdue+float64(p.tokens-p.open[0].tokens)/speed)
}

// ErrorMillis returns by how many milliseconds the engine's prefills end after their predictions, as the latest errors
// show; 0 while few were recorded or they are small. It tells operators which engines are late. Placement doesn't add it to
// predictions: in a shortage most prefills end late, and most calls would be refused.
func (p *Prefills) ErrorMillis(now time.Time) float64 {
	if len(p.errors) == 0 {
		return 0
	}
	if !now.Before(p.errorUntil) {
		p.updateError(now)
	}
	return p.error
}

// updateError discards the errors that are too old and computes the error of the others.
func (p *Prefills) updateError(now time.Time) {
	p.errors = slices.DeleteFunc(p.errors, func(e predictionError) bool { return now.Sub(e.at) >= errorValidity })
	p.error = 0
	if len(p.errors) == 0 {
		return
	}
	p.errorUntil = p.errors[0].at.Add(errorValidity)
	if len(p.errors) < minErrors {
		return
	}
	sorted := make([]float64, 0, maxErrors)
	for _, e := range p.errors {
		sorted = append(sorted, e.millis)
	}
	slices.Sort(sorted)
	if millis := sorted[int(errorQuantile*float64(len(sorted)-1))]; millis >= minErrorMillis {
		p.error = millis
	}
}
