package twdelivery_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twdelivery"
	"github.com/turmericwall/turmericwall/internal/delivery/twengine"
)

// Guards against an engine that counts as ended because it resets a connection or answers with a failure.
func TestOnlyAnEngineThatRefusesConnectionsHasEnded(t *testing.T) {
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		want    turmericwall.EndResult
	}{
		"answers":    {func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{}")) }, turmericwall.EndRefuted},
		"is full":    {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, turmericwall.EndRefuted},
		"breaks off": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, turmericwall.EndUnknown},
		"is gone":    {nil, turmericwall.EndProved},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			if c.handler == nil {
				server.Close()
			} else {
				defer server.Close()
			}
			registry := metrics.NewRegistry()
			delivery := twdelivery.New(twdelivery.Config{
				Engines: twengine.New(twengine.Config{Registry: registry}), Registry: registry,
			})
			address := server.Listener.Addr().(*net.TCPAddr).String()
			NewWithT(t).Expect(delivery.CheckEnd(context.Background(), address)).To(Equal(c.want))
		})
	}
}
