package twenginestand

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twblocks"
)

// chunkTokens is how much prefill runs before the next job in order of priority is chosen.
const chunkTokens = 512

// job is one prompt in the prefill queue.
type job struct {
	ctx       context.Context
	remaining int
	priority  int
	done      chan struct{}
}

// export is a finished prefill that waits to be pulled.
type export struct {
	attempt  string
	tokens   int
	computed int
	pulling  bool
	evict    *time.Timer
}

type stampedEvent struct {
	visibleAt time.Time
	event     turmericwall.CacheEvent
}

const maxEvents = 4096

// compute waits until the prompt's uncached tokens are computed.
func (e *Engine) compute(ctx context.Context, call callBody, tokens int) (int, error) {
	blocks := twblocks.Hashes(call.Prompt)
	e.mu.Lock()
	cached := min(e.cachedTokens(blocks), tokens-1)
	j := &job{ctx: ctx, remaining: tokens - cached, priority: call.Priority, done: make(chan struct{})}
	e.jobs = append(e.jobs, j)
	e.stats.PrefillTokens += int64(tokens - cached)
	e.stats.CachedTokens += int64(cached)
	e.mu.Unlock()
	e.wakePrefill()
	select {
	case <-j.done:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.keep(blocks)
	return tokens - cached, nil
}

func (e *Engine) cachedTokens(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := e.cache.Get(b); !ok {
			return i * twblocks.BlockBytes / twblocks.BytesPerToken
		}
	}
	return len(blocks) * twblocks.BlockBytes / twblocks.BytesPerToken
}

// keep takes the blocks into the cache and publishes what entered and left.
func (e *Engine) keep(blocks []uint64) {
	for _, b := range blocks {
		if e.cache.Contains(b) {
			continue
		}
		if e.cache.Len() >= e.config.CacheBlocks {
			if old, _, ok := e.cache.RemoveOldest(); ok {
				e.publish(turmericwall.CacheEvent{Block: old, Removed: true})
			}
		}
		e.cache.Add(b, struct{}{})
		e.publish(turmericwall.CacheEvent{Block: b})
	}
}

// publish numbers the event; a lost one leaves a gap.
func (e *Engine) publish(event turmericwall.CacheEvent) {
	e.sequence++
	event.Sequence = e.sequence
	if rand.Float64() < e.config.EventLoss {
		return
	}
	e.events = append(e.events, stampedEvent{visibleAt: time.Now().Add(eventDelay), event: event})
	if len(e.events) > maxEvents {
		e.events = e.events[len(e.events)-maxEvents:]
	}
}

func (e *Engine) cacheEvents(c echo.Context) error {
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	events := turmericwall.CacheEvents{Events: []turmericwall.CacheEvent{}}
	for _, s := range e.events {
		if s.event.Sequence > after && now.After(s.visibleAt) {
			events.Events = append(events.Events, s.event)
		}
	}
	return c.JSON(http.StatusOK, events)
}

func (e *Engine) wakePrefill() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// runPrefill computes chunk by chunk, so that urgent prompts pass long ones that may wait.
func (e *Engine) runPrefill(ctx context.Context) error {
	for {
		j := e.nextJob()
		if j == nil {
			select {
			case <-ctx.Done():
				return nil
			case <-e.wake:
			}
			continue
		}
		tokens := min(chunkTokens, j.remaining)
		time.Sleep(time.Duration(float64(tokens) / e.config.PrefillRate * float64(time.Second)))
		e.mu.Lock()
		j.remaining -= tokens
		if j.remaining <= 0 {
			e.dropJob(j)
			close(j.done)
		}
		e.mu.Unlock()
	}
}

// nextJob returns the first of the most urgent jobs; those whose attempt is gone are dropped.
func (e *Engine) nextJob() *job {
	e.mu.Lock()
	defer e.mu.Unlock()
	var next *job
	kept := e.jobs[:0]
	for _, j := range e.jobs {
		if j.ctx.Err() != nil {
			continue
		}
		kept = append(kept, j)
		if next == nil || j.priority < next.priority {
			next = j
		}
	}
	e.jobs = kept
	return next
}

func (e *Engine) dropJob(done *job) {
	kept := e.jobs[:0]
	for _, j := range e.jobs {
		if j != done {
			kept = append(kept, j)
		}
	}
	e.jobs = kept
}

func (e *Engine) queuedTokens() (all, urgent int) {
	for _, j := range e.jobs {
		all += j.remaining
		if j.priority == 0 {
			urgent += j.remaining
		}
	}
	return all, urgent
}

// offer holds the export until it is pulled, cancelled or evicted.
func (e *Engine) offer(attempt string, tokens, computed int) {
	x := &export{attempt: attempt, tokens: tokens, computed: computed}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.exports[attempt] = x
	if held, ok := e.held[attempt]; ok {
		held.cancel = func() { go e.evict(x) }
	}
	x.evict = time.AfterFunc(exportLife, func() { e.evict(x) })
}

// evict frees an export that nobody is pulling.
func (e *Engine) evict(x *export) {
	e.mu.Lock()
	if e.exports[x.attempt] != x || x.pulling {
		e.mu.Unlock()
		return
	}
	delete(e.exports, x.attempt)
	e.stats.ExportsEvicted++
	e.stats.EvictedTokens += int64(x.computed)
	e.mu.Unlock()
	e.release(x.attempt)
}
