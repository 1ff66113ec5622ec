package twbooks_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twbooks"
)

// BenchmarkDecideAtThePeak decides once after one call ended, while fifteen decode engines are full and sixty calls
// wait. The leader does so some hundred times a second at the peak. 5.2 ms while each call projected each engine,
// 0.16 ms with one projection a decision, 0.05 ms with kept ones and hopeless calls passed over.
func BenchmarkDecideAtThePeak(b *testing.B) { decideAtThePeak(b, 15, 9) }

// BenchmarkDecideForManyEngines is the same before 50 decode engines: 0.60 ms with one projection a decision, 0.06 ms
// with kept ones and hopeless calls passed over. A leader may have a fifth of a core.
func BenchmarkDecideForManyEngines(b *testing.B) { decideAtThePeak(b, 50, 9) }

func decideAtThePeak(b *testing.B, decodes, runs int) {
	tuning := twbooks.DefaultTuning()
	tuning.WaitMillis = 1e7
	full := twbooks.New(tuning)
	full.Plan(enginePlan())
	full.List(start, engines(3, decodes))
	id := func(i, j int) string { return fmt.Sprintf("r%d-%d", i, j) }
	adopt := func(i, j int) {
		full.Adopt(start, turmericwall.PlacedRun{
			Ask: ask(id(i, j), start, 8000, 3500), Engine: fmt.Sprintf("d%02d", i), AgeMillis: int64(100 * j),
		})
	}
	for i := range decodes {
		for j := range runs {
			adopt(i, j)
		}
	}
	for i := range 60 {
		waiting := ask(fmt.Sprintf("w%d", i), start, 6000, 4000)
		waiting.TargetDeadline = start.Add(time.Hour)
		waiting.GiveUpDeadline = start.Add(time.Hour)
		full.Ask(start, waiting)
	}
	n := 0
	for b.Loop() {
		n++
		full.News(start, turmericwall.PlacementEnd{ID: id(n%decodes, n%runs)})
		adopt(n%decodes, n%runs)
		full.Decide(start)
	}
	b.ReportMetric(float64(full.Waiting()), "waiting")
}
