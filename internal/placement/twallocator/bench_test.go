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
		b.Run(fmt.Sprint(decodes), func(b *testing.B) { benchmarkDecide(b, decodes, 9, 0, 1) })
	}
}

// BenchmarkDecideBesideSlowEngines is the same while a third of the engines have memory, but don't keep the event gap.
func BenchmarkDecideBesideSlowEngines(b *testing.B) {
	for _, decodes := range []int{15, 10_000} {
		b.Run(fmt.Sprint(decodes), func(b *testing.B) { benchmarkDecide(b, decodes, 9, 3, 1) })
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
		b.Run(fmt.Sprint(decodes), func(b *testing.B) { benchmarkDecide(b, decodes, 9, 0, 100) })
	}
}

// benchmarkDecide makes decisions before engines with so many runs each; every slowth engine is slow and has two, or none
// is if it is 0.
func benchmarkDecide(b *testing.B, decodes, runs, slowth, accounts int) {
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
	isSlow := func(i int) bool { return slowth > 0 && i%slowth == 0 }
	for i := range decodes {
		for j := range runs {
			if isSlow(i) && j >= 2 {
				break
			}
			adoptRun(i, j)
			tokens := 800
			if isSlow(i) {
				tokens = 50
			}
			if slowth > 0 {
				allocator.ApplyUpdate(start.Add(time.Second), turmericwall.PlacementUpdate{
					ID: id(i, j), Running: true, AnswerTokens: tokens, AnswerMillis: 1000,
				})
			}
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
		if isSlow(n % decodes) {
			n++
		}
		allocator.ApplyUpdate(start, turmericwall.PlacementUpdate{ID: id(n%decodes, n%runs)})
		adoptRun(n%decodes, n%runs)
		allocator.Decide(start)
	}
	b.ReportMetric(float64(allocator.Waiting()), "waiting")
}
