package twquarantine_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
	"github.com/turmericwall/turmericwall/internal/quarantine/twquarantine"
)

// clock is the time of a test.
type clock struct{ now time.Time }

func newQuarantine(c *clock, log *bytes.Buffer) *twquarantine.Quarantine {
	return twquarantine.New(twquarantine.Config{
		Self:   func() turmericwall.Member { return turmericwall.Member{Name: "a"} },
		Leader: func() (turmericwall.Member, bool, bool) { return turmericwall.Member{}, true, true }, OnChange: func() {},
		Recorder: tweventlog.New(tweventlog.Config{Output: log}), Now: func() time.Time { return c.now },
	})
}

func engine(n int) turmericwall.Upstream { return turmericwall.Upstream{ID: fmt.Sprint("e", n)} }

func input(request int, parts ...string) turmericwall.Input {
	return turmericwall.Input{Service: "s", Request: fmt.Sprint("r", request), Parts: parts}
}

// Guards against beliefs that change without a line in the log, and against a line for each call.
func TestEachChangeOfBeliefIsLoggedOnce(t *testing.T) {
	g := NewWithT(t)
	var log bytes.Buffer
	c := &clock{now: time.Unix(1000, 0)}
	q := newQuarantine(c, &log)
	q.RecordProgress(input(0, "first"))
	for n := range 3 {
		c.now = c.now.Add(time.Second)
		q.RecordEnd(engine(n).Key(), c.now, input(n, "first", "bad"), turmericwall.EndProved)
		q.Judge(input(9, "first", "bad"))
	}
	g.Expect(q.Count(turmericwall.VerdictQuarantined)).To(BeEquivalentTo(1))
	c.now = c.now.Add(20 * time.Minute)
	g.Expect(q.Judge(input(9, "first", "bad")).Verdict).To(Equal(turmericwall.VerdictClear))
	var changes []string
	for _, line := range strings.Split(log.String(), "\n") {
		if _, rest, ok := strings.Cut(line, `"key":`); ok {
			changes = append(changes, strings.Split(rest, `,"time"`)[0])
		}
	}
	g.Expect(changes).To(Equal([]string{
		`"bad","from":"","to":"suspect","ends":2,"cause":"end of e1"`,
		`"bad","from":"suspect","to":"quarantined","ends":3,"cause":"end of e2"`,
		`"bad","from":"quarantined","to":"","ends":0,"cause":"asked"`,
	}))
}

func BenchmarkJudge(b *testing.B) {
	for name, ends := range map[string]int{"without evidence": 0, "with 64 ends": 64} {
		for _, parts := range []int{2, 32} {
			b.Run(fmt.Sprintf("%s, %d parts", name, parts), func(b *testing.B) {
				c := &clock{now: time.Unix(1000, 0)}
				q := newQuarantine(c, &bytes.Buffer{})
				for n := range ends {
					q.RecordEnd(engine(n).Key(), c.now, input(n, fmt.Sprint("part", n)), turmericwall.EndProved)
				}
				prompt := make([]string, parts)
				for n := range prompt {
					prompt[n] = fmt.Sprint("sound", n)
				}
				call := input(1000, prompt...)
				b.ReportAllocs()
				for b.Loop() {
					q.Judge(call)
				}
			})
		}
	}
}
