package twmeasure

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/turmericwall/turmericwall/internal/document/twparser"
	"github.com/turmericwall/turmericwall/internal/document/twpublisher"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twcaller"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twenginestand"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twexample"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twsite"
)

const (
	// settleTime is the wait after a site's start before it is measured.
	settleTime       = 4 * time.Second
	policy           = "leader"
	parseRepetitions = 20
	kilobyte         = 1000.0
	megabyte         = 1e6
	// maxAccounts is the number of accounts that the router is designed for.
	maxAccounts = 500
	holdTimeout = 30 * time.Second
)

// measureDocument measures how long a document takes to parse, and to come into force at six daemons after its apply.
func (m *Measure) measureDocument(ctx context.Context) error {
	parse := &series{name: "parse and check", unit: "ms"}
	inForceTime := &series{name: "in force at six daemons, after apply", unit: "ms"}
	for _, accounts := range []int{1, 10, 50, 150, maxAccounts, 4000} {
		source := withAccounts(accounts)
		start := time.Now()
		for range parseRepetitions {
			if _, err := twparser.New("measure").Parse(1, source); err != nil {
				return err
			}
		}
		parse.add(float64(len(source))/kilobyte, time.Since(start).Seconds()*kilobyte/parseRepetitions)
		inForce, err := m.measurePropagation(ctx, source)
		if err != nil {
			return err
		}
		inForceTime.add(float64(len(source))/kilobyte, inForce.Seconds()*kilobyte)
	}
	return m.printSeries("document: size from one account to 4,000", "KB", parse, inForceTime)
}

// withAccounts returns a document with n accounts.
func withAccounts(n int) []byte {
	var accounts []string
	for i := range n {
		accounts = append(accounts, fmt.Sprintf(`{"name":"account-%d","keySha256":"%064x","work":["counter"],"requestsPerSecond":100,"burst":200,"openDeferrable":1000}`, i, i))
	}
	return fmt.Appendf(nil, `{"services":[{"name":"s","type":"engines","models":["m"]}],"work":[{"name":"counter","urgent":true,`+
		`"firstTokenMillis":1200,"tokenGapMillis":54,"worth":1}],"accounts":[%s]}`, strings.Join(accounts, ",\n"))
}

// measurePropagation applies a second revision and returns the time until every daemon has it in force.
func (m *Measure) measurePropagation(ctx context.Context, source []byte) (time.Duration, error) {
	const daemons = 6
	site, err := twsite.New(ctx, twsite.Config{Example: twexample.Arriola(), Daemons: daemons, Policy: policy, Log: io.Discard})
	if err != nil {
		return 0, err
	}
	publisher := twpublisher.New(twpublisher.Config{Table: site.Table(), Environment: "production"})
	start := time.Now()
	if _, err := publisher.Apply(
		ctx, 1, twpublisher.RevisionEntry{Source: source, At: start, Operator: "measure"},
	); err != nil {
		return 0, err
	}
	for _, address := range site.OperatorAddresses() {
		for readRevision(ctx, address) < 2 {
			if err := sleep(ctx, 5*time.Millisecond); err != nil {
				return 0, err
			}
		}
	}
	took := time.Since(start)
	return took, site.Close()
}

type revisionStatus struct {
	Revision int64 `json:"revision"`
}

// readRevision returns the revision that the daemon has in force, or 0 if it can't be read.
func readRevision(ctx context.Context, address string) int64 {
	var r revisionStatus
	_ = twcaller.New(http.DefaultClient, "").ReadJSON(ctx, "http://"+address+"/status", &r)
	return r.Revision
}

// measureClaims sends non-idempotent calls at growing rates, and measures the platform's transactions and the time to
// the answer.
func (m *Measure) measureClaims(ctx context.Context) error {
	example := twexample.Arriola()
	writes := &series{name: "rows written", unit: "1/s"}
	commits := &series{name: "transactions", unit: "1/s"}
	median := &series{name: "median answer", unit: "ms"}
	for _, rate := range []float64{25, 50, 100, 200, 400} {
		site, err := twsite.New(ctx, twsite.Config{Example: example, Daemons: 6, Services: 3, Policy: policy, Log: io.Discard})
		if err != nil {
			return err
		}
		took, err := sendBookings(ctx, site, example, rate, m.config.Length)
		if err != nil {
			return err
		}
		rows, transactions := 0.0, 0.0
		for _, address := range site.OperatorAddresses() {
			c, err := readMetrics(ctx, address)
			if err != nil {
				return err
			}
			rows += c.Writes.Count
			transactions += c.Commits.Count
		}
		writes.add(rate, rows/m.config.Length.Seconds())
		commits.add(rate, transactions/m.config.Length.Seconds())
		median.add(rate, took.Seconds()*kilobyte)
		if err := site.Close(); err != nil {
			return err
		}
	}
	return m.printSeries("claims: bookings spread over six daemons, platform without latency", "calls/s", writes,
		commits, median)
}

