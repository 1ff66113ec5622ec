package twdialer

import (
	"context"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/grpc/stats"
)

// traffic counts what the peer protocol costs, so that the capacity page can be checked on a real fleet.
type traffic struct {
	bytesIn, bytesOut metrics.Counter
	messages          metrics.Counter
}

func newTraffic(registry metrics.Registry) *traffic {
	return &traffic{
		bytesIn:  metrics.GetOrRegisterCounter("control.bytesIn", registry),
		bytesOut: metrics.GetOrRegisterCounter("control.bytesOut", registry),
		messages: metrics.GetOrRegisterCounter("control.messages", registry),
	}
}

func (t *traffic) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (t *traffic) HandleRPC(_ context.Context, event stats.RPCStats) {
	switch e := event.(type) {
	case *stats.InPayload:
		t.bytesIn.Inc(int64(e.WireLength))
		t.messages.Inc(1)
	case *stats.OutPayload:
		t.bytesOut.Inc(int64(e.WireLength))
		t.messages.Inc(1)
	case *stats.InHeader:
		t.bytesIn.Inc(int64(e.WireLength))
	}
}

func (t *traffic) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (t *traffic) HandleConn(context.Context, stats.ConnStats) {}
