package twbooks

import (
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// sameDeadline is how far apart the deadlines of two attempts of one caller may seem, by travel and rounding.
	sameDeadline = 150 * time.Millisecond
	// keptSpan is how long what an engine said of its memory counts: until then the callers of before have come back.
	keptSpan = 15 * time.Second
	// forgetEvery is the pause between two looks for callers that have left.
	forgetEvery = 5 * time.Second
)

// callers remembers when each caller that still waits made its first attempt.
//
// A caller that was turned away comes back with a new id, and its answer is on time only if counted from its first
// attempt. Taken for a fresh call it would displace one that can still be on time.
type callers struct {
	known    map[string]caller
	forgetAt time.Time
}

type caller struct {
	first    time.Time
	deadline time.Time
	// engine is the one that answered last; it may still keep so many tokens of the prompt.
	engine turmericwall.UpstreamKey
	tokens int
	// usedAt is when the engine last used the prompt, and taken what its runs had needed by then.
	usedAt time.Time
	taken  float64
}

func newCallers() *callers { return &callers{known: make(map[string]caller)} }

// first returns when the caller made its first attempt, and whether that was before this one.
func (c *callers) first(now time.Time, ask turmericwall.PlaceAsk) (time.Time, bool) {
	c.forget(now)
	if ask.Work.Subject == "" {
		return now, false
	}
	known, ok := c.known[ask.Work.Subject]
	if ok && !known.first.IsZero() && known.deadline.Sub(ask.CallerDeadline).Abs() < sameDeadline {
		return known.first, true
	}
	known.first, known.deadline = now, ask.CallerDeadline
	c.known[ask.Work.Subject] = known
	return now, false
}

// answered notes the engine that has the caller's prompt and answers.
func (c *callers) answered(now time.Time, work turmericwall.ModelWork, e *engine) {
	known, ok := c.known[work.Subject]
	if !ok {
		return
	}
	known.engine, known.tokens, known.usedAt, known.taken = e.upstream.Key(), work.PromptTokens, now, e.taken
	c.known[work.Subject] = known
}

// keeps takes what an engine says that it keeps.
func (c *callers) keeps(now time.Time, e *engine, prompts []turmericwall.KeptPrompt) {
	for _, p := range prompts {
		if _, ok := c.known[p.Subject]; ok {
			continue
		}
		c.known[p.Subject] = caller{deadline: now.Add(keptSpan), engine: e.upstream.Key(), tokens: p.Tokens, usedAt: now, taken: e.taken}
	}
}

// kept is what is known of the engine that may still keep the call's prompt.
func (c *callers) kept(ask turmericwall.PlaceAsk) caller { return c.known[ask.Work.Subject] }

func (c *callers) forget(now time.Time) {
	if now.Before(c.forgetAt) {
		return
	}
	c.forgetAt = now.Add(forgetEvery)
	for subject, known := range c.known {
		if now.After(known.deadline) {
			delete(c.known, subject)
		}
	}
}
