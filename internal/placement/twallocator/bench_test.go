package twallocator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twallocator"
)

// BenchmarkDecide makes one decision after the end of one call, while all decode engines are full and 60 calls wait. At
// the peak a leader makes some hundred such decisions per second, with a fifth of a core.
func BenchmarkDecide(b *testing.B) {
	for _, decodes := range []int{15, 50, 1000, 10_000} {
		b.Run(fmt.Sprint(decodes), func(b *testing.B) { benchmarkDecide(b, decodes, 9, 1) })
	}
}

// BenchmarkPlace places one call while 200 engines are in use and no other call waits.
func BenchmarkPlace(b *testing.B) {
	for _, count := range []int{1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			a := newFleetAllocator(twallocator.DefaultTuning(), count, 200, 2)
			n := 0
			for b.Loop() {
				n++
				placeAndEnd(a, n)
			}
		})
	}
}

// BenchmarkDecideAccounts is BenchmarkDecide with calls of 100 accounts.
func BenchmarkDecideAccounts(b *testing.B) {
	for _, decodes := range []int{15, 10_000} {
		b.Run(fmt.Sprint(decodes), func(b *testing.B) { benchmarkDecide(b, decodes, 9, 100) })
	}
}

func benchmarkDecide(b *testing.B, decodes, runs, accounts int) {
	tuning := twallocator.DefaultTuning()
	tuning.MaxWaitMillis = 1e7
	allocator := twallocator.New(tuning)
	allocator.SetPlan(enginePlan())
	allocator.SetEngines(start, engines(3, decodes))
	id := func(i, j int) string { return fmt.Sprintf("r%d-%d", i, j) }
	adoptRun := func(i, j int) {
		request := placeRequest(id(i, j), start, 8000, 3500)
		request.Account = fmt.Sprint("account", (i*runs+j)%accounts)
		allocator.Adopt(start, turmericwall.PlacedCall{
			Request: request, Engine: fmt.Sprintf("d%02d", i), AgeMillis: int64(100 * j),
		})
	}
	for i := range decodes {
		for j := range runs {
			adoptRun(i, j)
		}
	}
	for i := range 60 {
		request := placeRequest(fmt.Sprintf("w%d", i), start, 6000, 4000)
		request.Account = fmt.Sprint("account", i%accounts)
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
