package twdialer

import (
	"context"
	"path"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc/stats"
)

// traffic counts what the peer protocol costs, in all and for each of its calls, so that the capacity page
// can be checked on a real fleet.
type traffic struct {
	registry metrics.Registry
	all      counters
}

// counters count the payload and headers of messages, on both sides of a call.
type counters struct {
	bytesIn, bytesOut, messages metrics.Counter
}

type methodKey struct{}

func newTraffic(registry metrics.Registry) *traffic {
	return &traffic{registry: registry, all: newCounters("control", registry)}
}

func newCounters(name string, registry metrics.Registry) counters {
	return counters{
		bytesIn:  metrics.GetOrRegisterCounter(name+".bytesIn", registry),
		bytesOut: metrics.GetOrRegisterCounter(name+".bytesOut", registry),
		messages: metrics.GetOrRegisterCounter(name+".messages", registry),
	}
}

func (c counters) in(length int) {
	c.bytesIn.Inc(int64(length))
	c.messages.Inc(1)
}

func (c counters) out(length int) {
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
		t.all.in(e.WireLength)
		method.in(e.WireLength)
	case *stats.OutPayload:
		t.all.out(e.WireLength)
		method.out(e.WireLength)
	case *stats.InHeader:
		t.all.bytesIn.Inc(int64(e.WireLength))
		method.bytesIn.Inc(int64(e.WireLength))
	}
}

func (t *traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (t *traffic) HandleConn(context.Context, stats.ConnStats) {}
