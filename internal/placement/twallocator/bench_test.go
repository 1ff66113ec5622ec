package twallocator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twallocator"
)

// BenchmarkDecide15Engines makes one decision after the end of one call, while 15 decode engines are full and 60 calls
// wait. At the peak a leader makes some hundred such decisions per second. One took 5.2 ms when each call projected
// each engine, 0.16 ms with one projection per decision, and 0.05 ms when projections are reused and calls that can't
// fit are skipped.
func BenchmarkDecide15Engines(b *testing.B) { benchmarkDecide(b, 15, 9) }

// BenchmarkDecide50Engines does the same with 50 decode engines: 0.60 ms with one projection per decision, 0.06 ms when
// projections are reused and calls that can't fit are skipped. A leader may use a fifth of a core.
func BenchmarkDecide50Engines(b *testing.B) { benchmarkDecide(b, 50, 9) }

func benchmarkDecide(b *testing.B, decodes, runs int) {
	tuning := twallocator.DefaultTuning()
	tuning.MaxWaitMillis = 1e7
	allocator := twallocator.New(tuning)
	allocator.SetPlan(enginePlan())
	allocator.SetEngines(start, engines(3, decodes))
	id := func(i, j int) string { return fmt.Sprintf("r%d-%d", i, j) }
	adoptRun := func(i, j int) {
		allocator.Adopt(start, turmericwall.PlacedCall{
			Request: placeRequest(id(i, j), start, 8000, 3500), Engine: fmt.Sprintf("d%02d", i),
			AgeMillis: int64(100 * j),
		})
	}
	for i := range decodes {
		for j := range runs {
			adoptRun(i, j)
		}
	}
	for i := range 60 {
		request := placeRequest(fmt.Sprintf("w%d", i), start, 6000, 4000)
		request.TargetDeadline = start.Add(time.Hour)
		request.GiveUpDeadline = start.Add(time.Hour)
		allocator.Enqueue(start, request)
	}
	n := 0
	for b.Loop() {
		n++
		allocator.ApplyUpdate(start, turmericwall.PlacementUpdate{ID: id(n%decodes, n%runs)})
		adoptRun(n%decodes, n%runs)
		allocator.Decide(start)
	}
	b.ReportMetric(float64(allocator.Waiting()), "waiting")
}
