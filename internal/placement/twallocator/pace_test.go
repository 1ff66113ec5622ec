package twallocator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twallocator"
)

// paceStream is one stream of the replay. Its events came lastGaps apart; progress are the tokens since the last one.
type paceStream struct {
	id, engine             string
	beginsAt, lastAt       time.Time
	reportAt, moveAt       time.Time
	progress, done         float64
	lastGaps               [3]int64
	speedReported, hadLong bool
}

// paceReplay replays streams on engines whose time for a token grows by runMillis with each run. A local prefill stops the
// engine's streams. Daemons report as twrelay does; the share lost of the reports while a stream runs is lost.
type paceReplay struct {
	allocator             *twallocator.Allocator
	now                   time.Time
	random                *rand.Rand
	factor                func(engine string, now time.Time) float64
	streams               []*paceStream
	busyUntil             map[string]time.Time
	gapMillis             int64
	runMillis, lost       float64
	requested, refused    int
	ended, hadLong, moves int
	// placed has the decode engines of all calls in turn.
	placed []string
}

const (
	replayStride, replayPrompt, replayAnswer = 50, 5200, 3500
	replayTick                               = 5 * time.Millisecond
	replayPrefillSpeed                       = 55.5
)

func newPaceReplay(prefills, decodes int) *paceReplay {
	r := &paceReplay{
		allocator: twallocator.New(twallocator.DefaultTuning()), now: start, busyUntil: make(map[string]time.Time),
		random: rand.New(rand.NewPCG(3, 5)), gapMillis: 300, runMillis: 0.05,
		factor: func(string, time.Time) float64 { return 1 },
	}
	r.allocator.SetPlan(turmericwall.EnginePlan{Slots: 12, MemoryTokens: 65_399, TokensPerEvent: replayStride})
	r.allocator.SetEngines(start, engines(prefills, decodes))
	return r
}

// load makes calls at the rate, in calls per second, for a span.
func (r *paceReplay) load(rate float64, span time.Duration) {
	for end := r.now.Add(span); r.now.Before(end); r.requested++ {
		r.advance(r.now.Add(time.Duration(math.Max(5, r.random.ExpFloat64()/rate*1000)) * time.Millisecond))
		request := placeRequest(fmt.Sprintf("c%05d", r.requested), r.now, replayPrompt, replayAnswer)
		request.EventGapMillis = r.gapMillis
		r.allocator.Enqueue(r.now, request)
		r.decide()
	}
}

func (r *paceReplay) decide() {
	d := r.allocator.Decide(r.now)
	for _, refusal := range d.Refused {
		if !strings.HasSuffix(refusal.ID, "/m") {
			r.refused++
		}
	}
	for _, p := range d.Placed {
		if i := slices.IndexFunc(r.streams, func(s *paceStream) bool { return s.id+"/m" == p.ID }); i >= 0 {
			s := r.streams[i]
			r.allocator.ApplyUpdate(r.now, turmericwall.PlacementUpdate{ID: s.id})
			s.id, s.engine, s.beginsAt = p.ID, p.Decode.ID, r.now.Add(100*time.Millisecond)
			r.moves++
			continue
		}
		r.placed = append(r.placed, p.Decode.ID)
		engine, speed := p.Prefill.ID, replayPrefillSpeed
		if engine == "" {
			engine, speed = p.Decode.ID, replayPrefillSpeed/2
		}
		span := time.Duration(replayPrompt/speed*r.factor(engine, r.now)) * time.Millisecond
		r.busyUntil[engine] = r.now.Add(max(r.busyUntil[engine].Sub(r.now), 0) + span)
		r.streams = append(r.streams, &paceStream{id: p.ID, engine: p.Decode.ID, beginsAt: r.busyUntil[engine]})
	}
}

// advance lets the engines run until a time.
func (r *paceReplay) advance(to time.Time) {
	for r.now.Before(to) {
		r.now = r.now.Add(replayTick)
		runs := make(map[string]float64)
		for _, s := range r.streams {
			if !s.lastAt.IsZero() {
				runs[s.engine]++
			}
		}
		r.streams = slices.DeleteFunc(r.streams, func(s *paceStream) bool { return r.step(s, runs[s.engine]) })
		r.decide()
	}
}

