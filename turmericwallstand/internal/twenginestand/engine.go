// Package twenginestand stands in for a model engine, in the role of prefill or decode.
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

// Defaults of an engine.
const (
	defaultSlots       = 20
	defaultPieces      = 64
	defaultPrefillRate = 10_000
	defaultStepMillis  = 25
	defaultStepPerSlot = 1.2
	defaultCacheBlocks = 4096
	defaultLinkRate    = 4_000
	defaultQueue       = 20
	pieceTokens        = 4096
	exportLife         = 800 * time.Millisecond
	reportEvery        = 500 * time.Millisecond
	eventDelay         = 300 * time.Millisecond
	kvBytesPerToken    = 120_000
	bytesPerMegabyte   = 1e6
)

// Engine is one stand-in engine.
type Engine struct {
	config Config
	server *http.Server
	conns  atomic.Int64

	mu       sync.Mutex
	faults   Faults
	stats    Stats
	held     map[string]*hold
	gone     map[string]time.Time
	exports  map[string]*export
	jobs     []*job
	wake     chan struct{}
	waiting  []*waiter
	active   int
	pieces   int
	report   turmericwall.Report
	reported time.Time
	cache    *simplelru.LRU[uint64, struct{}]
	events   []stampedEvent
	sequence uint64
	linkBusy time.Time
}

// Config describes an engine.
type Config struct {
	Name   string
	Role   turmericwall.Role
	Models []string
	// Slots is how many attempts decode at a time; Queue is how many more may wait.
	Slots int
	Queue int
	// Pieces is the memory, in units of 4,096 tokens.
	Pieces int
	// PrefillRate is in tokens a second.
	PrefillRate float64
	// StepMillis and StepPerSlotMillis give the time between tokens.
	StepMillis        float64
	StepPerSlotMillis float64
	CacheBlocks       int
	// LinkMegabytesPerSecond is the rate at which exports leave the engine.
	LinkMegabytesPerSecond float64
	// EventLoss is the share of cache events that are never published.
	EventLoss float64
}

// Faults are switched while the engine runs.
type Faults struct {
	// IgnoreDisconnect keeps attempts going after their caller is gone.
	IgnoreDisconnect bool `json:"ignoreDisconnect"`
	// ForgetCancels lets a start through that its cancel has overtaken.
	ForgetCancels bool `json:"forgetCancels"`
	// BreakAfterTokens breaks each stream off after so many tokens; 0 breaks none.
	BreakAfterTokens int `json:"breakAfterTokens"`
	// DoubleChunks sends each chunk twice, SwapChunks sends pairs in the wrong order, ForeignChunks adds
	// chunks of another attempt.
	DoubleChunks  bool `json:"doubleChunks"`
	SwapChunks    bool `json:"swapChunks"`
	ForeignChunks bool `json:"foreignChunks"`
	// StallTransfers lets exports hang.
	StallTransfers bool `json:"stallTransfers"`
	// LinkFactor scales the rate at which exports leave; 0 counts as 1.
	LinkFactor float64 `json:"linkFactor"`
	Draining   bool    `json:"draining"`
	// SilenceOpen makes the connections that are open now silent for good; new ones work.
	SilenceOpen bool `json:"silenceOpen"`
	// RefuseFull answers new attempts as if there were no room.
	RefuseFull bool `json:"refuseFull"`
	// silentUpTo is the last connection that is silent.
	silentUpTo int64
}

// Stats is what the engine has done.
type Stats struct {
	PrefillTokens  int64 `json:"prefillTokens"`
	CachedTokens   int64 `json:"cachedTokens"`
	DecodedTokens  int64 `json:"decodedTokens"`
	ExportsEvicted int64 `json:"exportsEvicted"`
	EvictedTokens  int64 `json:"evictedTokens"`
	Pulled         int64 `json:"pulled"`
	// Asked counts the attempts that came in, Started those that were not refused.
	Asked      int64    `json:"asked"`
	Started    int64    `json:"started"`
	Held       []string `json:"held"`
	PiecesUsed int      `json:"piecesUsed"`
}

// hold is what an attempt holds on the engine.
type hold struct {
	pieces int
	cancel context.CancelFunc
}

// New returns an engine; unset fields get their defaults.
func New(config Config) *Engine {
	config.setDefaults()
	cache, _ := simplelru.NewLRU[uint64, struct{}](config.CacheBlocks, nil)
	e := &Engine{
		config:  config,
		held:    make(map[string]*hold),
		gone:    make(map[string]time.Time),
		exports: make(map[string]*export),
		wake:    make(chan struct{}, 1),
		cache:   cache,
	}
	e.snapshot(time.Now())
	router := echo.New()
	engine := router.Group("", e.silence)
	engine.POST("/v1/completions", e.complete)
	engine.DELETE("/v1/requests", e.cancel)
	engine.GET("/load", e.load)
	engine.GET("/cache/events", e.cacheEvents)
	engine.GET("/kv", e.kv)
	router.POST("/control/faults", e.setFaults)
	router.GET("/control/stats", e.getStats)
	e.server = &http.Server{Handler: router, ReadHeaderTimeout: time.Minute, ConnContext: e.number}
	return e
}

