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

// measureMembers measures idle daemons, which exchange heartbeats and poll the platform.
func (m *Measure) measureMembers(ctx context.Context) error {
	peers := &series{name: "peer traffic of a daemon, in and out", unit: "KB/s"}
	messages := &series{name: "peer messages", unit: "1/s"}
	platform := &series{name: "read from the platform", unit: "KB/s"}
	reads := &series{name: "platform calls", unit: "1/s"}
	processor := &series{name: "processor of a daemon", unit: "% of a core"}
	memory := &series{name: "heap and stacks of a daemon", unit: "MB"}
	for _, n := range []int{3, 6, 12, 24, 54} {
		before := liveMemoryBytes()
		site, err := twsite.New(ctx, twsite.Config{Example: twexample.Arriola(), Daemons: n, Policy: policy, Log: io.Discard})
		if err != nil {
			return err
		}
		w, err := m.countTraffic(ctx, site)
		if err != nil {
			return err
		}
		share := m.config.Length.Seconds() * float64(n)
		peers.add(float64(n), w.peerBytes/share/kilobyte)
		messages.add(float64(n), w.peerMessages/share)
		platform.add(float64(n), w.platformBytes/share/kilobyte)
		reads.add(float64(n), w.platformCalls/share)
		processor.add(float64(n), 100*w.processor.Seconds()/share)
		memory.add(float64(n), (liveMemoryBytes()-before)/float64(n)/megabyte)
		if err := site.Close(); err != nil {
			return err
		}
	}
	return m.printSeries("members: idle daemons in one process, with the platform's stand-in", "daemons",
		peers, messages, platform, reads, processor, memory)
}

// longAnswerTokens is the length of an answer that holds a decode slot for more than a minute.
const longAnswerTokens = 2000

// measureEngines measures a leader whose decode engines are full.
func (m *Measure) measureEngines(ctx context.Context) error {
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
		release, err := openStreams(ctx, site, (n-n/4)*slots)
		if err != nil {
			return err
		}
		w, err := m.countTraffic(ctx, site)
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
	return m.printSeries("engines: one leader, three quarters of them decode, each with 20 attempts", "engines",
		reports, calls, steps)
}

// measurePlacements measures the peer traffic of a placement with prompts of growing length. Two thirds of the
// requests go through daemons that are not the leader.
func (m *Measure) measurePlacements(ctx context.Context) error {
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
		if err := sleep(ctx, settleTime); err != nil {
			return err
		}
		before := placementBytes(ctx, site)
		prompt := strings.Repeat("a", tokens*bytesPerToken)
		for i := range requests {
			if _, err := streamCompletion(ctx, site.CallerAddresses()[i%3],
				twexample.Arriola(), prompt, 1); err != nil {
				return err
			}
		}
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
		// One daemon of three is the leader and sends itself no messages; each message is counted at both ends.
		traffic.add(float64(tokens), (placementBytes(ctx, site)-before)/2/(requests*2/3.0))
		if err := site.Close(); err != nil {
			return err
		}
	}
	return m.printSeries("placements: requests through daemons that ask another one", "prompt tokens", traffic)
}

const bytesPerToken = 4

// placementMetrics are a daemon's byte counters of placement messages.
type placementMetrics struct {
	PlaceIn   counter `json:"control.Place.bytesIn"`
	PlaceOut  counter `json:"control.Place.bytesOut"`
	FinishIn  counter `json:"control.Finish.bytesIn"`
	FinishOut counter `json:"control.Finish.bytesOut"`
}

// placementBytes returns the bytes of placement messages that all daemons counted.
func placementBytes(ctx context.Context, site *twsite.Site) float64 {
	total := 0.0
	for _, address := range site.OperatorAddresses() {
		var c placementMetrics
		_ = twcaller.New(http.DefaultClient, "").ReadJSON(ctx, "http://"+address+"/metrics", &c)
		total += c.PlaceIn.Count + c.PlaceOut.Count + c.FinishIn.Count + c.FinishOut.Count
	}
	return total
}

// openStreams opens long streams and waits until the engines hold nine tenths of them. The streams stay open until
// release is called.
func openStreams(ctx context.Context, site *twsite.Site, streams int) (release func(), err error) {
	inner, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	for i := range streams {
		go func() {
			_, _ = streamCompletion(inner, site.CallerAddresses()[i%len(site.CallerAddresses())], twexample.Arriola(),
				"wait", longAnswerTokens)
			done <- struct{}{}
		}()
	}
	release = func() {
		cancel()
		for range streams {
			<-done
		}
	}
	if err := awaitHeld(ctx, site, streams); err != nil {
		release()
		return nil, err
	}
	return release, nil
}

// totals are the sums of the counters of all daemons of a site, and the processor time of the process.
type totals struct {
	peerBytes, peerMessages      float64
	platformBytes, platformCalls float64
	engineBytes, engineCalls     float64
	steps                        float64
	processor                    time.Duration
}

// countTraffic waits until the site has settled, and returns what its daemons count during the length of a point.
func (m *Measure) countTraffic(ctx context.Context, site *twsite.Site) (totals, error) {
	if err := sleep(ctx, settleTime); err != nil {
		return totals{}, err
	}
	before, err := sumCounters(ctx, site)
	if err != nil {
		return totals{}, err
	}
	used := processorTime()
	if err := sleep(ctx, m.config.Length); err != nil {
		return totals{}, err
	}
	spent := processorTime() - used
	after, err := sumCounters(ctx, site)
	return totals{
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

// daemonMetrics are a daemon's counters of control traffic and of the platform's use.
type daemonMetrics struct {
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

// sumCounters returns the sums of the counters of all daemons.
func sumCounters(ctx context.Context, site *twsite.Site) (totals, error) {
	var w totals
	for _, address := range site.OperatorAddresses() {
		c, err := readMetrics(ctx, address)
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

func readMetrics(ctx context.Context, address string) (daemonMetrics, error) {
	var c daemonMetrics
	if err := twcaller.New(http.DefaultClient, "").ReadJSON(ctx, "http://"+address+"/metrics", &c); err != nil {
		return c, fmt.Errorf("read the metrics of daemon %s: %w", address, err)
	}
	return c, nil
}
