package twbooks

import (
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// sameDeadline is how far apart the deadlines of two attempts of one caller may seem, by travel and rounding.
	sameDeadline = 150 * time.Millisecond
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
}

func newCallers() *callers { return &callers{known: make(map[string]caller)} }

// first returns when the caller made its first attempt, and whether that was before this one.
func (c *callers) first(now time.Time, ask turmericwall.PlaceAsk) (time.Time, bool) {
	c.forget(now)
	if ask.Work.Subject == "" {
		return now, false
	}
	known, ok := c.known[ask.Work.Subject]
	if ok && known.deadline.Sub(ask.CallerDeadline).Abs() < sameDeadline {
		return known.first, true
	}
	c.known[ask.Work.Subject] = caller{first: now, deadline: ask.CallerDeadline}
	return now, false
}

// answered notes the engine that has the caller's prompt and answers.
func (c *callers) answered(work turmericwall.ModelWork, engine turmericwall.UpstreamKey) {
	known, ok := c.known[work.Subject]
	if !ok {
		return
	}
	known.engine, known.tokens = engine, work.PromptTokens
	c.known[work.Subject] = known
}

// kept is the engine that may still keep the call's prompt, and how many tokens of it.
func (c *callers) kept(ask turmericwall.PlaceAsk) (engine turmericwall.UpstreamKey, tokens int) {
	known := c.known[ask.Work.Subject]
	return known.engine, min(known.tokens, ask.Work.PromptTokens)
}

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
