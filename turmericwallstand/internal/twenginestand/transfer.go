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

// transferTimeout bounds a pull, as engines give a stalled transfer up.
const transferTimeout = 2 * time.Second

var errFull = errors.New("no slot and no room to wait")

// pull imports an export from the engine that holds it; it returns the status to answer with.
func pull(ctx context.Context, x turmericwall.Export) int {
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

// kv lets an export leave the engine over its link, whose rate all transfers share.
func (e *Engine) kv(c echo.Context) error {
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
	x.evict.Stop()
	end := e.bookLink(x.tokens)
	e.mu.Unlock()
	if !wait(c.Request().Context(), end) {
		e.putBack(x)
		return nil
	}
	e.mu.Lock()
	delete(e.exports, x.attempt)
	e.stats.Pulled++
	e.mu.Unlock()
	e.release(x.attempt)
	return c.NoContent(http.StatusOK)
}

// putBack offers an export again whose pull was broken off.
func (e *Engine) putBack(x *export) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x.pulling = false
	x.evict = time.AfterFunc(exportLife, func() { e.evict(x) })
}

func (e *Engine) bookLink(tokens int) time.Time {
	factor := e.faults.LinkFactor
	if factor == 0 {
		factor = 1
	}
	perSecond := e.config.LinkMegabytesPerSecond * bytesPerMegabyte * factor
	span := time.Duration(float64(tokens) * kvBytesPerToken / perSecond * float64(time.Second))
	now := time.Now()
	if e.linkBusy.Before(now) {
		e.linkBusy = now
	}
	e.linkBusy = e.linkBusy.Add(span)
	return e.linkBusy
}

func wait(ctx context.Context, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// waiter is a decode attempt without a slot.
type waiter struct {
	priority int
	given    chan struct{}
}

// takeSlot waits for a slot in the order of priorities.
func (e *Engine) takeSlot(ctx context.Context, priority int) error {
	e.mu.Lock()
	if e.active < e.config.Slots && e.pieces <= e.config.Pieces {
		e.active++
		e.mu.Unlock()
		return nil
	}
	if len(e.waiting) >= e.config.Queue || e.pieces > e.config.Pieces {
		e.mu.Unlock()
		return errFull
	}
	w := &waiter{priority: priority, given: make(chan struct{})}
	e.insertWaiter(w)
	e.mu.Unlock()
	select {
	case <-w.given:
		return nil
	case <-ctx.Done():
		e.leaveQueue(w)
		return ctx.Err()
	}
}

func (e *Engine) insertWaiter(w *waiter) {
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

// leaveQueue takes a waiter out; a slot given at the same moment goes to the next one.
func (e *Engine) leaveQueue(w *waiter) {
	e.mu.Lock()
	for i, other := range e.waiting {
		if other == w {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			e.mu.Unlock()
			return
		}
	}
	e.mu.Unlock()
	e.giveSlot()
}

func (e *Engine) giveSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) == 0 {
		e.active--
		return
	}
	next := e.waiting[0]
	e.waiting = e.waiting[1:]
	close(next.given)
}
