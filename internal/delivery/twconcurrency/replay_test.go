package twconcurrency_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/delivery/twconcurrency"
	"github.com/turmericwall/turmericwall/internal/delivery/twloads"
	"github.com/turmericwall/turmericwall/internal/delivery/twpicker"
)

const (
	targetMillis, deadlineMillis = 120, 600
	slots, serviceMillis         = 6, 15
	// carried is the number of calls that one upstream answers in a second.
	carried = 1000. * slots / serviceMillis
	// usual is the load of the deployment without overload, in calls per second.
	usual = 207.
	// linkMillis is the delay of a message between two VMs.
	linkMillis = 2
	// queueSize is how many calls wait at an upstream before it refuses.
	queueSize = 200
)

var start = time.Unix(1000, 0)

// replay plays the calls of one plain service through all daemons, in virtual time and without a network.
type replay struct {
	config replayConfig
	// random draws the calls, and network what is lost or late.
	random, network *rand.Rand
	now             time.Time
	events          events
	daemons         []*daemon
	servers         []*server
	// leader is the index of the leader; -1 while there is none.
	leader int
	calls  []*call
	// messages counts the heartbeats and replies that had loads.
	messages int
}

type replayConfig struct {
	daemons int
	seed    uint64
	// perSecond is the load at a time since the start.
	perSecond func(at time.Duration) float64
	span      time.Duration
	// lostShare of the heartbeats are lost, and lateShare of them arrive late by a second.
	lostShare, lateShare float64
	// at has what happens at a time since the start.
	at map[time.Duration]func(r *replay)
	// unlimited is the number of daemons that let every call through and report nothing, as those of the previous release.
	unlimited int
}

type daemon struct {
	picker  *twpicker.Picker
	limiter *twconcurrency.Limiter
	board   *twloads.Board
}

type server struct {
	upstream turmericwall.Upstream
	silent   bool
	running  int
	queue    []*send
}

// send is a call at a server.
type send struct {
	call   *call
	daemon int
	server *server
	sentAt time.Time
	ended  bool
}

type call struct {
	arrivedAt  time.Time
	runsOnce   bool
	tries      int
	answeredAt time.Time
	// refusals counts the refusals by daemons, and sentTo has the upstreams that the call was sent to.
	refusals int
	sentTo   string
}

// newReplay returns a replay with three upstreams, each of them in the zone of a third of the daemons.
func newReplay(config replayConfig) *replay {
	r := &replay{config: config, leader: config.daemons - 1, random: rand.New(rand.NewPCG(config.seed, uint64(config.daemons))), network: rand.New(rand.NewPCG(config.seed, 1)), now: start}
	for i := range 3 {
		r.servers = append(r.servers, &server{upstream: turmericwall.Upstream{ID: fmt.Sprint("s", i), Service: "filings", Zone: fmt.Sprint(i), Slots: slots}})
	}
	for i := range config.daemons {
		r.daemons = append(r.daemons, &daemon{
			picker: twpicker.New(twpicker.Config{
				Zone: fmt.Sprint(i % 3), FirstChoice: r.random.Uint64(), Daemons: func() int { return config.daemons },
			}),
			limiter: twconcurrency.New(twconcurrency.Config{
				TargetMillis: func(string) int64 { return targetMillis }, Random: r.random.Float64,
			}),
			board: twloads.New(),
		})
	}
	return r
}

