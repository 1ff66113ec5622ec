// Package twplatformstand stands in for the platform's table service, object store and VM list.
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

// Platform keeps everything in memory.
type Platform struct {
	table *twmemory.Table

	mu      sync.Mutex
	objects map[string][]byte
	vms     []turmericwall.VM
	// seen is what the lagging list shows.
	seen   []turmericwall.VM
	faults Faults
	counts Counts
	writes *rate.Limiter
	reads  *rate.Limiter
	server *http.Server
}

// Faults are switched while the platform runs.
type Faults struct {
	// Outage makes every call fail.
	Outage bool `json:"outage"`
	// LatencyMillis delays every call.
	LatencyMillis int64 `json:"latencyMillis"`
	// LoseAnswers drops the answers of so many further transactions after they took effect.
	LoseAnswers int `json:"loseAnswers"`
	// WritesPerSecond and ReadsPerSecond limit the calls; 0 sets no limit.
	WritesPerSecond float64 `json:"writesPerSecond"`
	ReadsPerSecond  float64 `json:"readsPerSecond"`
	// ListLagMillis is how much later the VM list shows a change.
	ListLagMillis int64 `json:"listLagMillis"`
}

// Counts is what the platform has done.
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
	service := router.Group("", p.disturb)
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
	return twserve.Until(ctx, p.server, listener)
}

// SetVMs replaces the VM list; what the list shows follows after its lag.
func (p *Platform) SetVMs(vms []turmericwall.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = vms
	lag := time.Duration(p.faults.ListLagMillis) * time.Millisecond
	if lag == 0 {
		p.seen = vms
		return
	}
	time.AfterFunc(lag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.seen = vms
	})
}

// disturb applies the faults that concern every call.
func (p *Platform) disturb(next echo.HandlerFunc) echo.HandlerFunc {
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
	if p.countCommit(transaction) {
		return hangUp(c)
	}
	return c.NoContent(http.StatusOK)
}

// countCommit counts a transaction that took effect and tells whether its answer is to be lost.
func (p *Platform) countCommit(transaction turmericwall.Transaction) bool {
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

// hangUp breaks the connection without an answer.
func hangUp(c echo.Context) error {
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
	vms := p.seen
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

// SetFaults switches faults.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.writes, p.reads = limiter(faults.WritesPerSecond), limiter(faults.ReadsPerSecond)
}

func limiter(perSecond float64) *rate.Limiter {
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
