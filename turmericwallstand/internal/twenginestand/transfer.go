package twenginestand

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/turmericwall/turmericwall"
)

// transferTimeout bounds a pull; an engine aborts a stalled transfer.
const transferTimeout = 2 * time.Second

var errQueueFull = errors.New("all decode slots are in use, and the queue or the memory is full")

// pullExport imports an export from the engine that holds it, and returns the status with which to answer the decode
// call: 410 if the export no longer exists, and 424 if the transfer failed.
func pullExport(ctx context.Context, x turmericwall.Export) int {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+x.Address+"/kv?id="+url.QueryEscape(x.ID), http.NoBody)
	if err != nil {
		return http.StatusBadRequest
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return http.StatusFailedDependency
	}
	_ = response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return http.StatusGone
	}
	if response.StatusCode != http.StatusOK {
		return http.StatusFailedDependency
	}
	return http.StatusOK
}

// serveExport transfers an export over the engine's link, whose rate all transfers share. It answers once the transfer
// would have ended.
func (e *Engine) serveExport(c echo.Context) error {
	e.mu.Lock()
	x, ok := e.exports[c.QueryParam("id")]
	if !ok {
		e.mu.Unlock()
		return c.NoContent(http.StatusNotFound)
	}
	if e.faults.StallTransfers {
		e.mu.Unlock()
		<-c.Request().Context().Done()
		return nil
	}
	x.pulling = true
	x.evictTimer.Stop()
	end := e.reserveLink(x.tokens)
	e.mu.Unlock()
	if !waitUntil(c.Request().Context(), end) {
		e.restoreExport(x)
		return nil
	}
	e.mu.Lock()
	delete(e.exports, x.attempt)
	e.stats.Pulled++
	e.mu.Unlock()
	e.release(x.attempt)
	return c.NoContent(http.StatusOK)
}

// restoreExport makes an export available again after its pull was interrupted.
func (e *Engine) restoreExport(x *export) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x.pulling = false
	x.evictTimer = time.AfterFunc(exportLifetime, func() { e.evictExport(x) })
}

// reserveLink queues a transfer behind those in progress and returns the time at which it ends.
func (e *Engine) reserveLink(tokens int) time.Time {
	factor := e.faults.LinkFactor
	if factor == 0 {
		factor = 1
	}
	perSecond := e.config.LinkMegabytesPerSecond * bytesPerMegabyte * factor
	span := time.Duration(float64(tokens) * kvBytesPerToken / perSecond * float64(time.Second))
	now := time.Now()
	if e.linkBusyUntil.Before(now) {
		e.linkBusyUntil = now
	}
	e.linkBusyUntil = e.linkBusyUntil.Add(span)
	return e.linkBusyUntil
}

// waitUntil waits until the time and reports whether it was reached before ctx ended.
func waitUntil(ctx context.Context, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// waiter is a decode attempt that waits for a slot; granted is closed when it gets one.
type waiter struct {
	priority int
	granted  chan struct{}
}

// acquireSlot waits for a decode slot in order of priority. It returns errQueueFull if the attempt can't wait, and the
// error of ctx if that ends first.
func (e *Engine) acquireSlot(ctx context.Context, priority int) error {
	e.mu.Lock()
	if e.active < e.config.Slots && e.pieces <= e.config.Pieces {
		e.active++
		e.mu.Unlock()
		return nil
	}
	if len(e.waiting) >= e.config.Queue || e.pieces > e.config.Pieces {
		e.mu.Unlock()
		return errQueueFull
	}
	w := &waiter{priority: priority, granted: make(chan struct{})}
	e.enqueueWaiter(w)
	e.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		e.removeWaiter(w)
		return ctx.Err()
	}
}

// enqueueWaiter inserts the waiter behind those of the same or a more urgent priority.
func (e *Engine) enqueueWaiter(w *waiter) {
	at := len(e.waiting)
	for i, other := range e.waiting {
		if w.priority < other.priority {
			at = i
			break
		}
	}
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[at+1:], e.waiting[at:])
	e.waiting[at] = w
}

// removeWaiter removes the waiter from the queue. If it was granted a slot in the meantime, the slot is released.
func (e *Engine) removeWaiter(w *waiter) {
	e.mu.Lock()
	for i, other := range e.waiting {
		if other == w {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			e.mu.Unlock()
			return
		}
	}
	e.mu.Unlock()
	e.releaseSlot()
}

// releaseSlot passes the slot to the first waiter, or marks it free.
func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) == 0 {
		e.active--
		return
	}
	next := e.waiting[0]
	e.waiting = e.waiting[1:]
	close(next.granted)
}