// run plays the whole replay.
func (r *replay) run() {
	for at, do := range r.config.at {
		r.after(at, func() { do(r) })
	}
	r.arrive()
	r.heartbeats()
	for r.events.Len() > 0 && r.now.Sub(start) < r.config.span+time.Second {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
}

func (r *replay) after(delay time.Duration, do func()) {
	heap.Push(&r.events, event{at: r.now.Add(delay), number: r.events.pushed, do: do})
	r.events.pushed++
}

func (r *replay) arrive() {
	if r.now.Sub(start) >= r.config.span {
		return
	}
	c := &call{arrivedAt: r.now, runsOnce: r.random.Float64() < 148/usual}
	r.calls = append(r.calls, c)
	r.try(c)
	r.after(time.Duration(r.random.ExpFloat64()/r.config.perSecond(r.now.Sub(start))*float64(time.Second)), r.arrive)
}

// try has a daemon serve the call, as the relay does.
func (r *replay) try(c *call) {
	index := r.random.IntN(len(r.daemons))
	d := r.daemons[index]
	c.tries++
	limited := twconcurrency.Call{
		Service: "filings", TargetMillis: targetMillis, TargetAt: c.arrivedAt.Add(targetMillis * time.Millisecond),
		Deadline: c.arrivedAt.Add(deadlineMillis * time.Millisecond),
	}
	d.picker.RecordArrival(r.now, "filings", limited.IsLate(r.now))
	var upstreams []turmericwall.Upstream
	for _, s := range r.servers {
		upstreams = append(upstreams, s.upstream)
	}
	need := twpicker.Call{TargetMillis: targetMillis, RunsOnce: c.runsOnce}
	var decision twconcurrency.Decision
	probe, probing := d.picker.PickProbe(r.now, need, upstreams)
	if index >= r.config.unlimited && !probing {
		decision = d.limiter.Admit(r.now, limited, upstreams, true, func(u turmericwall.Upstream) bool {
			return d.picker.IsOpenTo(r.now, need, u)
		})
	}
	if decision.Limited {
		d.picker.RecordLimited(r.now, "filings")
	}
	upstream, ok := decision.Upstream, decision.Admitted
	if probing {
		upstream, ok = probe, true
	} else if !decision.Limited && !ok {
		upstream, ok = d.picker.Pick(r.now, need, upstreams)
		decision.RetryAt = r.now.Add(150 * time.Millisecond)
	} else if ok {
		d.picker.Take(upstream)
	}
	if !ok {
		c.refusals++
		r.refuse(c, decision.RetryAt)
		return
	}
	d.picker.MarkSent(r.now, need, upstream)
	c.sentTo += upstream.ID
	s := &send{call: c, daemon: index, sentAt: r.now, server: r.servers[upstream.ID[1]-'0']}
	r.after(linkMillis*time.Millisecond, func() { r.reach(s) })
	r.after(limited.Deadline.Sub(r.now), func() {
		if !s.ended {
			s.ended = true
			d.picker.ReleaseSent(r.now, upstream, r.now.Sub(s.sentAt))
		}
	})
}

// refuse has the caller come back once at the time, if it waits so long.
func (r *replay) refuse(c *call, at time.Time) {
	if c.tries > 1 {
		return
	}
	left := c.arrivedAt.Add(deadlineMillis * time.Millisecond).Sub(r.now)
	r.after(min(at.Sub(r.now), left/3), func() { r.try(c) })
}

// reach brings a call to its server.
func (r *replay) reach(s *send) {
	switch {
	case s.server.silent:
	case s.server.running < slots:
		r.serve(s)
	case len(s.server.queue) < queueSize:
		s.server.queue = append(s.server.queue, s)
	default:
		r.after(linkMillis*time.Millisecond, func() {
			if !s.ended {
				s.ended = true
				r.daemons[s.daemon].picker.RecordRefusal(r.now, s.server.upstream, r.now.Sub(s.sentAt))
				r.refuse(s.call, r.now.Add(150*time.Millisecond))
			}
		})
	}
}

func (r *replay) serve(s *send) {
	s.server.running++
	r.after(serviceMillis*time.Millisecond, func() {
		s.server.running--
		if !s.server.silent {
			r.after(linkMillis*time.Millisecond, func() { r.answer(s) })
		}
		for len(s.server.queue) > 0 && s.server.running < slots {
			next := s.server.queue[0]
			s.server.queue = s.server.queue[1:]
			if !next.ended {
				r.serve(next)
			}
		}
	})
}

func (r *replay) answer(s *send) {
	if s.ended {
		return
	}
	s.ended = true
	r.daemons[s.daemon].picker.RecordAnswer(r.now, s.server.upstream, r.now.Sub(s.sentAt), true)
	if s.call.answeredAt.IsZero() {
		s.call.answeredAt = r.now
	}
}

// heartbeats sends the leader's heartbeats and brings the replies to it.
func (r *replay) heartbeats() {
	r.after(250*time.Millisecond, r.heartbeats)
	if r.leader < 0 {
		return
	}
	leader, name := r.daemons[r.leader], r.leader
	leader.board.Record(r.now, fmt.Sprint(r.leader), leader.picker.Loads(r.now))
	loads := leader.board.Merge(r.now)
	sentAt := r.now
	apply := func(d *daemon) {
		d.picker.ApplyLoads(sentAt, loads)
		d.limiter.Apply(sentAt, loads)
	}
	apply(leader)
	for i, d := range r.daemons {
		if i == name || i < r.config.unlimited || r.network.Float64() < r.config.lostShare {
			continue
		}
		delay := linkMillis * time.Millisecond
		if r.network.Float64() < r.config.lateShare {
			delay += time.Second
		}
		r.after(delay, func() {
			apply(d)
			reply := d.picker.Loads(r.now)
			r.messages += len(loads) + len(reply)
			r.after(linkMillis*time.Millisecond, func() { leader.board.Record(r.now, fmt.Sprint(i), reply) })
		})
	}
}

// inTime returns how many of the calls that arrived in a part of the replay were answered in time.
func (r *replay) inTime(from, to time.Duration) int {
	n := 0
	for _, c := range r.calls {
		at := c.arrivedAt.Sub(start)
		if at >= from && at < to && !c.answeredAt.IsZero() && c.answeredAt.Sub(c.arrivedAt) <= targetMillis*time.Millisecond {
			n++
		}
	}
	return n
}

type event struct {
	at     time.Time
	number int
	do     func()
}

// events is a heap of events in the order of their times.
type events struct {
	list   []event
	pushed int
}

func (e *events) Len() int { return len(e.list) }

func (e *events) Less(i, j int) bool {
	a, b := e.list[i], e.list[j]
	return a.at.Before(b.at) || (a.at.Equal(b.at) && a.number < b.number)
}

func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }

func (e *events) Push(x any) { e.list = append(e.list, x.(event)) }

func (e *events) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}
