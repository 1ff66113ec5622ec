package twpeerhttp_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/admission/twquota"
	"github.com/turmericwall/turmericwall/internal/admission/twthrottle"
	"github.com/turmericwall/turmericwall/internal/membership/twpeerhttp"
	"github.com/turmericwall/turmericwall/internal/membership/twproof"
	"github.com/turmericwall/turmericwall/internal/membership/twrates"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
	"github.com/turmericwall/turmericwall/internal/placement/twstreamrecords"
	"github.com/turmericwall/turmericwall/internal/quarantine/twquarantine"
)

// Guards against a message from a peer that crashes the daemon, or that makes a proof newer than now.
func FuzzMessages(f *testing.F) {
	f.Add("/peer/heartbeat", []byte(`{"leader":{"name":"a"},"term":3,"proofMillis":-5,"echo":{"incarnation":"i","moment":9223372036854775807},"levels":[{"account":"a","units":-9}]}`))
	f.Add("/peer/heartbeat", []byte(`{"proofMillis":9223372036854775807,"echo":{"incarnation":"i","moment":1}}`))
	f.Add("/peer/place", []byte(`{"id":"x","account":"a","units":-1e308,"targetMillis":-9223372036854775808}`))
	f.Add("/peer/admit", []byte(`{"rate":{"id":"u","perSecond":-1e308,"ageMillis":-9223372036854775808},"count":-9}`))
	f.Add("/peer/admit", []byte(`{"rate":{"id":"u","perSecond":1e308,"ageMillis":9223372036854775807},"count":9223372036854775807}`))
	f.Add("/peer/charge", []byte(`{"account":"a","units":-1e308}`))
	f.Add("/peer/charge", []byte(`{"account":"a","units":1e308}`))
	f.Add("/peer/heartbeat", []byte(`{"rates":[{"id":"u","lifted":true,"ageMillis":-1}],"leaving":[{"id":"u"}],"rank":-4}`))
	f.Add("/peer/finish", []byte(`[{"ID":"x","NotRun":true}]`))
	f.Add("/peer/state", []byte(`{"planVersion":-1,"joining":{"moment":-1}}`))
	f.Add("/peer/exchange", []byte("{\"to\":{\"id\":\"u\"},\"headBytes\":3,\"remainingMillis\":-1}\nGET body"))
	f.Add("/peer/exchange", []byte(`{"headBytes":9223372036854775807,"remainingMillis":9223372036854775807}`))
	f.Add("/peer/evidence", []byte(`{"ends":[{"service":"s","engine":{"id":"e"},"number":-1,"ageMillis":-9223372036854775808,"remainingMillis":9223372036854775807,"parts":["p"],"clearedParts":["p","q"],"requests":["r"]}]}`))
	f.Add("/peer/streams", []byte(`[{"stream":"s","remainingMillis":9223372036854775807}]`))
	f.Fuzz(func(t *testing.T, path string, body []byte) {
		proof := twproof.New(twproof.Config{Incarnation: "i", MaxAge: time.Second})
		quotas := twquota.New(twquota.Config{
			Account: func(name string) (turmericwall.ClientAccount, bool) {
				return turmericwall.ClientAccount{
					Name: name, Quota: turmericwall.Quota{PerSecond: 10, Burst: 10, CountsTokens: true},
				}, true
			},
			IsLeader: func() bool { return true }, FollowsLiveLeader: func() bool { return false },
			Daemons:             func() int { return 1 },
			UnresponsiveDaemons: func() int { return 0 }, Random: func() float64 { return 0 }, Now: time.Now,
		})
		rates := twrates.New(twrates.Config{
			Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}), Now: time.Now,
		})
		throttle := twthrottle.New(twthrottle.Config{
			Rates: rates, Leader: func() (turmericwall.Member, bool, bool) { return turmericwall.Member{}, true, true },
			Daemons: func() int { return 1 }, UnresponsiveDaemons: func() int { return 0 }, Now: time.Now,
		})
		quarantine := twquarantine.New(twquarantine.Config{
			Self:   func() turmericwall.Member { return turmericwall.Member{} },
			Leader: func() (turmericwall.Member, bool, bool) { return turmericwall.Member{}, true, true }, OnChange: func() {},
			Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}), Now: time.Now,
		})
		server := twpeerhttp.NewServer(twpeerhttp.Config{
			HandleHeartbeat: func(_ context.Context, h turmericwall.Heartbeat) turmericwall.HeartbeatReply {
				now := twboottime.Now()
				proof.ConfirmEcho(now, h.Echo, h.ProofAgeMillis)
				if age := proof.AgeMillis(now); age < -1 {
					t.Fatalf("the proof has an age of %d ms", age)
				}
				quotas.ApplyLevels(h.Leader.Incarnation, h.Levels)
				rates.RecordPeerRates(h.Rates)
				return turmericwall.HeartbeatReply{}
			},
			State: func(request turmericwall.StateRequest) turmericwall.SharedState {
				if request.Joining != nil {
					quotas.RecordUses(
						request.Joining.Incarnation, time.Duration(request.Joining.UptimeMillis)*time.Millisecond,
						request.Joining.Uses)
				}
				return turmericwall.SharedState{}
			},
			IsLeader: func() bool { return true },
			Place: func(_ context.Context, request turmericwall.PlaceRequest) (turmericwall.Placement, error) {
				return turmericwall.Placement{ID: request.ID}, quotas.Charge(request.Account, request.Units)
			},
			Admit: func(request turmericwall.AdmitRequest) turmericwall.AdmitReply {
				reply := throttle.Grant(request)
				if reply.Granted > max(request.Count, 0) || reply.NextRequestMillis < 0 || reply.RetryMillis < 0 {
					t.Fatalf("request %+v was answered by %+v", request, reply)
				}
				return reply
			},
			Charge: func(request turmericwall.ChargeRequest) turmericwall.ChargeReply {
				reply := quotas.ChargeForPeer(request)
				if reply.RetryMillis < 0 || reply.Declined {
					t.Fatalf("request %+v was answered by %+v", request, reply)
				}
				return reply
			},
			Exchange: func(
				context.Context, turmericwall.Upstream, turmericwall.UpstreamRequest,
			) (*turmericwall.Answer, error) {
				return nil, &turmericwall.EgressRefusal{Reason: turmericwall.EgressUnknownUpstream}
			},
			ExchangeEvidence: func(_ context.Context, evidence turmericwall.Evidence) turmericwall.Evidence {
				quarantine.Merge(evidence)
				quarantine.Judge(turmericwall.Input{Service: "s", Request: "r", Parts: []string{"p", "q"}})
				merged, _ := quarantine.Export()
				for _, end := range merged.Ends {
					if len(merged.Ends) > 64 || end.AgeMillis < 0 || end.RemainingMillis > 600_000 {
						t.Fatalf("%d ends, one is %+v", len(merged.Ends), end)
					}
				}
				return merged
			},
			RecordStreams: twstreamrecords.New(twstreamrecords.Config{}).RecordAll,
			Finish:        func(turmericwall.PlacementUpdate) {}, AdoptPlacedCall: func(turmericwall.PlacedCall) {},
		})
		request := httptest.NewRequest(http.MethodPost, "/peer/heartbeat", bytes.NewReader(body))
		request.URL.Path = path
		server.ServeHTTP(httptest.NewRecorder(), request)
	})
}
