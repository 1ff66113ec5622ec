package twfanout_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twfanout"
)

const limit = 32

func daemons(count int) []twfanout.Daemon {
	list := make([]twfanout.Daemon, 0, count)
	for i := range count {
		link := 20.0
		if i%21 == 7 {
			link = 1000
		}
		list = append(list, twfanout.Daemon{
			Forward: turmericwall.HeartbeatForward{Address: fmt.Sprintf("d%04d", i), Rank: i},
			Zone:    fmt.Sprint("z", i%5), LinkMegabits: link,
		})
	}
	return list
}

// walk visits each daemon below the forwards with the zone of the daemon that forwards to it, and returns the depth.
func walk(forwards []turmericwall.HeartbeatForward, from string, visit func(turmericwall.HeartbeatForward, string)) int {
	depth := 0
	for _, f := range forwards {
		visit(f, from)
		depth = max(depth, 1+walk(f.Forwards, f.Address, visit))
	}
	return depth
}

func zoneOf(address string) byte { return address[len(address)-1] % 5 }

// Guards against a daemon that is left out or reached twice, and against a daemon that sends more heartbeats the more
// daemons there are.
func TestEachDaemonIsReachedOnceWithinLimit(t *testing.T) {
	for _, c := range []struct{ count, depth int }{{0, 0}, {1, 1}, {5, 1}, {40, 2}, {986, 2}, {2000, 3}, {10_000, 3}} {
		t.Run(fmt.Sprint(c.count), func(t *testing.T) {
			g := NewWithT(t)
			forwards := twfanout.Plan(daemons(c.count), limit)
			g.Expect(len(forwards)).To(BeNumerically("<=", limit+5))
			seen := make(map[string]int)
			depth := walk(forwards, "", func(f turmericwall.HeartbeatForward, from string) {
				seen[f.Address]++
				g.Expect(len(f.Forwards)).To(BeNumerically("<=", limit))
				if from != "" {
					g.Expect(zoneOf(f.Address)).To(Equal(zoneOf(from)), "a relay forwards within its data centre")
				}
			})
			g.Expect(depth).To(Equal(c.depth))
			g.Expect(seen).To(HaveLen(c.count))
			for address, times := range seen {
				g.Expect(times).To(Equal(1), address)
			}
		})
	}
}

func TestDaemonsWithBestLinksAreRelays(t *testing.T) {
	g := NewWithT(t)
	list := daemons(986)
	links := make(map[string]float64)
	for _, d := range list {
		links[d.Forward.Address] = d.LinkMegabits
	}
	for _, f := range twfanout.Plan(list, limit) {
		g.Expect(links[f.Address]).To(BeNumerically("==", 1000))
	}
}

func TestFailedDaemonIsNoRelay(t *testing.T) {
	g := NewWithT(t)
	list := daemons(986)
	for i := range list {
		list[i].Failed = list[i].LinkMegabits == 1000 && i%2 == 0
	}
	failed := make(map[string]bool)
	for _, d := range list {
		failed[d.Forward.Address] = d.Failed
	}
	walk(twfanout.Plan(list, limit), "", func(f turmericwall.HeartbeatForward, _ string) {
		if failed[f.Address] {
			g.Expect(f.Forwards).To(BeEmpty())
		}
	})
}
