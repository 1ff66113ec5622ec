package twallocator

import (
	"time"

	"github.com/turmericwall/turmericwall"
)

const (
	// deadlineTolerance is the largest difference between the deadlines of two attempts of one caller, caused by
	// network delay and rounding.
	deadlineTolerance = 150 * time.Millisecond
	// cachedPromptValidity is how long a cached prompt that an engine reported counts for a caller that is not known
	// yet; earlier callers have retried by then.
	cachedPromptValidity = 15 * time.Second
	// expiryInterval is the time between two removals of callers whose deadline has passed.
	expiryInterval = 5 * time.Second
)

// callers remembers when each caller made its first attempt, until the caller's deadline.
//
// A refused caller retries with a new id, and its answer is on time only if counted from its first attempt. If its
// retry counted as a new call, it would displace a call that can still be on time.
type callers struct {
	bySubject    map[string]caller
	nextExpiryAt time.Time
}

// caller is what is known of one caller, identified by the subject of its prompt.
type caller struct {
	firstAttemptAt time.Time
	deadline       time.Time
	// engine is the decode engine of the caller's last call. Its cache may still hold cachedTokens of the prompt.
	engine       turmericwall.UpstreamKey
	cachedTokens int
	// lastUsedAt is when the engine last used the prompt, allocatedAtUse the engine's allocatedTokens at that time.
	lastUsedAt     time.Time
	allocatedAtUse float64
}

func newCallers() *callers { return &callers{bySubject: make(map[string]caller)} }

// recordAttempt returns when the caller made its first attempt, and whether that was before this one, which was read at
// receivedAt. Attempts belong to one caller when the subject of the prompt and the caller's deadline are the same.
func (c *callers) recordAttempt(
	now, receivedAt time.Time, request turmericwall.PlaceRequest,
) (first time.Time, isRetry bool) {
	c.expire(now)
	if request.Work.Subject == "" {
		return receivedAt, false
	}
	known, ok := c.bySubject[request.Work.Subject]
	if ok && !known.firstAttemptAt.IsZero() && known.deadline.Sub(request.CallerDeadline).Abs() < deadlineTolerance {
		return known.firstAttemptAt, true
	}
	known.firstAttemptAt, known.deadline = receivedAt, request.CallerDeadline
	c.bySubject[request.Work.Subject] = known
	return receivedAt, false
}

// recordEngine records the decode engine that holds the caller's prompt and decodes its answer.
func (c *callers) recordEngine(now time.Time, work turmericwall.ModelWork, e *engine) {
	known, ok := c.bySubject[work.Subject]
	if !ok {
		return
	}
	known.engine, known.cachedTokens, known.lastUsedAt, known.allocatedAtUse =
		e.upstream.Key(), work.PromptTokens, now, e.allocatedTokens
	c.bySubject[work.Subject] = known
}

// recordCachedPrompts records the cached prompts that an engine reports. Callers that are known already are left
// unchanged.
func (c *callers) recordCachedPrompts(now time.Time, e *engine, prompts []turmericwall.CachedPrompt) {
	for _, p := range prompts {
		if _, ok := c.bySubject[p.Subject]; ok {
			continue
		}
		c.bySubject[p.Subject] = caller{
			deadline: now.Add(cachedPromptValidity), engine: e.upstream.Key(), cachedTokens: p.Tokens,
			lastUsedAt: now, allocatedAtUse: e.allocatedTokens,
		}
	}
}

// cachedPrompt returns what is known of the engine that may still have the call's prompt in its cache.
func (c *callers) cachedPrompt(request *turmericwall.PlaceRequest) caller {
	return c.bySubject[request.Work.Subject]
}

func (c *callers) expire(now time.Time) {
	if now.Before(c.nextExpiryAt) {
		return
	}
	c.nextExpiryAt = now.Add(expiryInterval)
	for subject, known := range c.bySubject {
		if now.After(known.deadline) {
			delete(c.bySubject, subject)
		}
	}
}
