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

// maxAge is the limit on a proof's age, and so the time within which a removed key must be refused.
const maxAge = 3 * time.Second

// message is a heartbeat in transit.
type message struct {
	version   int64
	ageMillis int64
	echo      turmericwall.Echo
}

// daemon is one daemon with its version of the plan and its proof.
type daemon struct {
	proof   *twproof.Proof
	name    string
	version int64
	// echoes are the last times of this daemon that each leader received, by the leader's index.
	echoes map[int]turmericwall.Echo
	// inbox holds heartbeats that are not read yet: the daemon may be suspended or partitioned.
	inbox []message
	// reading is set while a read of the store is under way; it was sent at readSentAt and returns the version
	// readVersion.
	reading     bool
	readSentAt  twboottime.Instant
	readVersion int64
}

// model simulates a store, some daemons and a leader in virtual time.
type model struct {
	now     twboottime.Instant
	daemons []*daemon
	leader  int
	// version is the plan in the store. Version 2 removes the key; it is acknowledged at removedAt.
	version   int64
	removedAt twboottime.Instant
}

func newModel(daemons int) *model {
	m := &model{now: at(10_000), version: 1}
	for i := range daemons {
		name := fmt.Sprint("i-", i)
		d := &daemon{name: name, version: 1, echoes: make(map[int]turmericwall.Echo)}
		d.proof = twproof.New(twproof.Config{Incarnation: name, MaxAge: maxAge, InForceWithin: maxAge})
		d.proof.Confirm(m.now)
		m.daemons = append(m.daemons, d)
	}
	return m
}

// beginRead sends the leader's read to the store, which answers with the version of that time.
func (m *model) beginRead() {
	d := m.daemons[m.leader]
	if !d.reading {
		d.reading, d.readSentAt, d.readVersion = true, m.now, m.version
	}
}

// endRead delivers the answer to a daemon's read.
func (m *model) endRead(i int) {
	d := m.daemons[i]
	if !d.reading {
		return
	}
	d.reading = false
	d.version = max(d.version, d.readVersion)
	d.proof.Confirm(d.readSentAt)
}

// send puts a heartbeat into a follower's inbox. The age is taken before the version.
func (m *model) send(to int) {
	leader, d := m.daemons[m.leader], m.daemons[to]
	if to != m.leader && len(d.inbox) < 2 {
		d.inbox = append(d.inbox, message{
			ageMillis: leader.proof.AgeMillis(m.now), version: leader.version, echo: d.echoes[m.leader],
		})
	}
}

// deliver makes a follower read its oldest heartbeat, and the leader receive the reply.
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
	d.echoes[m.leader] = turmericwall.Echo{Incarnation: d.name, BootTimeNanos: int64(m.now)}
}

// fetch makes a follower with an older version fetch the plan from the leader.
func (m *model) fetch(i int) {
	leader, d := m.daemons[m.leader], m.daemons[i]
	age := leader.proof.AgeMillis(m.now)
	d.version = max(d.version, leader.version)
	d.proof.ConfirmAged(m.now, age)
}

// remove removes the key by version 2 of the plan.
func (m *model) remove() {
	if m.version == 1 {
		m.version, m.removedAt = 2, m.now
	}
}

// findViolation returns the index of a daemon that admits the removed key after maxAge.
func (m *model) findViolation() (int, bool) {
	if m.version == 1 || m.now.Sub(m.removedAt) < maxAge {
		return 0, false
	}
	for i, d := range m.daemons {
		if d.version < 2 && d.proof.AdmitsListedKey(m.now) {
			return i, true
		}
	}
	return 0, false
}

// events returns all events of the small model.
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

// Guards against a removed key that is admitted after maxAge, in every order of reads, late heartbeats, changes of
// the leader and the removal.
func TestRemovedKeyIsRefusedInEveryOrderOfEvents(t *testing.T) {
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
		// Time continues after each sequence, and all that is under way is delivered late.
		for range 4 {
			m.now = m.now.Add(time.Second)
			for i := range m.daemons {
				m.endRead(i)
				m.deliver(i)
			}
			if i, found := m.findViolation(); found {
				t.Fatalf("daemon %d admits the removed key after maxAge: events %v", i, sequence)
			}
		}
	}
	t.Logf("%d sequences of %d events", total, depth)
}

// Guards against a removed key that is admitted after maxAge in long random runs of many daemons, and against refused
// keys while heartbeats arrive.
func TestManyDaemonsAdmitKeysOnlyWhileHeartbeatsArrive(t *testing.T) {
	for _, count := range []int{10, 82, 1000} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("daemons=%d seed=%d", count, seed), func(t *testing.T) {
				g := NewWithT(t)
				random := rand.New(rand.NewPCG(seed, 11))
				m := newModel(count)
				partitionedUntil := make([]twboottime.Instant, count)
				connectedSince := make([]twboottime.Instant, count)
				storeUnavailable := false
				// leaderCurrentSince is when a leader last had a proof older than 1.5 s, or when the leader last
				// changed.
				var leaderCurrentSince twboottime.Instant
				for tick := range 400 {
					m.now = m.now.Add(50 * time.Millisecond)
					switch {
					case tick == 150:
						m.remove()
					case tick%40 == 39:
						m.leader = random.IntN(count)
					case tick%30 == 29:
						storeUnavailable = !storeUnavailable
					}
					if !storeUnavailable {
						m.endRead(m.leader)
						m.beginRead()
					}
					if tick%40 == 39 || m.daemons[m.leader].proof.AgeMillis(m.now) > 1500 {
						leaderCurrentSince = m.now
					}
					for i, d := range m.daemons {
						if random.IntN(400) == 0 {
							partitionedUntil[i] = m.now.Add(time.Duration(random.IntN(5000)) * time.Millisecond)
						}
						if m.now < partitionedUntil[i] || m.now < partitionedUntil[m.leader] {
							connectedSince[i] = m.now
							continue
						}
						if tick%5 == i%5 {
							m.send(i)
							m.deliver(i)
						}
						if d.version < m.daemons[m.leader].version {
							m.fetch(i)
						}
						if m.now.Sub(max(connectedSince[i], leaderCurrentSince)) > time.Second {
							g.Expect(d.proof.AdmitsListedKey(m.now)).To(
								BeTrue(), "daemon %d refuses at tick %d", i, tick)
						}
					}
					_, found := m.findViolation()
					g.Expect(found).To(BeFalse(), "tick %d", tick)
				}
			})
		}
	}
}