// step lets a stream run for one tick and reports whether it has ended.
func (r *paceReplay) step(s *paceStream, runs float64) bool {
	if r.now.Before(s.beginsAt) || r.now.Before(r.busyUntil[s.engine]) {
		return false
	}
	if s.lastAt.IsZero() {
		s.lastAt, s.reportAt = r.now, r.now.Add(400*time.Millisecond)
		r.allocator.ApplyUpdate(r.now, turmericwall.PlacementUpdate{ID: s.id, Running: true, Prefilled: true})
	}
	s.progress += float64(replayTick.Milliseconds()) / ((0.743 + r.runMillis*runs) * r.factor(s.engine, r.now))
	if s.progress < replayStride {
		return false
	}
	s.progress -= replayStride
	s.done += replayStride
	s.lastGaps = [3]int64{s.lastGaps[1], s.lastGaps[2], r.now.Sub(s.lastAt).Milliseconds()}
	s.lastAt = r.now
	r.observe(s)
	if s.done < replayAnswer {
		return false
	}
	r.allocator.ApplyUpdate(r.now, turmericwall.PlacementUpdate{
		ID: s.id, AnswerTokens: int(s.done), AnswerMillis: r.now.Sub(s.beginsAt).Milliseconds(),
	})
	r.ended++
	if s.hadLong {
		r.hadLong++
	}
	return true
}

// observe makes the reports on a stream after an event, and asks for a move off an engine that became slow.
func (r *paceReplay) observe(s *paceStream) {
	update := turmericwall.PlacementUpdate{ID: s.id, Running: true}
	sum, median := s.lastGaps[0]+s.lastGaps[1]+s.lastGaps[2], slices.Sorted(slices.Values(s.lastGaps[:]))[1]
	update.EventGapExceeded = s.lastGaps[2] > 300 && !s.hadLong
	s.hadLong = s.hadLong || update.EventGapExceeded
	switch due := !r.now.Before(s.reportAt); {
	case due && !s.speedReported:
		update.AnswerTokens, update.AnswerMillis = int(s.done), r.now.Sub(s.beginsAt).Milliseconds()
		s.speedReported = true
	case due && median > 120:
		update.PaceTokens, update.PaceMillis = 3*replayStride, sum
	}
	if update.AnswerTokens+update.PaceTokens > 0 {
		s.reportAt = r.now.Add(500 * time.Millisecond)
	}
	if r.random.Float64() >= r.lost {
		r.allocator.ApplyUpdate(r.now, update)
	}
	if median > 255 && !s.moveAt.After(r.now) && !strings.HasSuffix(s.id, "/m") {
		s.moveAt = r.now.Add(500 * time.Millisecond)
		request := placeRequest(s.id+"/m", r.now, replayPrompt+int(s.done), replayAnswer-int(s.done))
		request.Moving, request.SlowEngine, request.Avoid = true, s.engine, []string{s.engine}
		r.allocator.Enqueue(r.now, request)
	}
}

// isThird reports whether the engine's number is a multiple of 3.
func isThird(engine string) bool { return (engine[1]-'0'+engine[2]-'0')%3 == 0 }

// thirdSlow makes a third of the engines three times as slow between two times.
func thirdSlow(from, until time.Duration) func(string, time.Time) float64 {
	return func(engine string, now time.Time) float64 {
		if now.Before(start.Add(from)) || now.After(start.Add(until)) || !isThird(engine) {
			return 1
		}
		return 3
	}
}

// Guards against streams that stutter on engines that are three times as slow while a burst fills all engines: 14% of the
// streams had a gap over 300 ms. Lost reports must not change that.
func TestStreamsKeepTheirEventGapBesideSlowEngines(t *testing.T) {
	cases := []struct {
		name                  string
		prefills              int
		rate, runMillis, lost float64
	}{
		{"local prefills", 3, 31.8, 0.1, 0},
		{"full engines are too slow by themselves", 6, 25, 0.25, 0},
		{"reports are lost", 6, 25, 0.25, 0.2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newPaceReplay(c.prefills, 30)
			r.runMillis, r.lost, r.factor = c.runMillis, c.lost, thirdSlow(5*time.Second, time.Hour)
			r.load(c.rate, 10*time.Second)
			r.load(1.7*c.rate, 3*time.Second)
			r.load(c.rate, 10*time.Second)
			r.advance(r.now.Add(15 * time.Second))
			t.Logf("requested %d, ended %d, with a long gap %d, refused %d, moved %d, %+v",
				r.requested, r.ended, r.hadLong, r.refused, r.moves, r.allocator.PaceDecisions())
			NewWithT(t).Expect(r.hadLong).To(BeNumerically("<", r.ended/20))
		})
	}
}