// sendBookings sends bookings at the rate, per second, for the length, and returns the median time to the answer.
func sendBookings(ctx context.Context, site *twsite.Site, example twexample.Example, rate float64, length time.Duration) (time.Duration, error) {
	count := int(rate * length.Seconds())
	times := make(chan time.Duration, count)
	errs := make(chan error, count)
	caller := twcaller.New(http.DefaultClient, example.Key())
	start := time.Now()
	for i := range count {
		if err := sleep(ctx, time.Until(start.Add(time.Duration(float64(i)/rate*float64(time.Second))))); err != nil {
			return 0, err
		}
		go func() {
			began := time.Now()
			header := http.Header{"Idempotency-Key": {fmt.Sprintf("m-%d", i)}}
			address := site.CallerAddresses()[i%len(site.CallerAddresses())]
			response, err := caller.Call(ctx, http.MethodPost,
				"http://"+address+"/services/"+example.PlainService()+"/bookings", header, i)
			if err == nil {
				err = response.Body.Close()
			}
			times <- time.Since(began)
			errs <- err
		}()
	}
	var all []time.Duration
	for range count {
		all = append(all, <-times)
		if err := <-errs; err != nil {
			return 0, err
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all[len(all)/2], nil
}

// measureWaiting measures the memory of the process while growing numbers of deferrable calls wait for a placement.
func (m *Measure) measureWaiting(ctx context.Context) error {
	example := twexample.Arriola()
	memory := &series{name: "heap and stacks of callers, daemons and engines", unit: "MB"}
	for _, n := range []int{1000, 2000, 4000, 8000} {
		site, err := twsite.New(ctx, twsite.Config{
			Example: example, Daemons: 4, Prefill: 1, Decode: 1, Policy: policy, Log: io.Discard,
			Engine: twenginestand.Config{Slots: 1, Queue: 1},
		})
		if err != nil {
			return err
		}
		before := liveMemoryBytes()
		inner, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		for i := range n {
			// The account's limit is 2,000 calls a second.
			time.Sleep(time.Millisecond)
			go func() {
				_, _ = readCompletion(inner, site.CallerAddresses()[i%4], example, "dossier",
					streamedCompletion(example, "wait", 20_000))
				done <- struct{}{}
			}()
		}
		err = awaitInFlight(ctx, site, n)
		memory.add(float64(n), (liveMemoryBytes()-before)/megabyte)
		cancel()
		for range n {
			<-done
		}
		if closeErr := site.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return err
		}
	}
	return m.printSeries("waiting: calls that wait for a place; callers, daemons and engines share the process",
		"calls", memory)
}

type inFlightStatus struct {
	InFlight int `json:"inFlight"`
}

// awaitInFlight waits until the daemons have n calls in flight, and returns an error after holdTimeout.
func awaitInFlight(ctx context.Context, site *twsite.Site, n int) error {
	deadline := time.Now().Add(holdTimeout)
	for time.Now().Before(deadline) {
		all := 0
		for _, address := range site.OperatorAddresses() {
			var l inFlightStatus
			_ = twcaller.New(http.DefaultClient, "").ReadJSON(ctx, "http://"+address+"/status", &l)
			all += l.InFlight
		}
		if all >= n {
			return nil
		}
		if err := sleep(ctx, 100*time.Millisecond); err != nil {
			return err
		}
	}
	return fmt.Errorf("the daemons have fewer than %d calls in flight after %s", n, holdTimeout)
}

// awaitHeld waits until the engines hold nine tenths of n attempts, and returns an error after holdTimeout.
func awaitHeld(ctx context.Context, site *twsite.Site, n int) error {
	deadline := time.Now().Add(holdTimeout)
	for time.Now().Before(deadline) {
		held := 0
		for _, e := range site.Engines() {
			held += len(e.Stats().Held)
		}
		if held >= n*9/10 {
			return nil
		}
		if err := sleep(ctx, 100*time.Millisecond); err != nil {
			return err
		}
	}
	return fmt.Errorf("the engines hold less than 9/10 of %d attempts after %s", n, holdTimeout)
}

// measureOverhead measures the time of small requests through the router, to compare with what their engines need
// alone.
func (m *Measure) measureOverhead(ctx context.Context) error {
	example := twexample.Arriola()
	site, err := twsite.New(ctx, twsite.Config{
		Example: example, Daemons: 2, Prefill: 1, Decode: 1, Policy: policy, Log: io.Discard,
		Engine: twenginestand.Config{StepMillis: 1, StepPerSlotMillis: 0.001, PrefillRate: 1e6, LinkMegabytesPerSecond: 1e6},
	})
	if err != nil {
		return err
	}
	const requests, tokens = 400, 2
	var all []time.Duration
	used := processorTime()
	for i := range requests {
		start := time.Now()
		if _, err := streamCompletion(ctx, site.CallerAddresses()[i%2],
			example, "a small question", tokens); err != nil {
			return err
		}
		all = append(all, time.Since(start))
	}
	processor := (processorTime() - used).Seconds() * kilobyte / requests
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	_, _ = fmt.Fprintf(m.config.Output, "overhead: %d requests of %d tokens, whose engines need 2.1 ms alone, one after the other\n"+
		"median %.2f ms, 99th percentile %.2f ms; processor of caller, daemons and engines together %.2f ms a request\n\n",
		requests, tokens, all[len(all)/2].Seconds()*kilobyte, all[len(all)*99/100].Seconds()*kilobyte, processor)
	return site.Close()
}

func streamedCompletion(example twexample.Example, prompt string, tokens int) twcaller.Completion {
	return twcaller.Completion{Model: example.Model(), Prompt: prompt, MaxTokens: tokens, Stream: true}
}

func streamCompletion(ctx context.Context, address string, example twexample.Example, prompt string, tokens int) ([]byte, error) {
	return readCompletion(ctx, address, example, "counter", streamedCompletion(example, prompt, tokens))
}

// readCompletion sends a completion of the kind of work and reads the answer to its end; a status other than 200 is an
// error.
func readCompletion(ctx context.Context, address string, example twexample.Example, work string, body twcaller.Completion) ([]byte, error) {
	response, err := twcaller.New(http.DefaultClient, example.Key()).Call(ctx, http.MethodPost, "http://"+address+"/v1/completions",
		http.Header{"X-Work": {work}}, body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("completion not answered: status %d", response.StatusCode)
	}
	return io.ReadAll(response.Body)
}
