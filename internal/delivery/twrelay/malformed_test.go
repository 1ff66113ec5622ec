package twrelay_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
)

// Guards against an engine in trouble that gets more calls, or whose end is recorded though it lives, after malformed answers, and against an
// end that isn't recorded since the last answer was malformed.
func TestMalformedAnswerFailsItsEngineAndIsAnEndOnlyIfProved(t *testing.T) {
	for name, test := range map[string]struct {
		path  string
		found turmericwall.EndResult
		ends  bool
	}{
		"alive":                    {"/m/x", turmericwall.EndRefuted, false},
		"not known":                {"/m/x", turmericwall.EndUnknown, false},
		"ended":                    {"/m/x", turmericwall.EndProved, true},
		"plain service, not known": {"/p/x", turmericwall.EndUnknown, false},
		"plain service, ended":     {"/p/x", turmericwall.EndProved, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			isModel := test.path == "/m/x"
			s := newFixture(turmericwall.CallNonIdempotent)
			if isModel {
				s = newModelFixture(splitPlacement("d1"))
			}
			s.found.Store(int64(test.found))
			malformed := &turmericwall.SendError{
				Sent: true, Err: fmt.Errorf("call: %w: status", &turmericwall.LimitError{Limit: turmericwall.LimitMalformed}),
			}
			s.upstreams.send = func(context.Context, turmericwall.Upstream, turmericwall.OutgoingCall) (*turmericwall.Answer, error) {
				return nil, malformed
			}
			w, err := s.serve(context.Background(), test.path)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(w.Code).To(Equal(http.StatusBadGateway), "it may have run")
			g.Expect(s.upstreams.sentTo()).To(HaveLen(1))
			g.Expect(s.checks.Load()).To(BeEquivalentTo(1))
			g.Expect(s.flushes.Load() > 0).To(Equal(test.ends))
			if isModel {
				g.Expect(s.placer.last().FailedEngine).To(Equal("d1"))
			}
		})
	}
}