// Guards against a slow engine that gets no calls after it has recovered.
func TestRecoveredEngineGetsCallsAgain(t *testing.T) {
	r := newPaceReplay(6, 30)
	r.runMillis, r.factor = 0.2, thirdSlow(3*time.Second, 10*time.Second)
	r.load(25, 18*time.Second)
	before := len(r.placed)
	r.load(25, 5*time.Second)
	recovered := slices.DeleteFunc(slices.Clone(r.placed[before:]), func(engine string) bool { return !isThird(engine) })
	NewWithT(t).Expect(len(recovered)).To(BeNumerically(">", (len(r.placed)-before)/4))
}

// Guards against changed placements where all engines keep their pace, and where no route states a longest event gap.
func TestPlacementIsUnchangedWhileEnginesKeepTheirPace(t *testing.T) {
	replay := func(gapMillis int64) *paceReplay {
		r := newPaceReplay(12, 30)
		r.gapMillis = gapMillis
		// Sound engines of one service differ in speed by 0.55 to 1.2 of the mean.
		r.factor = func(engine string, _ time.Time) float64 { return 1 / (0.55 + 0.65*float64(engine[2]-'0')/9) }
		r.load(31.8, 10*time.Second)
		return r
	}
	g := NewWithT(t)
	with, without := replay(300), replay(0)
	g.Expect(with.placed).To(Equal(without.placed))
	g.Expect(with.allocator.Paces(with.now)).To(HaveLen(30))
	g.Expect(without.allocator.Paces(without.now)).To(BeEmpty())
}

// Guards against a call that is refused, or waits, because no engine keeps the pace.
func TestCallIsPlacedWhereTheGapIsShortest(t *testing.T) {
	g := NewWithT(t)
	r := newPaceReplay(2, 9)
	r.factor = func(engine string, _ time.Time) float64 {
		if engine[0] == 'p' {
			return 1
		}
		return 8 + float64(engine[2]-'0')
	}
	r.load(2, 10*time.Second)
	g.Expect(r.refused).To(BeZero())
	g.Expect(r.placed).To(HaveLen(r.requested))
	counts := make(map[string]int)
	for _, engine := range r.placed {
		counts[engine]++
	}
	g.Expect(counts["d00"]).To(BeNumerically(">", counts["d08"]))
	g.Expect(r.allocator.PaceDecisions().Shortest).To(BeNumerically(">", 0))
}

// Guards against runs that stay on an engine that became ten times as slow, against all of them leaving it at once, and
// against moves off an engine that keeps the gap.
func TestRunsLeaveASlowEngineOneByOne(t *testing.T) {
	g := NewWithT(t)
	a := newAllocator(1, 4)
	now := start.Add(400 * time.Millisecond)
	for i := range 12 {
		id, tokens := fmt.Sprintf("r%d", i), 400
		if i%4 == 0 {
			tokens = 40
		}
		placed := turmericwall.PlacedCall{Request: placeRequest(id, start, 5000, 3000), Engine: fmt.Sprintf("d%02d", i%4)}
		a.Adopt(start, placed)
		a.ApplyUpdate(now, turmericwall.PlacementUpdate{ID: id, Running: true, AnswerTokens: tokens, AnswerMillis: 400})
	}
	move := func(id, from string, at time.Duration) []turmericwall.Placement {
		request := placeRequest(id+"/m", now, 5400, 2600)
		request.Moving, request.SlowEngine, request.Avoid = true, from, []string{from}
		a.Enqueue(now.Add(at), request)
		return a.Decide(now.Add(at)).Placed
	}
	g.Expect(move("r1", "d01", 0)).To(BeEmpty(), "it keeps the gap")
	g.Expect(move("r0", "d00", 0)).To(HaveLen(1))
	g.Expect(move("r4", "d00", 50*time.Millisecond)).To(BeEmpty(), "another run has just left")
	g.Expect(move("r4", "d00", 200*time.Millisecond)).To(HaveLen(1))
	g.Expect(a.PaceDecisions()).To(Equal(turmericwall.PaceDecisions{Moves: 2, RefusedMoves: 2}))
}
