package twscheduler_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twscheduler"
)

// benchSlots is the number of decode slots of each benchmark engine.
const benchSlots = 20

func benchScheduler(engines int) *twscheduler.Scheduler {
	s := twscheduler.New(twscheduler.Config{BlockTokens: 64})
	listed := turmericwall.EnginesListed{}
	for i := range engines {
		listed.VMs = append(listed.VMs, turmericwall.VM{
			Name: fmt.Sprintf("e%03d", i), Address: "a", State: turmericwall.VMLive,
		})
	}
	s.Step(start, listed)
	for i, v := range listed.VMs {
		role := turmericwall.RoleDecode
		if i%3 == 0 {
			role = turmericwall.RolePrefill
		}
		s.Step(start, turmericwall.EngineReported{VM: v, Report: turmericwall.Report{
			Role: role, Models: []string{model}, Slots: benchSlots, Pieces: pieces * 10, PrefillRate: prefillRate,
			StepMillis: stepMillis, StepPerSlotMillis: stepPerSlotMillis,
		}})
	}
	return s
}

// BenchmarkDecision measures one placement and its release for pools of several sizes.
func BenchmarkDecision(b *testing.B) {
	blocks := make([]uint64, 16)
	for i := range blocks {
		blocks[i] = uint64(i)
	}
	for _, engines := range []int{20, 80, 800} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			s := benchScheduler(engines)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := start.Add(time.Duration(i%1000) * time.Millisecond)
				s.Step(now, turmericwall.Arrival{
					Attempt: "o:1/1", Model: model, Work: "w", Urgent: true, Worth: 1,
					PromptTokens: 1000, MaxTokens: 50, BlockHashes: blocks, FirstTokenDeadline: now.Add(time.Hour),
				})
				s.Step(now, turmericwall.AttemptEnded{Ending: turmericwall.Ending{Attempt: "o:1/1"}})
			}
		})
	}
}

// BenchmarkEngineView measures the memory of the view of one prefill engine with a full prefix cache.
func BenchmarkEngineView(b *testing.B) {
	const engines, blocks = 40, 8192
	for b.Loop() {
		before := liveHeapBytes()
		s := benchScheduler(engines)
		for i := range engines {
			var c turmericwall.CacheChanged
			c.Engine = fmt.Sprintf("e%03d", i)
			for block := range uint64(blocks) {
				c.Events.Events = append(c.Events.Events, turmericwall.CacheEvent{
					Sequence: block + 1, BlockHash: block * 7919,
				})
			}
			s.Step(start, c)
		}
		b.ReportMetric(float64(liveHeapBytes()-before)/engines/1000, "KB/engine")
		runtime.KeepAlive(s)
	}
}

func liveHeapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
