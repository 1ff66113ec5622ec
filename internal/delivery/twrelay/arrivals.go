package twrelay

import (
	"context"
	"sync/atomic"
)

// arrivals counts what an engine sends in a goroutine, and what of it its owner has received.
type arrivals struct {
	count    atomic.Int64
	received int64
	// onArrival is called at each arrival; nil if nothing is to be called.
	onArrival atomic.Pointer[context.CancelFunc]
}

// record counts an arrival.
func (v *arrivals) record() {
	v.count.Add(1)
	if cancel := v.onArrival.Load(); cancel != nil {
		(*cancel)()
	}
}

// receive counts what the owner has received. Only the owner calls it, and the other methods below.
func (v *arrivals) receive() { v.received++ }

// isPending reports whether something has arrived that was not received yet.
func (v *arrivals) isPending() bool { return v.count.Load() > v.received }

// cancelNext calls cancel at the next arrival, or at once if one is pending. The function that it returns ends that.
func (v *arrivals) cancelNext(cancel context.CancelFunc) (stop func()) {
	v.onArrival.Store(&cancel)
	if v.isPending() {
		cancel()
	}
	return func() { v.onArrival.Store(nil) }
}
