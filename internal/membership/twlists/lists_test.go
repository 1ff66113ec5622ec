package twlists_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/membership/twlists"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	tick = 10 * time.Millisecond
	// callTimeout is how long a receiver waits, and queryInterval the time between two of its queries.
	callTimeout   = 800 * time.Millisecond
	queryInterval = 150 * time.Millisecond
	seeds         = 3
)

// starter is a daemon that starts: it has the list, or receives it from another one.
type starter struct {
	lists    *twlists.Lists
	has      bool
	sender   int
	received float64
	begunAt  time.Time
	nextAt   time.Time
	referred []string
}

// startAll lets all daemons ask for a list of that many bytes and returns when the last one has it. The transfers of one sender share its
// link; those that take longer than callTimeout are lost.
func startAll(daemons int, bytes, megabits float64, decide bool) time.Duration {
	random := rand.New(rand.NewPCG(1, uint64(daemons)))
	fleet := make([]*starter, daemons)
	for i := range fleet {
		fleet[i] = &starter{has: i < seeds, sender: -1, nextAt: start.Add(time.Duration(random.Int64N(int64(queryInterval))))}
		fleet[i].lists = twlists.New(twlists.Config{LinkMegabits: megabits})
	}
	for now := start; ; now = now.Add(tick) {
		missing := 0
		sending := make([]float64, daemons)
		for _, s := range fleet {
			if s.sender >= 0 {
				sending[s.sender]++
			}
		}
		for i, s := range fleet {
			switch {
			case s.has:
				continue
			case s.sender >= 0:
				s.received += megabits * 1e6 / 8 * tick.Seconds() / sending[s.sender]
				if s.has = s.received >= bytes; s.has || now.Sub(s.begunAt) > callTimeout {
					s.sender = -1
				}
			case !now.Before(s.nextAt):
				s.nextAt = now.Add(queryInterval/2 + time.Duration(random.Int64N(int64(queryInterval))))
				candidates := append([]string{"0", "1", "2"}, s.referred...)
				peer := 0
				_, _ = fmt.Sscan(candidates[random.IntN(len(candidates))], &peer)
				if !fleet[peer].has {
					break
				}
				if decide && !fleet[peer].lists.Begin(now, fmt.Sprint(i), int(bytes)) {
					s.referred = fleet[peer].lists.Refer(now)
					break
				}
				s.sender, s.received, s.begunAt = peer, 0, now
			}
			missing++
		}
		if missing == 0 || now.Sub(start) >= 30*time.Second {
			return now.Sub(start)
		}
	}
}

// Guards against daemons that all get nothing because their seeds send the whole list to all of them at the same time: 20 bytes for
// each upstream, packed (19 measured), ten upstreams a daemon, links of 20 Mbit/s.
func TestAllDaemonsGetTheListThoughTheyStartAtOnce(t *testing.T) {
	for _, daemons := range []int{6, 30, 82, 100, 300, 986} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			g := NewWithT(t)
			bytes := float64(daemons * 10 * 20)
			before, after := startAll(daemons, bytes, 20, false), startAll(daemons, bytes, 20, true)
			t.Logf("%v without decisions, %v with them", before, after)
			g.Expect(after).To(BeNumerically("<", 8*time.Second), "seeds are waited for that long")
			g.Expect(after).To(BeNumerically("<=", before+time.Second))
		})
	}
}

// Guards against a list that is longer than the link carries in time and is sent to nobody, and against referrals to daemons that
// can't have it yet.
func TestOneListIsAlwaysSent(t *testing.T) {
	g := NewWithT(t)
	lists := twlists.New(twlists.Config{LinkMegabits: 10})
	g.Expect(lists.Begin(start, "a", 2_000_000)).To(BeTrue())
	g.Expect(lists.Begin(start.Add(time.Second), "b", 2_000_000)).To(BeFalse())
	g.Expect(lists.Refer(start.Add(time.Second))).To(BeEmpty())
	g.Expect(lists.Refer(start.Add(3 * time.Second))).To(Equal([]string{"a"}))
	g.Expect(lists.Begin(start.Add(3*time.Second), "b", 2_000_000)).To(BeTrue())
}
