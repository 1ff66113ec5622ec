// Command latemove shows where a run goes whose copy took long, while the engine that it is moved to leaves as well.
package main

import (
	"os"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall/review/internal/twstandin"
)

const (
	// span is how long requests are sent, and roundSpan the time between two releases.
	span, roundSpan = 90 * time.Second, 11 * time.Second
	// cutSpan is how long a leaving engine is cut from one of the machines, and releaseGap the time between the two engines of a
	// release that leave.
	cutSpan, releaseGap = 3600 * time.Millisecond, time.Second
	// handoverSpan is how long the replacements run before the first engine leaves.
	handoverSpan = 1500 * time.Millisecond
	// lingerSpan is how long an engine serves after it has stated that it leaves, and longLingerSpan how long the one that is cut
	// does.
	lingerSpan, longLingerSpan = 2750 * time.Millisecond, 7 * time.Second
)

// release replaces two engines: one, and then the one to which that one's first run is moved.
type release struct {
	trouble bool
	mu      sync.Mutex
	site    *twstandin.Site
	// moving is the first engine, until its first run is moved, and nextLeavesAt is when the second one leaves.
	moving       *twstandin.Engine
	nextLeavesAt time.Time
}

func main() {
	r := &release{trouble: os.Getenv("TROUBLE") != "0"}
	os.Exit(twstandin.Run(twstandin.SiteConfig{
		RecordPath: os.Args[1], Daemons: 4, Prefills: 4, Decodes: 6, EventInterval: 80 * time.Millisecond, OnMove: r.onMove,
	}, r.play))
}

// play sends long streams, and replaces two decode engines in each round.
func (r *release) play(s *twstandin.Site) {
	r.mu.Lock()
	r.site = s
	r.mu.Unlock()
	until := time.Now().Add(span)
	nextRound := time.Now().Add(roundSpan / 2)
	for time.Now().Before(until) {
		s.Send(130, 1460)
		time.Sleep(150 * time.Millisecond)
		if time.Now().Before(nextRound) {
			continue
		}
		nextRound = time.Now().Add(roundSpan)
		s.AddDecode()
		s.AddDecode()
		time.AfterFunc(handoverSpan, r.begin)
	}
}

// begin lets the first engine leave.
func (r *release) begin() {
	r.mu.Lock()
	leaving := r.site.TakeDecode("")
	r.moving, r.nextLeavesAt = leaving, time.Now().Add(releaseGap)
	r.mu.Unlock()
	leaving.Leave(longLingerSpan)
}

// onMove cuts the path between the first engine and the machine that moves its first run, and lets the engine leave next that
// the run is moved to.
func (r *release) onMove(e *twstandin.Engine, machine, to string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.moving != e {
		return
	}
	r.moving = nil
	if r.trouble {
		e.CutFrom(machine, cutSpan)
	}
	time.AfterFunc(time.Until(r.nextLeavesAt), func() {
		if next := r.site.TakeDecode(to); next != nil {
			next.Leave(lingerSpan)
		}
	})
}
