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
		"* 2026-04-01T00:00:02.500Z a Request refused request=id1 status=503\n"))
}

func TestUnknownRequestIsNotFound(t *testing.T) {
	g := NewWithT(t)
	e, err := twexplain.Read(strings.NewReader(logs), "id9")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e.Found()).To(BeFalse())
}
