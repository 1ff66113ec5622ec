package twmeasure

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twcaller"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twenginestand"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twexample"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twsite"
)

// members watches idle daemons: heartbeats, and polling of the platform.
func (m *Measure) members(ctx context.Context) error {
	peers := &series{name: "peer traffic of a daemon, in and out", unit: "KB/s"}
	messages := &series{name: "peer messages", unit: "1/s"}
	platform := &series{name: "read from the platform", unit: "KB/s"}
	reads := &series{name: "platform calls", unit: "1/s"}
	processor := &series{name: "processor of a daemon", unit: "% of a core"}
	memory := &series{name: "heap and stacks of a daemon", unit: "MB"}
	for _, n := range []int{3, 6, 12, 24, 54} {
		before := heap()
		site, err := twsite.New(ctx, twsite.Config{Example: twexample.Arriola(), Daemons: n, Policy: policy, Log: io.Discard})
		if err != nil {
			return err
		}
		w, err := m.watch(ctx, site)
		if err != nil {
			return err
		}
		share := m.config.Length.Seconds() * float64(n)
		peers.add(float64(n), w.peerBytes/share/kilobyte)
		messages.add(float64(n), w.peerMessages/share)
		platform.add(float64(n), w.platformBytes/share/kilobyte)
		reads.add(float64(n), w.platformCalls/share)
		processor.add(float64(n), 100*w.processor.Seconds()/share)
		memory.add(float64(n), (heap()-before)/float64(n)/megabyte)
		if err := site.Close(); err != nil {
			return err
		}
	}
	return m.report("members: idle daemons in one process, with the platform's stand-in", "daemons",
		peers, messages, platform, reads, processor, memory)
}

// longAnswer keeps a decode place for more than a minute.
const longAnswer = 2000

// engines watches a leader whose decode engines are full.
func (m *Measure) engines(ctx context.Context) error {
	const slots = 20
	reports := &series{name: "reports and events read by the leader", unit: "KB/s"}
	calls := &series{name: "calls to engines", unit: "1/s"}
	steps := &series{name: "steps of the decision machine", unit: "1/s"}
	for _, n := range []int{4, 8, 16, 32} {
		site, err := twsite.New(ctx, twsite.Config{
			Example: twexample.Arriola(), Daemons: 3, Prefill: n / 4, Decode: n - n/4, Policy: policy, Log: io.Discard,
			Engine: twenginestand.Config{Slots: slots, Pieces: slots, PrefillRate: 1e6},
		})
		if err != nil {
			return err
		}
		release, err := fill(ctx, site, (n-n/4)*slots)
		if err != nil {
			return err
		}
		w, err := m.watch(ctx, site)
		if err != nil {
			return err
		}
		seconds := m.config.Length.Seconds()
		reports.add(float64(n), w.engineBytes/seconds/kilobyte)
		calls.add(float64(n), w.engineCalls/seconds)
		steps.add(float64(n), w.steps/seconds)
		release()
		if err := site.Close(); err != nil {
			return err
		}
	}
	return m.report("engines: one leader, three quarters of them decode, each with 20 attempts", "engines", reports, calls, steps)
}

// placements sends requests with prompts of growing length to a daemon that is not the leader.
func (m *Measure) placements(ctx context.Context) error {
	const requests = 100
	traffic := &series{name: "peer traffic of a placement, its ending included", unit: "bytes"}
	for _, tokens := range []int{50, 500, 2000, 8000, 16_000} {
		site, err := twsite.New(ctx, twsite.Config{
			Example: twexample.Arriola(), Daemons: 3, Prefill: 2, Decode: 4, Policy: policy, Log: io.Discard,
			Engine: twenginestand.Config{PrefillRate: 1e7, LinkMegabytesPerSecond: 1e6, StepMillis: 1, StepPerSlotMillis: 0.01},
		})
		if err != nil {
			return err
		}
		if err := sleep(ctx, settle); err != nil {
			return err
		}
		before := placed(ctx, site)
		prompt := strings.Repeat("a", tokens*bytesPerToken)
		for i := range requests {
			if _, err := stream(ctx, site.CallerAddresses()[i%3], twexample.Arriola(), prompt, 1); err != nil {
				return err
			}
		}
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
		// One daemon of three is the leader and asks itself; each message is counted at both its ends.
		traffic.add(float64(tokens), (placed(ctx, site)-before)/2/(requests*2/3.0))
		if err := site.Close(); err != nil {
			return err
		}
	}
	return m.report("placements: requests through daemons that ask another one", "prompt tokens", traffic)
}

