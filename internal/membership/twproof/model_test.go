package twproof_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twproof"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
)

// maxAge is the bound on a proof, which is also the time within which a removed key must be refused.
const maxAge = 3 * time.Second

// message is a heartbeat under way.
type message struct {
	version   int64
	ageMillis int64
	echo      turmericwall.Echo
}

// daemon is one daemon's plan and proof.
type daemon struct {
	proof   *twproof.Proof
	name    string
	version int64
	// echoed is the last moment that the leader has from this daemon, by the leader's index.
	echoed map[int]turmericwall.Echo
	// inbox holds heartbeats that are not read yet: the daemon may be suspended or cut off.
	inbox []message
	// readFrom and reading are the read of the store that is under way.
	reading  bool
	readFrom twboottime.Moment
	answer   int64
}

// model is a store, some daemons and a leader, in virtual time.
type model struct {
	now     twboottime.Moment
	daemons []*daemon
	leader  int
	// version is the plan at the store. The key is removed by version 2, acknowledged at removedAt.
	version   int64
	removedAt twboottime.Moment
}

func newModel(daemons int) *model {
	m := &model{now: at(10_000), version: 1}
	for i := range daemons {
		name := fmt.Sprint("i-", i)
		d := &daemon{name: name, version: 1, echoed: make(map[int]turmericwall.Echo)}
		d.proof = twproof.New(twproof.Config{Incarnation: name, MaxAge: maxAge, Current: maxAge})
		d.proof.Confirm(m.now)
		m.daemons = append(m.daemons, d)
	}
	return m
}

// beginRead has the leader ask the store; the answer is what the store has then or later.
func (m *model) beginRead() {
	d := m.daemons[m.leader]
	if !d.reading {
		d.reading, d.readFrom, d.answer = true, m.now, m.version
	}
}

func (m *model) endRead(i int) {
	d := m.daemons[i]
	if !d.reading {
		return
	}
	d.reading = false
	d.version = max(d.version, d.answer)
	d.proof.Confirm(d.readFrom)
}

// send writes a heartbeat to a follower: the age is taken before the version.
func (m *model) send(to int) {
	leader, d := m.daemons[m.leader], m.daemons[to]
	if to != m.leader && len(d.inbox) < 2 {
		d.inbox = append(d.inbox, message{ageMillis: leader.proof.AgeMillis(m.now), version: leader.version, echo: d.echoed[m.leader]})
	}
}

// deliver has a follower read its oldest heartbeat, and its reply reach the leader.
func (m *model) deliver(to int) {
	d := m.daemons[to]
	if len(d.inbox) == 0 {
		return
	}
	got := d.inbox[0]
	d.inbox = d.inbox[1:]
	if got.version <= d.version {
		d.proof.ConfirmEcho(m.now, got.echo, got.ageMillis)
	}
	d.echoed[m.leader] = turmericwall.Echo{Incarnation: d.name, Moment: int64(m.now)}
}

// fetch has a follower that lacks a version ask the leader for it.
func (m *model) fetch(i int) {
	leader, d := m.daemons[m.leader], m.daemons[i]
	age := leader.proof.AgeMillis(m.now)
	d.version = max(d.version, leader.version)
	d.proof.ConfirmAged(m.now, age)
}

func (m *model) remove() {
	if m.version == 1 {
		m.version, m.removedAt = 2, m.now
	}
}

// broken names a daemon that admits the removed key after its bound.
func (m *model) broken() (int, bool) {
	if m.version == 1 || m.now.Sub(m.removedAt) < maxAge {
		return 0, false
	}
	for i, d := range m.daemons {
		if d.version < 2 && d.proof.Admits(m.now) {
			return i, true
		}
	}
	return 0, false
}

// events are all that can happen in the small model.
func (m *model) events() []func() {
	list := []func(){
		func() { m.now = m.now.Add(time.Second) },
		m.beginRead, func() { m.endRead(0) }, m.remove,
		func() { m.leader = (m.leader + 1) % len(m.daemons) },
	}
	for i := 1; i < len(m.daemons); i++ {
		list = append(list, func() { m.send(i) }, func() { m.deliver(i) })
	}
	return list
}

// Guards against a removed key that is admitted after its bound, in every order of reads, heartbeats that lie unread,
// changes of the leader and the removal.
func TestNoOrderOfEventsAdmitsARemovedKeyAfterItsBound(t *testing.T) {
	const depth = 6
	count := len(newModel(3).events())
	sequence := make([]int, depth)
	total := 1
	for range depth {
		total *= count
	}
	for n := range total {
		for i, rest := 0, n; i < depth; i, rest = i+1, rest/count {
			sequence[i] = rest % count
		}
		m := newModel(3)
		events := m.events()
		for _, e := range sequence {
			events[e]()
		}
		// However the sequence ended, time goes on with all that is under way delivered late.
		for range 4 {
			m.now = m.now.Add(time.Second)
			for i := range m.daemons {
				m.endRead(i)
				m.deliver(i)
			}
			if i, found := m.broken(); found {
				t.Fatalf("daemon %d admits the removed key after its bound: events %v", i, sequence)
			}
		}
	}
	t.Logf("%d sequences of %d events", total, depth)
}

// Guards against the same in long random courses of many daemons, and against refusals while heartbeats come through.
func TestManyDaemonsAdmitKeysWhileTheyHaveAWayAndNoLonger(t *testing.T) {
	for _, count := range []int{10, 82, 1000} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("daemons=%d seed=%d", count, seed), func(t *testing.T) {
				g := NewWithT(t)
				random := rand.New(rand.NewPCG(seed, 11))
				m := newModel(count)
				cutUntil := make([]twboottime.Moment, count)
				clearSince := make([]twboottime.Moment, count)
				storeAway := false
				// leaderSince is when a leader last had an old proof, or another one became the leader.
				var leaderSince twboottime.Moment
				for tick := range 400 {
					m.now = m.now.Add(50 * time.Millisecond)
					switch {
					case tick == 150:
						m.remove()
					case tick%40 == 39:
						m.leader = random.IntN(count)
					case tick%30 == 29:
						storeAway = !storeAway
					}
					if !storeAway {
						m.endRead(m.leader)
						m.beginRead()
					}
					if tick%40 == 39 || m.daemons[m.leader].proof.AgeMillis(m.now) > 1500 {
						leaderSince = m.now
					}
					for i, d := range m.daemons {
						if random.IntN(400) == 0 {
							cutUntil[i] = m.now.Add(time.Duration(random.IntN(5000)) * time.Millisecond)
						}
						if m.now < cutUntil[i] || m.now < cutUntil[m.leader] {
							clearSince[i] = m.now
							continue
						}
						if tick%5 == i%5 {
							m.send(i)
							m.deliver(i)
						}
						if d.version < m.daemons[m.leader].version {
							m.fetch(i)
						}
						if m.now.Sub(max(clearSince[i], leaderSince)) > time.Second {
							g.Expect(d.proof.Admits(m.now)).To(BeTrue(), "daemon %d refuses at tick %d", i, tick)
						}
					}
					_, found := m.broken()
					g.Expect(found).To(BeFalse(), "tick %d", tick)
				}
			})
		}
	}
}
