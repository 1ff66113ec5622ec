package twdialer

import (
	"context"
	"path"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc/stats"
)

// traffic counts the bytes and messages of the peer protocol, in total and by method, so that the capacity page can
// be checked on a real fleet. It implements stats.Handler.
type traffic struct {
	registry metrics.Registry
	total    counters
}

// counters count the payload and headers of messages on both sides of a call. Messages are those with a payload.
type counters struct {
	bytesIn, bytesOut, messages metrics.Counter
}

// methodKey is the context key of a method's counters.
type methodKey struct{}

func newTraffic(registry metrics.Registry) *traffic {
	return &traffic{registry: registry, total: newCounters("control", registry)}
}

func newCounters(name string, registry metrics.Registry) counters {
	return counters{
		bytesIn:  metrics.GetOrRegisterCounter(name+".bytesIn", registry),
		bytesOut: metrics.GetOrRegisterCounter(name+".bytesOut", registry),
		messages: metrics.GetOrRegisterCounter(name+".messages", registry),
	}
}

// countIn counts a received message; length is its size on the wire in bytes.
func (c counters) countIn(length int) {
	c.bytesIn.Inc(int64(length))
	c.messages.Inc(1)
}

// countOut counts a sent message; length is its size on the wire in bytes.
func (c counters) countOut(length int) {
	c.bytesOut.Inc(int64(length))
	c.messages.Inc(1)
}

func (t *traffic) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	return context.WithValue(ctx, methodKey{}, newCounters("control."+path.Base(info.FullMethodName), t.registry))
}

func (t *traffic) HandleRPC(ctx context.Context, event stats.RPCStats) {
	method, ok := ctx.Value(methodKey{}).(counters)
	if !ok {
		return
	}
	switch e := event.(type) {
	case *stats.InPayload:
		t.total.countIn(e.WireLength)
		method.countIn(e.WireLength)
	case *stats.OutPayload:
		t.total.countOut(e.WireLength)
		method.countOut(e.WireLength)
	case *stats.InHeader:
		t.total.bytesIn.Inc(int64(e.WireLength))
		method.bytesIn.Inc(int64(e.WireLength))
	}
}

func (t *traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (t *traffic) HandleConn(context.Context, stats.ConnStats) {}