func (c *Config) setDefaults() {
	c.Slots = orDefault(c.Slots, defaultSlots)
	c.Queue = orDefault(c.Queue, defaultQueue)
	c.Pieces = orDefault(c.Pieces, defaultPieces)
	c.CacheBlocks = orDefault(c.CacheBlocks, defaultCacheBlocks)
	c.PrefillRate = orDefaultRate(c.PrefillRate, defaultPrefillRate)
	c.StepMillis = orDefaultRate(c.StepMillis, defaultStepMillis)
	c.StepPerSlotMillis = orDefaultRate(c.StepPerSlotMillis, defaultStepPerSlot)
	c.LinkMegabytesPerSecond = orDefaultRate(c.LinkMegabytesPerSecond, defaultLinkRate)
}

func orDefault(value, other int) int {
	if value == 0 {
		return other
	}
	return value
}

func orDefaultRate(value, other float64) float64 {
	if value == 0 {
		return other
	}
	return value
}

// Serve answers on the listener until ctx ends.
func (e *Engine) Serve(ctx context.Context, listener net.Listener) error {
	tasks := twtask.New(ctx)
	tasks.Start("prefill", e.runPrefill)
	tasks.Start("reports", e.runReports)
	tasks.Start("calls", func(ctx context.Context) error { return twserve.Until(ctx, e.server, listener) })
	return tasks.Wait()
}

// Stats returns what the engine has done and holds.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Held = e.heldAttempts()
	stats.PiecesUsed = e.pieces
	return stats
}

// SetFaults switches faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if faults.SilenceOpen {
		faults.silentUpTo = e.conns.Load()
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

func (e *Engine) number(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, e.conns.Add(1))
}

// silence holds calls on silent connections until the caller leaves.
func (e *Engine) silence(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if e.silent(c) {
			<-c.Request().Context().Done()
			return nil
		}
		return next(c)
	}
}

// silent tells whether the call's connection has gone silent; a stream that is under way then stops in the
// middle, and its caller sees neither a token nor an end.
func (e *Engine) silent(c echo.Context) bool {
	number, _ := c.Request().Context().Value(connKey{}).(int64)
	e.mu.Lock()
	defer e.mu.Unlock()
	return number <= e.faults.silentUpTo
}

func (e *Engine) runReports(ctx context.Context) error {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			e.snapshot(now)
		}
	}
}

// snapshot takes the report that /load shows until the next one.
func (e *Engine) snapshot(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	queued, urgent := e.queuedTokens()
	e.reported = now
	e.report = turmericwall.Report{
		Engine: e.config.Name, Role: e.config.Role, Models: e.config.Models, Draining: e.faults.Draining,
		Attempts: e.heldAttempts(), Slots: e.config.Slots, Pieces: e.config.Pieces, PiecesUsed: e.pieces,
		QueuedTokens: queued, UrgentTokens: urgent, PrefillRate: e.config.PrefillRate,
		StepMillis: e.config.StepMillis, StepPerSlotMillis: e.config.StepPerSlotMillis,
	}
	for attempt, until := range e.gone {
		if now.After(until) {
			delete(e.gone, attempt)
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

func (e *Engine) load(c echo.Context) error {
	e.mu.Lock()
	report := e.report
	report.AgeMillis = time.Since(e.reported).Milliseconds()
	e.mu.Unlock()
	return c.JSON(http.StatusOK, report)
}

// cancel frees what the attempt holds; its start is refused for a while, in case the cancel overtook it.
func (e *Engine) cancel(c echo.Context) error {
	attempt := c.QueryParam("id")
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.faults.ForgetCancels {
		e.gone[attempt] = time.Now().Add(cancelMemory)
	}
	held, ok := e.held[attempt]
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	held.cancel()
	return c.NoContent(http.StatusOK)
}

const cancelMemory = 30 * time.Second

// acquire notes what the attempt holds; an attempt that is already held or was cancelled is refused.
func (e *Engine) acquire(attempt string, pieces int, cancel context.CancelFunc) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Asked++
	if _, ok := e.held[attempt]; ok {
		return http.StatusConflict
	}
	if _, ok := e.gone[attempt]; ok {
		return http.StatusConflict
	}
	if e.faults.RefuseFull || e.faults.Draining {
		return http.StatusServiceUnavailable
	}
	e.held[attempt] = &hold{pieces: pieces, cancel: cancel}
	e.pieces += pieces
	e.stats.Started++
	return http.StatusOK
}

func (e *Engine) release(attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if held, ok := e.held[attempt]; ok {
		e.pieces -= held.pieces
		delete(e.held, attempt)
	}
}

func piecesOf(tokens int) int { return (tokens + pieceTokens - 1) / pieceTokens }
