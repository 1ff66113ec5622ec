package twmetrics_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/operations/twmetrics"
)

func TestMetricsAreServedAsText(t *testing.T) {
	g := NewWithT(t)
	m := twmetrics.New()
	m.Count("calls_answered", 2)
	m.Count("calls_answered", 1)
	m.Gauge("calls_open", func() int64 { return 7 })
	for i := range 100 {
		m.ObserveMillis("latencyMillis_plain", int64(i))
	}
	w := httptest.NewRecorder()
	m.ServeHTTP(w, nil)
	g.Expect(w.Body.String()).To(ContainSubstring("calls_answered 3\n"))
	g.Expect(w.Body.String()).To(ContainSubstring("calls_open 7\n"))
	g.Expect(w.Body.String()).To(ContainSubstring("latencyMillis_plain_count 100\n"))
	g.Expect(w.Body.String()).To(MatchRegexp(`latencyMillis_plain\{quantile="0.9"\} (89|90|91)\n`))
}

// Guards against gauges of accounts that are not served, or grow with the names in the configuration.
func TestGaugesByNameAreBounded(t *testing.T) {
	g := NewWithT(t)
	m := twmetrics.New()
	m.GaugeNamed("waiting", func() map[string]int64 {
		values := make(map[string]int64)
		for i := range 100 {
			values[fmt.Sprint("account", i)] = int64(i)
		}
		return values
	})
	w := httptest.NewRecorder()
	m.ServeHTTP(w, nil)
	g.Expect(w.Body.String()).To(ContainSubstring("waiting_account99 99\n"))
	g.Expect(strings.Count(w.Body.String(), "waiting_")).To(Equal(64))
}

// Without a bound, the number of metrics would grow with the names in the configuration.
func TestCountersOfAPrefixAreBounded(t *testing.T) {
	g := NewWithT(t)
	m := twmetrics.New()
	for i := range 100 {
		m.CountNamed("calls", fmt.Sprint("account", i), 1)
	}
	m.CountNamed("calls", "account0", 1)
	w := httptest.NewRecorder()
	m.ServeHTTP(w, nil)
	g.Expect(w.Body.String()).To(ContainSubstring("calls_account0 2\n"))
	g.Expect(w.Body.String()).To(ContainSubstring("calls_other 36\n"))
	g.Expect(w.Body.String()).NotTo(ContainSubstring("account99"))
}

// Without a bound, the metrics would grow with the engines; the slowest ones must be among them.
func TestNamedGaugesAreBounded(t *testing.T) {
	g := NewWithT(t)
	m := twmetrics.New()
	m.GaugeNamed("engine_pace_percent", func() map[string]int64 {
		values := make(map[string]int64)
		for i := range 100 {
			values[fmt.Sprint("e", i)] = int64(i)
		}
		return values
	})
	w := httptest.NewRecorder()
	m.ServeHTTP(w, nil)
	g.Expect(w.Body.String()).To(ContainSubstring("engine_pace_percent_e99 99\n"))
	g.Expect(w.Body.String()).To(ContainSubstring("engine_pace_percent_e36 36\n"))
	g.Expect(w.Body.String()).NotTo(ContainSubstring("engine_pace_percent_e35 "))
}
