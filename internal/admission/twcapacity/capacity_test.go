package twcapacity_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/admission/twcapacity"
)

const (
	// recordMillis is the interval at which simulated daemons record their traffic.
	recordMillis = 20
	// megabit is a rate in bytes per second.
	megabit = 1e6 / 8
	// headerShare is what the headers of packets add to payload.
	headerShare = 0.12
)

// part is one message of a call, some time after its begin.
type part struct {
	afterMillis    int
	sent, received int64
}

// kind is a kind of calls: its messages, and the time within which the last one must have been carried.
type kind struct {
	parts        []part
	targetMillis int
}

var (
	plain  = kind{parts: []part{{0, 0, 700}, {1, 700, 0}, {20, 0, 1000}, {21, 1000, 0}}, targetMillis: 150}
	stream = kind{parts: []part{
		{0, 0, 5000}, {5, 5000, 0}, {35, 5000, 0}, {60, 6000, 6000}, {90, 6000, 6000}, {120, 6000, 6000}, {150, 6000, 6000},
	}, targetMillis: 1000}
)

// call is one that a simulated daemon has read.
type call struct {
	kind    kind
	begunAt int
	next    int
}

// simulatedDaemon carries calls over its link in virtual time.
type simulatedDaemon struct {
	capacity *twcapacity.Capacity
	rate     float64
	open     []*call
	traffic  twcapacity.Traffic
	// freeAtMillis is when the link has carried what is queued, in each direction.
	sendingFreeAt, receivingFreeAt float64
	read, inTime                   int
	longestMillis                  float64
}

func newSimulatedDaemon(megabits float64) *simulatedDaemon {
	return &simulatedDaemon{rate: megabits * megabit, capacity: twcapacity.New(twcapacity.Config{
		LinkBytesPerSecond: megabits * megabit, MaxConnections: 1000, RecordMillis: recordMillis,
	})}
}

// accept reads a call if the daemon admits its connection.
func (d *simulatedDaemon) accept(millis int, k kind) bool {
	if !d.capacity.Admit(at(millis)) {
		return false
	}
	d.capacity.BeginCall(true)
	d.open = append(d.open, &call{kind: k, begunAt: millis})
	d.read++
	return true
}

// step carries what is due in one millisecond.
func (d *simulatedDaemon) step(millis int) {
	carry := func(freeAt *float64, bytes int64) {
		*freeAt = max(*freeAt, float64(millis)) + float64(bytes)*(1+headerShare)/d.rate*1000
	}
	kept := d.open[:0]
	for _, c := range d.open {
		for c.next < len(c.kind.parts) && c.begunAt+c.kind.parts[c.next].afterMillis <= millis {
			p := c.kind.parts[c.next]
			d.traffic.Calls.Sent += p.sent
			d.traffic.Calls.Received += p.received
			carry(&d.sendingFreeAt, p.sent)
			carry(&d.receivingFreeAt, p.received)
			c.next++
		}
		if c.next < len(c.kind.parts) {
			kept = append(kept, c)
			continue
		}
		took := max(d.sendingFreeAt, d.receivingFreeAt, float64(millis)) - float64(c.begunAt)
		d.longestMillis = max(d.longestMillis, took)
		if took <= float64(c.kind.targetMillis) {
			d.inTime++
		}
		d.capacity.EndCall()
		d.capacity.Release()
	}
	d.open = kept
	if millis%recordMillis == 0 {
		d.capacity.Record(at(millis), d.traffic, 0)
	}
}

func at(millis int) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(millis) * time.Millisecond)
}

// Guards against a daemon that reads calls that its link doesn't carry in time, or refuses what it would carry.
func TestSteeredDaemonReadsWhatItsLinkCarries(t *testing.T) {
	const (
		steeredFrom, steeredUntil, simulatedMillis = 4000, 14000, 18000
		minInTime, minUsed                         = 0.95, 0.6
	)
	for _, test := range []struct {
		daemons  int
		megabits float64
		// perSecond are the new connections before, and steeredPerSecond those at the steered daemon.
		perSecond, steeredPerSecond int
		retriesReturn               bool
	}{
		{6, 10, 90, 180, false},
		{82, 10, 290, 580, false},
		{82, 200, 290, 580, false},
		{986, 10, 2000, 4000, false},
		{1, 10, 60, 300, true},
		{82, 10, 290, 580, true},
	} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			g := NewWithT(t)
			random := rand.New(rand.NewPCG(1, 2))
			daemons := make([]*simulatedDaemon, test.daemons)
			for i := range daemons {
				daemons[i] = newSimulatedDaemon(test.megabits)
			}
			lost := 0
			for millis := range simulatedMillis {
				isSteered := millis >= steeredFrom && millis < steeredUntil
				rate := test.perSecond
				if isSteered {
					rate = test.steeredPerSecond
				}
				for n := rate * (millis + 1) / 1000; n > rate*millis/1000; n-- {
					k := plain
					if random.IntN(100) < 18 {
						k = stream
					}
					first := random.IntN(len(daemons))
					if isSteered {
						first = 0
					}
					retry := first
					if !test.retriesReturn {
						retry = (first + 1 + random.IntN(len(daemons)-1)) % len(daemons)
					}
					if !daemons[first].accept(millis, k) && !daemons[retry].accept(millis, k) && isSteered {
						lost++
					}
				}
				for _, d := range daemons {
					d.step(millis)
				}
			}
			steered := daemons[0]
			for _, d := range daemons {
				g.Expect(float64(d.inTime + len(d.open))).To(BeNumerically(">=", minInTime*float64(d.read)))
			}
			perSecond := float64(steered.traffic.Calls.Sent) / (steeredUntil - steeredFrom) * 1000
			t.Logf("read %d, in time %d, longest %.0f ms, %.2f of the link, %d calls read by none", steered.read, steered.inTime, steered.longestMillis,
				perSecond/steered.rate, lost)
			if test.megabits <= 10 {
				g.Expect(perSecond / steered.rate).To(BeNumerically(">=", minUsed))
			}
			if !test.retriesReturn {
				g.Expect(lost).To(BeNumerically("<=", test.steeredPerSecond/20))
			}
		})
	}
}

