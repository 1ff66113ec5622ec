package twsite_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twcaller"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twenginestand"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twexample"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twsite"
)

// BenchmarkRequest streams requests through one daemon. The caller and the engines share the process, so the result
// is an upper bound of the daemon's own cost.
func BenchmarkRequest(b *testing.B) {
	for _, tokens := range []int{4, 64} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) { benchmarkRequest(b, tokens) })
	}
}

func benchmarkRequest(b *testing.B, tokens int) {
	example := twexample.Arriola()
	site, err := twsite.New(b.Context(), twsite.Config{
		Example: example, Daemons: 1, Prefill: 2, Decode: 2, Policy: "leader", Log: io.Discard,
		Engine: twenginestand.Config{Slots: 1000, Pieces: 10_000, Queue: 1000, StepMillis: 0.01, StepPerSlotMillis: 0.0001, PrefillRate: 1e7, LinkMegabytesPerSecond: 1e6},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = site.Close() }()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	caller := twcaller.New(client, example.Key())
	b.SetParallelism(16)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			response, err := caller.Call(b.Context(), http.MethodPost,
				"http://"+site.CallerAddresses()[0]+"/v1/completions", nil,
				twcaller.Completion{Model: example.Model(), Prompt: "which tables are free", MaxTokens: tokens, Stream: true})
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	})
}
