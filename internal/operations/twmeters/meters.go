// Package twmeters counts what a daemon does and serves the counts as text.
package twmeters

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// sampled is how many newest latencies a histogram keeps; with 300 the 99th percentile rests on three.
	sampled = 300
	// sampleAlpha favours newer latencies, as the library's pages advise for the last minutes.
	sampleAlpha = 0.015
)

// quantiles are what a histogram shows.
var quantiles = []float64{0.5, 0.9, 0.99}

// Meters are a daemon's counters, gauges and latency histograms.
type Meters struct {
	registry metrics.Registry
	mu       sync.Mutex
	// names are those that counters are split by.
	names map[string]map[string]bool
}

// New returns meters without any value.
func New() *Meters {
	// The library's global clocks for rates are not used; counters and histograms need none.
	return &Meters{registry: metrics.NewRegistry(), names: make(map[string]map[string]bool)}
}

// Count adds to the counter of that name.
func (m *Meters) Count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(n)
}

// maxNames is how many names one counter is split by; further names count as otherName.
const (
	maxNames  = 64
	otherName = "other"
)

// CountNamed adds to the counter of the name, as one of those that the prefix is split by. Their number is bounded, since callers
// or the configuration choose the names.
func (m *Meters) CountNamed(prefix, name string, n int64) {
	m.mu.Lock()
	names := m.names[prefix]
	if names == nil {
		names = make(map[string]bool)
		m.names[prefix] = names
	}
	if !names[name] && len(names) >= maxNames {
		name = otherName
	} else {
		names[name] = true
	}
	m.mu.Unlock()
	m.Count(prefix+"_"+name, n)
}

// Observe takes one latency in milliseconds.
func (m *Meters) Observe(name string, millis int64) {
	m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampled, sampleAlpha))
	}).(metrics.Histogram).Update(millis)
}

// Gauge shows what read returns whenever the meters are served.
func (m *Meters) Gauge(name string, read func() int64) {
	metrics.NewRegisteredFunctionalGauge(name, m.registry, read)
}

// ServeHTTP writes one line for each value, ordered by name.
func (m *Meters) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = io.WriteString(w, m.text())
}

func (m *Meters) text() string {
	var lines []string
	m.registry.Each(func(name string, value any) {
		switch v := value.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, v.Value()))
		case metrics.Histogram:
			lines = append(lines, histogram(name, v.Snapshot())...)
		}
	})
	sort.Strings(lines)
	return strings.Join(lines, "\n") + "\n" + fmt.Sprintf("scrapedAtMillis %d\n", time.Now().UnixMilli())
}

func histogram(name string, h metrics.Histogram) []string {
	lines := []string{fmt.Sprintf("%s_count %d", name, h.Count())}
	for i, value := range h.Percentiles(quantiles) {
		lines = append(lines, fmt.Sprintf("%s{quantile=%q} %.0f", name, fmt.Sprint(quantiles[i]), value))
	}
	return lines
}