// Guards against a wrong rate or measurement that takes an idle daemon out of service.
func TestIdleDaemonAdmitsWhateverWasMeasured(t *testing.T) {
	g := NewWithT(t)
	capacity := twcapacity.New(twcapacity.Config{LinkBytesPerSecond: 1, RecordMillis: recordMillis})
	capacity.Record(at(0), twcapacity.Traffic{}, 0)
	capacity.Record(at(recordMillis), twcapacity.Traffic{Others: twcapacity.Bytes{Sent: 1e6, Received: 1e6}}, time.Second)
	g.Expect(capacity.HasRoom(at(recordMillis))).To(BeFalse())
	g.Expect(capacity.Admit(at(recordMillis))).To(BeTrue())
	capacity.BeginCall(true)
	g.Expect(capacity.Admit(at(recordMillis))).To(BeFalse())
	capacity.EndCall()
	g.Expect(capacity.Admit(at(recordMillis))).To(BeTrue())
}

// Guards against callers that open connections and send nothing until no descriptor is left.
func TestConnectionsAreBounded(t *testing.T) {
	g := NewWithT(t)
	capacity := twcapacity.New(twcapacity.Config{MaxConnections: 2})
	g.Expect([]bool{capacity.Admit(at(0)), capacity.Admit(at(0)), capacity.Admit(at(0))}).To(Equal([]bool{true, true, false}))
	capacity.Release()
	g.Expect(capacity.Admit(at(0))).To(BeTrue())
	g.Expect(capacity.Refused()).To(BeEquivalentTo(1))
}

// Guards against a processor that is so late that it doesn't record its own lateness.
func TestLateProcessorAdmitsNothingBesideManyCalls(t *testing.T) {
	g := NewWithT(t)
	capacity := twcapacity.New(twcapacity.Config{RecordMillis: recordMillis})
	capacity.Record(at(0), twcapacity.Traffic{}, 0)
	for range 16 {
		capacity.BeginCall(false)
	}
	g.Expect(capacity.HasRoom(at(recordMillis))).To(BeTrue())
	g.Expect(capacity.HasRoom(at(400))).To(BeFalse())
	capacity.Record(at(401), twcapacity.Traffic{}, 380*time.Millisecond)
	g.Expect(capacity.HasRoom(at(402))).To(BeFalse())
	capacity.Record(at(421), twcapacity.Traffic{}, 0)
	g.Expect(capacity.HasRoom(at(422))).To(BeTrue())
}

// Guards against daemons that all refuse their callers because their hosts are busy with something else.
func TestLateProcessorAdmitsCallsBesideFewOthers(t *testing.T) {
	g := NewWithT(t)
	capacity := twcapacity.New(twcapacity.Config{RecordMillis: recordMillis})
	capacity.Record(at(0), twcapacity.Traffic{}, 0)
	for range 15 {
		capacity.BeginCall(false)
	}
	capacity.Record(at(2000), twcapacity.Traffic{}, 1900*time.Millisecond)
	g.Expect(capacity.MayListen(at(2001))).To(BeTrue())
	g.Expect(capacity.IsShedding(at(2001))).To(BeFalse())
}

// Guards against a delay that is forgotten before what waited in it has arrived, or that outlasts it.
func TestOwnDelayIsRememberedForASecond(t *testing.T) {
	g := NewWithT(t)
	capacity := twcapacity.New(twcapacity.Config{RecordMillis: recordMillis})
	capacity.Record(at(0), twcapacity.Traffic{}, 180*time.Millisecond)
	capacity.Record(at(890), twcapacity.Traffic{}, 0)
	g.Expect(capacity.OwnDelay(at(900))).To(Equal(180 * time.Millisecond))
	g.Expect(capacity.OwnDelay(at(5000))).To(Equal(250*time.Millisecond), "not recorded for long")
	capacity.Record(at(5001), twcapacity.Traffic{}, 0)
	g.Expect(capacity.OwnDelay(at(5002))).To(BeZero())
}

// Guards against new callers at a daemon whose memory slow ones take, and against an idle one that stays closed.
func TestMemoryOfSlowReadersBoundsConnections(t *testing.T) {
	g := NewWithT(t)
	capacity := twcapacity.New(twcapacity.Config{RecordMillis: recordMillis, MaxHeldBytes: 1000})
	capacity.BeginCall(false)
	capacity.RecordHeld(700)
	g.Expect(capacity.Admit(at(0))).To(BeTrue())
	capacity.RecordHeld(800)
	g.Expect([]bool{capacity.MayListen(at(0)), capacity.Admit(at(0)), capacity.HasRoom(at(0))}).To(Equal([]bool{false, false, false}))
	capacity.RecordHeld(700)
	g.Expect(capacity.MayListen(at(0))).To(BeTrue())
	capacity.RecordHeld(800)
	capacity.EndCall()
	g.Expect(capacity.Admit(at(0))).To(BeTrue())
}
