package twpeerhttp_test

import (
	"bytes"
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twpeerhttp"
)

// BenchmarkExchange measures one request to an upstream through a peer, both daemons together, without the upstream.
func BenchmarkExchange(b *testing.B) {
	answer := bytes.Repeat([]byte("x"), 800)
	server := httptest.NewServer(twpeerhttp.NewServer(twpeerhttp.Config{Exchange: func(
		context.Context, turmericwall.Upstream, turmericwall.UpstreamRequest,
	) (*turmericwall.Answer, error) {
		return &turmericwall.Answer{Status: 200, Length: 800, Body: io.NopCloser(bytes.NewReader(answer))}, nil
	}}))
	defer server.Close()
	client, address := twpeerhttp.NewClient(nil), strings.TrimPrefix(server.URL, "http://")
	request := turmericwall.UpstreamRequest{Head: bytes.Repeat([]byte("h"), 700), Body: make([]byte, 1000), Method: "POST"}
	b.ReportAllocs()
	for b.Loop() {
		answer, err := client.Exchange(context.Background(), address, exchangeTarget, request)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
}
