package twenginestand

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twblockhash"
)

// chunkTokens is the number of tokens that prefill computes before it chooses the next job by priority.
const chunkTokens = 512

// job is one prompt in the prefill queue. A lower priority is more urgent; 0 is urgent.
type job struct {
	ctx       context.Context
	remaining int
	priority  int
	done      chan struct{}
}

// export is the KV cache of a finished prefill, held until a decode engine pulls it.
type export struct {
	attempt    string
	tokens     int
	computed   int
	pulling    bool
	evictTimer *time.Timer
}

// delayedEvent is a cache event that /cache/events shows from visibleAt on.
type delayedEvent struct {
	visibleAt time.Time
	event     turmericwall.CacheEvent
}

// maxEvents is the number of cache events that are kept; older ones are discarded.
const maxEvents = 4096

// computePrompt queues the prompt, waits until its uncached tokens are computed, and returns their number. At least one
// token is computed, even if the whole prompt is cached.
func (e *Engine) computePrompt(ctx context.Context, call completionRequest, tokens int) (int, error) {
	blocks := twblockhash.Hashes(call.Prompt)
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
	e.cacheBlocks(blocks)
	return tokens - cached, nil
}

// cachedTokens returns the number of tokens in the leading blocks that are cached.
func (e *Engine) cachedTokens(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := e.cache.Get(b); !ok {
			return i * twblockhash.BlockBytes / twblockhash.BytesPerToken
		}
	}
	return len(blocks) * twblockhash.BlockBytes / twblockhash.BytesPerToken
}

// cacheBlocks adds the blocks to the prompt cache and publishes an event for each block added and each one evicted.
func (e *Engine) cacheBlocks(blocks []uint64) {
	for _, b := range blocks {
		if e.cache.Contains(b) {
			continue
		}
		if e.cache.Len() >= e.config.CacheBlocks {
			if old, _, ok := e.cache.RemoveOldest(); ok {
				e.publishCacheEvent(turmericwall.CacheEvent{BlockHash: old, Removed: true})
			}
		}
		e.cache.Add(b, struct{}{})
		e.publishCacheEvent(turmericwall.CacheEvent{BlockHash: b})
	}
}

// publishCacheEvent numbers and stores the event. A lost event leaves a gap in the sequence.
func (e *Engine) publishCacheEvent(event turmericwall.CacheEvent) {
	e.sequence++
	event.Sequence = e.sequence
	if rand.Float64() < e.config.EventLoss {
		return
	}
	e.events = append(e.events, delayedEvent{visibleAt: time.Now().Add(eventDelay), event: event})
	if len(e.events) > maxEvents {
		e.events = e.events[len(e.events)-maxEvents:]
	}
}

func (e *Engine) getCacheEvents(c echo.Context) error {
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

// runPrefill computes the queued prompts chunk by chunk, so that an urgent prompt overtakes a long deferrable one.
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
			e.removeJob(j)
			close(j.done)
		}
		e.mu.Unlock()
	}
}

// nextJob returns the first of the most urgent jobs, or nil. Jobs whose attempt has ended are removed.
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

func (e *Engine) removeJob(done *job) {
	kept := e.jobs[:0]
	for _, j := range e.jobs {
		if j != done {
			kept = append(kept, j)
		}
	}
	e.jobs = kept
}

// queuedTokens returns the tokens that are still to be computed, of all jobs and of the urgent ones.
func (e *Engine) queuedTokens() (all, urgent int) {
	for _, j := range e.jobs {
		all += j.remaining
		if j.priority == 0 {
			urgent += j.remaining
		}
	}
	return all, urgent
}

// holdExport makes the export available until it is pulled, cancelled or evicted after exportLifetime.
func (e *Engine) holdExport(attempt string, tokens, computed int) {
	x := &export{attempt: attempt, tokens: tokens, computed: computed}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.exports[attempt] = x
	if held, ok := e.held[attempt]; ok {
		held.cancel = func() { go e.evictExport(x) }
	}
	x.evictTimer = time.AfterFunc(exportLifetime, func() { e.evictExport(x) })
}

// evictExport frees an export unless a pull of it is in progress.
func (e *Engine) evictExport(x *export) {
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
