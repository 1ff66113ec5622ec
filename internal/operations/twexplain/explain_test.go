package twexplain_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/operations/twexplain"
)

const logs = `built in 1 s
  0.1 a {"daemon":"a","event":8001,"table":"plan","time":"2026-04-01T00:00:01.000Z","message":"Store unavailable"}
  0.2 a {"daemon":"a","event":3003,"request":"id1/0","leader":"b","time":"2026-04-01T00:00:02.000Z","message":"Leader unreachable"}
  0.2 b {"daemon":"b","event":8001,"table":"plan","time":"2026-04-01T00:00:02.000Z","message":"Store unavailable"}
  0.3 a {"daemon":"a","event":2002,"request":"id1","status":503,"time":"2026-04-01T00:00:02.500Z","message":"Request refused"}
  0.4 a {"daemon":"a","event":2003,"request":"id12","time":"2026-04-01T00:00:02.600Z","message":"Request answered"}
  9.4 a {"daemon":"a","event":8002,"table":"plan","time":"2026-04-01T00:00:09.600Z","message":"Store regained"}
not json {
`

func TestRequestIsExplainedWithEventsOfItsDaemonAroundIt(t *testing.T) {
	g := NewWithT(t)
	e, err := twexplain.Read(strings.NewReader(logs), "id1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e.Found()).To(BeTrue())
	var out bytes.Buffer
	g.Expect(e.Write(&out)).To(Succeed())
	g.Expect(out.String()).To(Equal("  2026-04-01T00:00:01.000Z a Store unavailable table=plan\n" +
		"* 2026-04-01T00:00:02.000Z a Leader unreachable leader=b request=id1/0\n" +
		"* 2026-04-01T00:00:02.500Z a Request refused request=id1 status=503\n" +
		"= Request refused at a\n"))
}

func TestUnknownRequestIsNotFound(t *testing.T) {
	g := NewWithT(t)
	e, err := twexplain.Read(strings.NewReader(logs), "id9")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e.Found()).To(BeFalse())
}

// Guards against requests whose end nobody can tell: those that were open when their daemon's process ended have no
// outcome, and the outcome of the others must name who ended them.
func TestEndOfARequestIsStatedFromItsIDAlone(t *testing.T) {
	const sent = `{"daemon":"a","event":3010,"request":"id1","time":"2026-04-01T00:00:02.000Z","message":"Call sent"}` + "\n"
	const started = `{"daemon":"a","event":1001,"time":"2026-04-01T00:00:09.000Z","message":"Started"}` + "\n"
	for _, c := range []struct{ name, logs, want string }{
		{"process killed", sent + started, `no outcome; the last step was "send" at a, whose process ended with it ` +
			`without a drain (killed, out of memory or a fatal error), and started again at 2026-04-01T00:00:09.000Z`},
		{"process drained", sent + `{"daemon":"a","event":1003,"time":"2026-04-01T00:00:01.500Z","message":"Drain started"}` +
			"\n" + started, "whose process ended with it in its drain"},
		{"task failed", sent + `{"daemon":"a","event":1005,"time":"2026-04-01T00:00:03.000Z","message":"Task failed"}` +
			"\n" + started, "whose process ended with it after a failed task"},
		{"another daemon started", sent + strings.Replace(started, `"a"`, `"b"`, 1), "still open"},
		{
			"refused because of a share", `{"daemon":"a","event":2002,"request":"id1","account":"big","refusedFor":"share",` +
				`"step":"placement","time":"2026-04-01T00:00:03.000Z","message":"Request refused"}` + "\n",
			"Request refused at a, because the account big used more than its share while others needed the rest, step placement",
		},
		{
			"broken off", sent + `{"daemon":"a","event":2004,"request":"id1","endedBy":"network","step":"events",` +
				`"time":"2026-04-01T00:00:03.000Z","message":"Request failed"}` + "\n" + started,
			"Request failed at a, ended by network, step events",
		},
		{
			"refused at the limit", sent + `{"daemon":"a","event":2002,"request":"id1","limitReason":"late","underWay":62,"limit":60,` +
				`"arrivals":2400,"admissions":1180,"time":"2026-04-01T00:00:03.000Z","message":"Request refused"}` + "\n",
			"Request refused at a, the service was at its limit: 62 calls under way of 60, 2400 a second arrived and 1180 could " +
				"be answered in time, and this one could not",
		},
		{
			"no route", `{"daemon":"a","event":2004,"request":"id1","step":"admission","route":"","planVersion":34,"planRow":812,` +
				`"planAgeMillis":760,"time":"2026-04-01T00:00:03.000Z","message":"Request failed"}` + "\n",
			"Request failed at a, step admission, by plan 34 (row 812), which was the newest 760 ms before",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			e, err := twexplain.Read(strings.NewReader(c.logs), "id1")
			g.Expect(err).NotTo(HaveOccurred())
			var out bytes.Buffer
			g.Expect(e.Write(&out)).To(Succeed())
			g.Expect(out.String()[strings.Index(out.String(), "\n= ")+3:]).To(ContainSubstring(c.want))
		})
	}
}

// Guards against a stream whose versions can't be followed over the tries of its caller.
func TestTriesThatTakeAStreamUpAreShownBesideIt(t *testing.T) {
	g := NewWithT(t)
	e, err := twexplain.Read(strings.NewReader(
		`{"event":2005,"request":"id1","version":"v1","time":"2026-01-01T00:00:01Z","daemon":"a","message":"Stream begun"}`+"\n"+
			`{"event":2003,"request":"id2","resumes":"id1","time":"2026-01-01T00:00:03Z","daemon":"b","message":"Request answered"}`+"\n"), "id1")
	g.Expect(err).NotTo(HaveOccurred())
	var out bytes.Buffer
	g.Expect(e.Write(&out)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("* 2026-01-01T00:00:01Z a Stream begun request=id1 version=v1"))
	g.Expect(out.String()).To(ContainSubstring("+ 2026-01-01T00:00:03Z b Request answered request=id2 resumes=id1"))
	g.Expect(out.String()).To(ContainSubstring(`= no outcome; the last step was "events"`), "the try's outcome is not the call's")
}

// Guards against a refusal whose cause was found long before, so that nothing near it in the log tells why.
func TestRefusalNamesWhyItsInputIsQuarantined(t *testing.T) {
	g := NewWithT(t)
	line := func(key string) string {
		return `{"daemon":"b","event":3013,"kind":"part","key":"` + key + `","to":"quarantined","time":"2026-04-01T00:00:01.000Z","message":"Quarantine changed"}` + "\n"
	}
	e, err := twexplain.Read(strings.NewReader(line("bad")+line("other")+
		`{"daemon":"a","event":2002,"request":"id1","error":"quarantined: 3 engines ended under part bad; ask the operator","time":"2026-04-01T00:09:00.000Z","message":"Request refused"}`), "id1")
	g.Expect(err).NotTo(HaveOccurred())
	var out bytes.Buffer
	g.Expect(e.Write(&out)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("key=bad"))
	g.Expect(out.String()).NotTo(ContainSubstring("key=other"))
}
