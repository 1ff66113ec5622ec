// Package twplatformstand simulates the platform's table service, object store and VM list in memory. Daemons in
// tests and load runs use it in place of the platform, and tests make it slow, unavailable or late.
package twplatformstand

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twserve"
	"github.com/turmericwall/turmericwall/internal/platform/twmemory"
)

// Platform simulates the platform. Its methods are safe for concurrent use.
type Platform struct {
	table *twmemory.Table

	mu      sync.Mutex
	objects map[string][]byte
	vms     []turmericwall.VM
	// listedVMs are the VMs that the list shows; they follow vms after the list's lag.
	listedVMs []turmericwall.VM
	faults    Faults
	counts    Counts
	writes    *rate.Limiter
	reads     *rate.Limiter
	server    *http.Server
}

// Faults are the faults that the platform injects. They are switched while it runs.
type Faults struct {
	// Outage answers every call with status 503.
	Outage bool `json:"outage"`
	// LatencyMillis delays every call.
	LatencyMillis int64 `json:"latencyMillis"`
	// LoseAnswers is the number of further transactions whose answer is lost after they took effect.
	LoseAnswers int `json:"loseAnswers"`
	// WritesPerSecond and ReadsPerSecond limit the calls, beyond which they get status 429; 0 sets no limit.
	WritesPerSecond float64 `json:"writesPerSecond"`
	ReadsPerSecond  float64 `json:"readsPerSecond"`
	// ListLagMillis is the delay after which the VM list shows a change.
	ListLagMillis int64 `json:"listLagMillis"`
}

// Counts are the platform's counters.
type Counts struct {
	Transactions int64 `json:"transactions"`
	Writes       int64 `json:"writes"`
	Reads        int64 `json:"reads"`
	Objects      int64 `json:"objects"`
}

// New returns an empty platform.
func New() *Platform {
	p := &Platform{table: twmemory.New(), objects: make(map[string][]byte)}
	router := echo.New()
	service := router.Group("", p.injectFaults)
	service.GET("/table/row", p.getRow)
	service.GET("/table/rows", p.listRows)
	service.POST("/table/transactions", p.commit)
	service.GET("/objects/:name", p.getObject)
	service.PUT("/objects/:name", p.putObject)
	service.GET("/vms", p.listVMs)
	router.POST("/control/faults", p.setFaults)
	router.POST("/control/vms", p.setVMs)
	router.GET("/control/counts", p.getCounts)
	p.server = &http.Server{Handler: router, ReadHeaderTimeout: time.Minute}
	return p
}

// Serve answers on the listener until ctx ends.
func (p *Platform) Serve(ctx context.Context, listener net.Listener) error {
	return twserve.ServeUntilDone(ctx, p.server, listener)
}

// SetVMs replaces the VMs; the list shows them after its lag.
func (p *Platform) SetVMs(vms []turmericwall.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = vms
	lag := time.Duration(p.faults.ListLagMillis) * time.Millisecond
	if lag == 0 {
		p.listedVMs = vms
		return
	}
	time.AfterFunc(lag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.listedVMs = vms
	})
}

// injectFaults is the middleware that applies the faults that concern every call.
func (p *Platform) injectFaults(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		p.mu.Lock()
		faults, limiter := p.faults, p.reads
		if c.Request().Method != http.MethodGet {
			limiter = p.writes
		}
		p.mu.Unlock()
		time.Sleep(time.Duration(faults.LatencyMillis) * time.Millisecond)
		if faults.Outage {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		if limiter != nil && !limiter.Allow() {
			return c.NoContent(http.StatusTooManyRequests)
		}
		return next(c)
	}
}

func (p *Platform) getRow(c echo.Context) error {
	p.countRead()
	row, ok, err := p.table.Get(c.Request().Context(), c.QueryParam("key"))
	if err != nil || !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.JSON(http.StatusOK, row)
}

func (p *Platform) listRows(c echo.Context) error {
	limit, err := strconv.Atoi(c.QueryParam("limit"))
	if err != nil || limit < 1 {
		return c.NoContent(http.StatusBadRequest)
	}
	p.countRead()
	rows, err := p.table.List(c.Request().Context(), c.QueryParam("prefix"), c.QueryParam("after"), limit)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, rows)
}

func (p *Platform) countRead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Reads++
}

type conflictBody struct {
	Key string `json:"key"`
}

func (p *Platform) commit(c echo.Context) error {
	var transaction turmericwall.Transaction
	if err := c.Bind(&transaction); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	err := p.table.Commit(c.Request().Context(), transaction)
	var conflict *turmericwall.ConflictError
	if errors.As(err, &conflict) {
		return c.JSON(http.StatusConflict, conflictBody{Key: conflict.Key()})
	}
	if p.recordCommit(transaction) {
		return closeUnanswered(c)
	}
	return c.NoContent(http.StatusOK)
}

// recordCommit counts a transaction that took effect and reports whether its answer is to be lost.
func (p *Platform) recordCommit(transaction turmericwall.Transaction) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Transactions++
	p.counts.Writes += int64(len(transaction.Writes))
	if p.faults.LoseAnswers == 0 {
		return false
	}
	p.faults.LoseAnswers--
	return true
}

// closeUnanswered closes the connection without an answer.
func closeUnanswered(c echo.Context) error {
	connection, _, err := c.Response().Hijack()
	if err != nil {
		return err
	}
	return connection.Close()
}

func (p *Platform) getObject(c echo.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Reads++
	content, ok := p.objects[c.Param("name")]
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	c.Response().Header().Set("ETag", etag(content))
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, content)
}

func (p *Platform) putObject(c echo.Context) error {
	content, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	name := c.Param("name")
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.objects[name]; ok && c.Request().Header.Get("If-None-Match") == "*" {
		return c.NoContent(http.StatusPreconditionFailed)
	}
	p.objects[name] = content
	p.counts.Objects++
	c.Response().Header().Set("ETag", etag(content))
	return c.NoContent(http.StatusCreated)
}

func etag(content []byte) string {
	sum := sha256.Sum256(content)
	return `"` + hex.EncodeToString(sum[:8]) + `"`
}

func (p *Platform) listVMs(c echo.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Reads++
	vms := p.listedVMs
	if vms == nil {
		vms = []turmericwall.VM{}
	}
	return c.JSON(http.StatusOK, vms)
}

func (p *Platform) setFaults(c echo.Context) error {
	var faults Faults
	if err := c.Bind(&faults); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	p.SetFaults(faults)
	return c.NoContent(http.StatusOK)
}

// SetFaults replaces the faults that the platform injects, and restarts the rate limits.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.writes, p.reads = newLimiter(faults.WritesPerSecond), newLimiter(faults.ReadsPerSecond)
}

// newLimiter returns a limiter with a burst of a tenth of a second, or nil for no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond == 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}

func (p *Platform) setVMs(c echo.Context) error {
	var vms []turmericwall.VM
	if err := c.Bind(&vms); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	p.SetVMs(vms)
	return c.NoContent(http.StatusOK)
}

func (p *Platform) getCounts(c echo.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.JSON(http.StatusOK, p.counts)
}