const bytesPerToken = 4

type placementCounters struct {
	PlaceIn   counter `json:"control.Place.bytesIn"`
	PlaceOut  counter `json:"control.Place.bytesOut"`
	FinishIn  counter `json:"control.Finish.bytesIn"`
	FinishOut counter `json:"control.Finish.bytesOut"`
}

func placed(ctx context.Context, site *twsite.Site) float64 {
	total := 0.0
	for _, address := range site.OperatorAddresses() {
		var c placementCounters
		_ = twcaller.New(http.DefaultClient, "").ReadJSON(ctx, "http://"+address+"/metrics", &c)
		total += c.PlaceIn.Count + c.PlaceOut.Count + c.FinishIn.Count + c.FinishOut.Count
	}
	return total
}

// fill opens streams that stay, until release is called.
func fill(ctx context.Context, site *twsite.Site, streams int) (release func(), err error) {
	inner, cancel := context.WithCancel(ctx)
	ends := make(chan struct{})
	for i := range streams {
		go func() {
			_, _ = stream(inner, site.CallerAddresses()[i%len(site.CallerAddresses())], twexample.Arriola(), "wait", longAnswer)
			ends <- struct{}{}
		}()
	}
	release = func() {
		cancel()
		for range streams {
			<-ends
		}
	}
	if err := awaitHeld(ctx, site, streams); err != nil {
		release()
		return nil, err
	}
	return release, nil
}

// watched is what all daemons of a site counted while they were watched.
type watched struct {
	peerBytes, peerMessages      float64
	platformBytes, platformCalls float64
	engineBytes, engineCalls     float64
	steps                        float64
	processor                    time.Duration
}

// watch lets the site settle, and then counts for the length of a point.
func (m *Measure) watch(ctx context.Context, site *twsite.Site) (watched, error) {
	if err := sleep(ctx, settle); err != nil {
		return watched{}, err
	}
	before, err := countersOf(ctx, site)
	if err != nil {
		return watched{}, err
	}
	used := processorTime()
	if err := sleep(ctx, m.config.Length); err != nil {
		return watched{}, err
	}
	spent := processorTime() - used
	after, err := countersOf(ctx, site)
	return watched{
		peerBytes:     after.peerBytes - before.peerBytes,
		peerMessages:  after.peerMessages - before.peerMessages,
		platformBytes: after.platformBytes - before.platformBytes,
		platformCalls: after.platformCalls - before.platformCalls,
		engineBytes:   after.engineBytes - before.engineBytes,
		engineCalls:   after.engineCalls - before.engineCalls,
		steps:         after.steps - before.steps,
		processor:     spent,
	}, err
}

type counters struct {
	BytesIn  counter `json:"control.bytesIn"`
	BytesOut counter `json:"control.bytesOut"`
	Messages counter `json:"control.messages"`
	Writes   counter `json:"platform.writes"`
	Commits  counter `json:"platform.transactions"`
	Engines  counter `json:"control.engines.bytesIn"`
	Reports  counter `json:"control.engines.messages"`
	Platform counter `json:"control.platform.bytesIn"`
	Reads    counter `json:"control.platform.messages"`
	Placed   counter `json:"control.placement"`
}

type counter struct {
	Count float64 `json:"count"`
}

// countersOf adds up the counters of all daemons.
func countersOf(ctx context.Context, site *twsite.Site) (watched, error) {
	var w watched
	for _, address := range site.OperatorAddresses() {
		c, err := metricsOf(ctx, address)
		if err != nil {
			return w, err
		}
		w.peerBytes += c.BytesIn.Count + c.BytesOut.Count
		w.peerMessages += c.Messages.Count
		w.platformBytes += c.Platform.Count
		w.platformCalls += c.Reads.Count
		w.engineBytes += c.Engines.Count
		w.engineCalls += c.Reports.Count
		w.steps += c.Placed.Count
	}
	return w, nil
}

func metricsOf(ctx context.Context, address string) (counters, error) {
	var c counters
	if err := twcaller.New(http.DefaultClient, "").ReadJSON(ctx, "http://"+address+"/metrics", &c); err != nil {
		return c, fmt.Errorf("read the metrics of %s: %w", address, err)
	}
	return c, nil
}
