// Package twmetrics holds a daemon's metrics (counters, gauges and latency histograms) and serves them as text over
// HTTP. Their number is bounded also where callers or the configuration choose names.
package twmetrics

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// sampleSize is how many latencies a histogram keeps; with 300 the 99th percentile rests on three values.
	sampleSize = 300
	// sampleAlpha weights the sample towards the last minutes; it is the value that the library recommends for that.
	sampleAlpha = 0.015
)

// quantiles are the quantiles that are shown of each histogram.
var quantiles = []float64{0.5, 0.9, 0.99}

// Metrics holds a daemon's counters, gauges and latency histograms.
type Metrics struct {
	registry metrics.Registry
	mu       sync.Mutex
	// namesByPrefix holds, for each prefix, the names that its counters are split by.
	namesByPrefix map[string]map[string]bool
	// gaugesByPrefix reads the values of gauges by name.
	gaugesByPrefix map[string]func() map[string]int64
}

// New returns Metrics without any entry.
func New() *Metrics {
	// Counters and histograms need none of the library's background timers, which serve rates.
	return &Metrics{
		registry: metrics.NewRegistry(), namesByPrefix: make(map[string]map[string]bool),
		gaugesByPrefix: make(map[string]func() map[string]int64),
	}
}

// Count adds n to the counter of that name.
func (m *Metrics) Count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(n)
}

// maxNamesPerPrefix bounds the names that one counter is split by; further names are counted under otherName.
const (
	maxNamesPerPrefix = 64
	otherName         = "other"
)

// CountNamed adds n to the counter prefix_name. The number of names of a prefix is bounded, since callers or the
// configuration choose them.
func (m *Metrics) CountNamed(prefix, name string, n int64) {
	m.mu.Lock()
	names := m.namesByPrefix[prefix]
	if names == nil {
		names = make(map[string]bool)
		m.namesByPrefix[prefix] = names
	}
	if !names[name] && len(names) >= maxNamesPerPrefix {
		name = otherName
	} else {
		names[name] = true
	}
	m.mu.Unlock()
	m.Count(prefix+"_"+name, n)
}

// ObserveMillis adds one latency in milliseconds to the histogram of that name.
func (m *Metrics) ObserveMillis(name string, millis int64) {
	m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram).Update(millis)
}

// Gauge registers a gauge whose value is read each time the metrics are served.
func (m *Metrics) Gauge(name string, read func() int64) {
	metrics.NewRegisteredFunctionalGauge(name, m.registry, read)
}

// GaugesNamed registers gauges prefix_name whose values are read by name each time the metrics are served. Of more than
// maxNamesPerPrefix names, those with the largest values are served.
func (m *Metrics) GaugesNamed(prefix string, read func() map[string]int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gaugesByPrefix[prefix] = read
}

// formatGaugesNamed returns the lines of the gauges that are read by name.
func (m *Metrics) formatGaugesNamed() []string {
	m.mu.Lock()
	readers := maps.Clone(m.gaugesByPrefix)
	m.mu.Unlock()
	var lines []string
	for prefix, read := range readers {
		values := read()
		names := slices.SortedFunc(maps.Keys(values), func(x, y string) int {
			return cmp.Or(cmp.Compare(values[y], values[x]), cmp.Compare(x, y))
		})
		for _, name := range names[:min(len(names), maxNamesPerPrefix)] {
			lines = append(lines, fmt.Sprintf("%s_%s %d", prefix, name, values[name]))
		}
	}
	return lines
}

// ServeHTTP writes one line for each value, sorted by name, and the time of the answer in Unix milliseconds.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, m.formatText())
}

func (m *Metrics) formatText() string {
	lines := m.formatGaugesNamed()
	m.registry.Each(func(name string, value any) {
		switch v := value.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Value()))
		case metrics.Histogram:
			lines = append(lines, formatHistogram(name, v.Snapshot())...)
		}
	})
	sort.Strings(lines)
	return strings.Join(lines, "\n") + "\n" + fmt.Sprintf("scrapedAtMillis %d\n", time.Now().UnixMilli())
}

func formatHistogram(name string, h metrics.Histogram) []string {
	lines := []string{fmt.Sprintf("%s_count %d", name, h.Count())}
	for i, value := range h.Percentiles(quantiles) {
		lines = append(lines, fmt.Sprintf("%s{quantile=%q} %.0f", name, fmt.Sprint(quantiles[i]), value))
	}
	return lines
}
