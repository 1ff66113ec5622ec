// Package twenginestand simulates a model engine in the prefill or the decode role. It takes an engine's place behind
// the daemons in tests and load runs: it has the engine's endpoints, timing, memory, prompt cache and KV transfers,
// generates a text that a test can predict, and injects faults that a test switches on.
package twenginestand

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/labstack/echo/v4"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twserve"
	"github.com/turmericwall/turmericwall/internal/operations/twtask"
)

// Defaults of an engine's configuration, and the fixed parts of its simulation: a piece is the unit of memory, an
// export that is not pulled within exportLifetime is evicted, the report at /load is renewed every reportInterval,
// and a cache event becomes visible after eventDelay.
const (
	defaultSlots                  = 20
	defaultPieces                 = 64
	defaultPrefillRate            = 10_000
	defaultStepMillis             = 25
	defaultStepPerSlotMillis      = 1.2
	defaultCacheBlocks            = 4096
	defaultLinkMegabytesPerSecond = 4_000
	defaultQueue                  = 20
	pieceTokens                   = 4096
	exportLifetime                = 800 * time.Millisecond
	reportInterval                = 500 * time.Millisecond
	eventDelay                    = 300 * time.Millisecond
	kvBytesPerToken               = 120_000
	bytesPerMegabyte              = 1e6
)

// Engine simulates one engine. Its methods are safe for concurrent use.
type Engine struct {
	config Config
	server *http.Server
	conns  atomic.Int64

	mu             sync.Mutex
	faults         Faults
	stats          Stats
	held           map[string]*allocation
	cancelledUntil map[string]time.Time
	exports        map[string]*export
	jobs           []*job
	wake           chan struct{}
	waiting        []*waiter
	active         int
	pieces         int
	report         turmericwall.Report
	reportedAt     time.Time
	cache          *simplelru.LRU[uint64, struct{}]
	events         []delayedEvent
	sequence       uint64
	linkBusyUntil  time.Time
}

// Config describes an engine; unset numbers get their defaults.
type Config struct {
	Name   string
	Role   turmericwall.Role
	Models []string
	// Slots is the number of attempts that decode at a time; Queue is how many more may wait for a slot.
	Slots int
	Queue int
	// Pieces is the engine's memory, in pieces of 4,096 tokens.
	Pieces int
	// PrefillRate is the number of prompt tokens computed per second.
	PrefillRate float64
	// A decode step, the time between two tokens of an attempt, takes StepMillis and StepPerSlotMillis more for each
	// active slot.
	StepMillis        float64
	StepPerSlotMillis float64
	// CacheBlocks is the capacity of the prompt cache in blocks.
	CacheBlocks int
	// LinkMegabytesPerSecond is the rate at which exports leave the engine.
	LinkMegabytesPerSecond float64
	// EventLoss is the share of cache events that are never published.
	EventLoss float64
}

// Faults are the faults that the engine injects. They are switched while it runs.
type Faults struct {
	// IgnoreDisconnect lets attempts continue after their caller has disconnected.
	IgnoreDisconnect bool `json:"ignoreDisconnect"`
	// AllowStartAfterCancel accepts the start of an attempt whose cancel arrived first.
	AllowStartAfterCancel bool `json:"forgetCancels"`
	// BreakAfterTokens breaks the connection of each stream after this number of tokens; 0 breaks none.
	BreakAfterTokens int `json:"breakAfterTokens"`
	// CrashOn ends the engine's process as it begins to answer a prompt that contains this text; empty ends none.
	CrashOn string `json:"crashOn"`
	// DuplicateChunks sends each chunk twice, SwapChunks swaps the chunks of each pair, and ForeignChunks adds
	// chunks of another attempt.
	DuplicateChunks bool `json:"doubleChunks"`
	SwapChunks      bool `json:"swapChunks"`
	ForeignChunks   bool `json:"foreignChunks"`
	// StallTransfers accepts the pull of an export and never answers it.
	StallTransfers bool `json:"stallTransfers"`
	// LinkFactor scales the rate at which exports leave; 0 counts as 1.
	LinkFactor float64 `json:"linkFactor"`
	// Draining refuses new attempts and is stated in the engine's report.
	Draining bool `json:"draining"`
	// StallOpenConnections makes all connections that are open at this time unresponsive for good; new ones work.
	StallOpenConnections bool `json:"silenceOpen"`
	// RefuseFull refuses new attempts as if the engine were full.
	RefuseFull bool `json:"refuseFull"`
	// unresponsiveUpTo is the number of the last connection that is unresponsive.
	unresponsiveUpTo int64
}

// Stats are the engine's counters and what it holds at present.
type Stats struct {
	PrefillTokens  int64 `json:"prefillTokens"`
	CachedTokens   int64 `json:"cachedTokens"`
	DecodedTokens  int64 `json:"decodedTokens"`
	ExportsEvicted int64 `json:"exportsEvicted"`
	EvictedTokens  int64 `json:"evictedTokens"`
	Pulled         int64 `json:"pulled"`
	// Received counts all attempts, Started those that were not refused.
	Received int64 `json:"asked"`
	Started  int64 `json:"started"`
	// Held lists the attempts that hold memory.
	Held       []string `json:"held"`
	PiecesUsed int      `json:"piecesUsed"`
}

// allocation is the memory that an attempt holds, with the function that ends the attempt.
type allocation struct {
	pieces int
	cancel context.CancelFunc
}

// New returns an engine; unset fields of the configuration get their defaults.
func New(config Config) *Engine {
	config.setDefaults()
	cache, _ := simplelru.NewLRU[uint64, struct{}](config.CacheBlocks, nil)
	e := &Engine{
		config:         config,
		held:           make(map[string]*allocation),
		cancelledUntil: make(map[string]time.Time),
		exports:        make(map[string]*export),
		wake:           make(chan struct{}, 1),
		cache:          cache,
	}
	e.updateReport(time.Now())
	router := echo.New()
	engine := router.Group("", e.holdUnresponsive)
	engine.POST("/v1/completions", e.handleCompletion)
	engine.DELETE("/v1/requests", e.cancelAttempt)
	engine.GET("/load", e.getLoad)
	engine.GET("/cache/events", e.getCacheEvents)
	engine.GET("/kv", e.serveExport)
	router.POST("/control/faults", e.setFaults)
	router.GET("/control/stats", e.getStats)
	e.server = &http.Server{Handler: router, ReadHeaderTimeout: time.Minute, ConnContext: e.numberConnection}
	return e
}

func (c *Config) setDefaults() {
	c.Slots = orDefault(c.Slots, defaultSlots)
	c.Queue = orDefault(c.Queue, defaultQueue)
	c.Pieces = orDefault(c.Pieces, defaultPieces)
	c.CacheBlocks = orDefault(c.CacheBlocks, defaultCacheBlocks)
	c.PrefillRate = orDefaultFloat(c.PrefillRate, defaultPrefillRate)
	c.StepMillis = orDefaultFloat(c.StepMillis, defaultStepMillis)
	c.StepPerSlotMillis = orDefaultFloat(c.StepPerSlotMillis, defaultStepPerSlotMillis)
	c.LinkMegabytesPerSecond = orDefaultFloat(c.LinkMegabytesPerSecond, defaultLinkMegabytesPerSecond)
}

func orDefault(value, fallback int) int {
	if value == 0 {
		return fallback
	}
	return value
}

func orDefaultFloat(value, fallback float64) float64 {
	if value == 0 {
		return fallback
	}
	return value
}

// Serve answers on the listener until ctx ends, and returns the first error of the server.
func (e *Engine) Serve(ctx context.Context, listener net.Listener) error {
	tasks := twtask.New(ctx)
	tasks.Start("prefill", e.runPrefill)
	tasks.Start("reports", e.runReports)
	tasks.Start("calls", func(ctx context.Context) error { return twserve.ServeUntilDone(ctx, e.server, listener) })
	return tasks.Wait()
}

// Stats returns a copy of the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Held = e.heldAttempts()
	stats.PiecesUsed = e.pieces
	return stats
}

// SetFaults replaces the faults that the engine injects.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if faults.StallOpenConnections {
		faults.unresponsiveUpTo = e.conns.Load()
	}
	e.faults = faults
}

func (e *Engine) setFaults(c echo.Context) error {
	var faults Faults
	if err := c.Bind(&faults); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	e.SetFaults(faults)
	return c.NoContent(http.StatusOK)
}

func (e *Engine) getStats(c echo.Context) error { return c.JSON(http.StatusOK, e.Stats()) }

type connKey struct{}

// numberConnection assigns each new connection the next number, which identifies unresponsive connections.
func (e *Engine) numberConnection(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, e.conns.Add(1))
}

// holdUnresponsive is the middleware that holds calls on unresponsive connections until their caller disconnects.
func (e *Engine) holdUnresponsive(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if e.isUnresponsive(c) {
			<-c.Request().Context().Done()
			return nil
		}
		return next(c)
	}
}

// isUnresponsive reports whether the call's connection has become unresponsive. A stream in progress then stops in the
// middle, and its caller receives neither a token nor an end.
func (e *Engine) isUnresponsive(c echo.Context) bool {
	number, _ := c.Request().Context().Value(connKey{}).(int64)
	e.mu.Lock()
	defer e.mu.Unlock()
	return number <= e.faults.unresponsiveUpTo
}

func (e *Engine) runReports(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			e.updateReport(now)
		}
	}
}

// updateReport builds the report that /load shows until the next update, and discards expired records of cancels.
func (e *Engine) updateReport(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	queued, urgent := e.queuedTokens()
	e.reportedAt = now
	e.report = turmericwall.Report{
		Engine: e.config.Name, Role: e.config.Role, Models: e.config.Models, Draining: e.faults.Draining,
		Attempts: e.heldAttempts(), Slots: e.config.Slots, Pieces: e.config.Pieces, PiecesUsed: e.pieces,
		QueuedTokens: queued, UrgentTokens: urgent, PrefillRate: e.config.PrefillRate,
		StepMillis: e.config.StepMillis, StepPerSlotMillis: e.config.StepPerSlotMillis,
	}
	for attempt, until := range e.cancelledUntil {
		if now.After(until) {
			delete(e.cancelledUntil, attempt)
		}
	}
}

func (e *Engine) heldAttempts() []string {
	attempts := make([]string, 0, len(e.held))
	for attempt := range e.held {
		attempts = append(attempts, attempt)
	}
	return attempts
}

func (e *Engine) getLoad(c echo.Context) error {
	e.mu.Lock()
	report := e.report
	report.AgeMillis = time.Since(e.reportedAt).Milliseconds()
	e.mu.Unlock()
	return c.JSON(http.StatusOK, report)
}

// cancelAttempt ends the attempt and with it frees its memory. For cancelRetention a start of the same attempt is
// refused, since a cancel may arrive before the start that it belongs to.
func (e *Engine) cancelAttempt(c echo.Context) error {
	attempt := c.QueryParam("id")
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.faults.AllowStartAfterCancel {
		e.cancelledUntil[attempt] = time.Now().Add(cancelRetention)
	}
	held, ok := e.held[attempt]
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	held.cancel()
	return c.NoContent(http.StatusOK)
}

// cancelRetention is how long the start of a cancelled attempt is refused.
const cancelRetention = 30 * time.Second

// acquire allocates memory to the attempt and returns the HTTP status: conflict if the attempt already holds memory
// or was cancelled, and service unavailable if the engine drains or a fault makes it refuse.
func (e *Engine) acquire(attempt string, pieces int, cancel context.CancelFunc) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Received++
	if _, ok := e.held[attempt]; ok {
		return http.StatusConflict
	}
	if _, ok := e.cancelledUntil[attempt]; ok {
		return http.StatusConflict
	}
	if e.faults.RefuseFull || e.faults.Draining {
		return http.StatusServiceUnavailable
	}
	e.held[attempt] = &allocation{pieces: pieces, cancel: cancel}
	e.pieces += pieces
	e.stats.Started++
	return http.StatusOK
}

// release frees the attempt's memory; it does nothing if the attempt holds none.
func (e *Engine) release(attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if held, ok := e.held[attempt]; ok {
		e.pieces -= held.pieces
		delete(e.held, attempt)
	}
}

// piecesOf returns the pieces of memory that hold the tokens.
func piecesOf(tokens int) int { return (tokens + pieceTokens - 1) / pieceTokens }
