package twversionhistory_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twversionhistory"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
)

const span = 10 * time.Second

// fixture is a history with a clock.
type fixture struct {
	*twversionhistory.History
	now twboottime.Instant
}

func newFixture(firstStart bool) *fixture {
	f := &fixture{now: twboottime.Instant(time.Hour)}
	f.History = twversionhistory.New(twversionhistory.Config{
		FirstStart: firstStart, MaxAge: time.Second, Now: func() twboottime.Instant { return f.now },
	})
	return f
}

// observe observes the versions of a service each second for a while.
func (f *fixture) observe(seconds int, versions ...turmericwall.SoftwareVersion) {
	for range seconds {
		f.now = f.now.Add(time.Second)
		var list []turmericwall.Upstream
		for _, v := range versions {
			list = append(list, turmericwall.Upstream{Service: "s", Version: v})
		}
		f.Observe(100*time.Millisecond, list)
	}
}

func (f *fixture) only() string {
	version, ok := f.Only("s", span)
	if !ok {
		return "unknown"
	}
	return string(version)
}

// Guards against a version that is taken for the only one while another one may have served.
func TestOnlyVersionNeedsTheWholeSpan(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(f *fixture)
		want string
	}{
		{"no observation", func(*fixture) {}, "unknown"},
		{"a shorter time", func(f *fixture) { f.observe(8, "v1") }, "unknown"},
		{"the whole span", func(f *fixture) { f.observe(12, "v1") }, "v1"},
		{"a view without versions", func(f *fixture) { f.observe(12, "") }, "unknown"},
		{"two versions", func(f *fixture) { f.observe(12, "v1", "v2") }, "unknown"},
		{"another one before", func(f *fixture) { f.observe(12, "v1"); f.observe(8, "v2") }, "unknown"},
		{"another one long before", func(f *fixture) { f.observe(12, "v1"); f.observe(12, "v2") }, "v2"},
		{"no fresh view", func(f *fixture) { f.observe(12, "v1"); f.now = f.now.Add(2 * time.Second) }, "unknown"},
		{"a gap", func(f *fixture) { f.observe(12, "v1"); f.now = f.now.Add(5 * time.Second); f.observe(5, "v1") }, "unknown"},
		{"a view that was old", func(f *fixture) {
			f.observe(12, "v1")
			f.now = f.now.Add(time.Second)
			f.Observe(5*time.Second, []turmericwall.Upstream{{Service: "s", Version: "v1"}})
			f.now = f.now.Add(time.Second)
		}, "unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(false)
			c.run(f)
			NewWithT(t).Expect(f.only()).To(Equal(c.want))
		})
	}
}

func TestFirstStartHasNoStreamsBefore(t *testing.T) {
	f := newFixture(true)
	f.observe(1, "v1")
	NewWithT(t).Expect(f.only()).To(Equal("v1"))
}

// Guards against daemons that know nothing after they were all restarted one after the other.
func TestHistoryPassesToAStartingDaemon(t *testing.T) {
	for versions, want := range map[string]string{"v1": "v1", "v2": "unknown"} {
		g := NewWithT(t)
		old := newFixture(false)
		old.observe(1, turmericwall.SoftwareVersion(versions))
		old.observe(12, "v1")
		old.observe(1, turmericwall.SoftwareVersion(versions))
		started := newFixture(false)
		started.now = old.now
		started.Merge(old.Report())
		started.observe(1, "v1")
		g.Expect(started.only()).To(Equal(want))
	}
	g := NewWithT(t)
	stale := newFixture(false)
	stale.observe(12, "v1")
	stale.now = stale.now.Add(2 * time.Second)
	started := newFixture(false)
	started.now = stale.now
	started.Merge(stale.Report())
	started.observe(1, "v1")
	g.Expect(started.only()).To(Equal("unknown"), "the peer's view was not fresh")
}

// Guards against a daemon that is cut off, or stood still, and takes the version that it knows for that of a stream which began since.
func TestHistoryCoversNothingAfterItsView(t *testing.T) {
	g := NewWithT(t)
	f := newFixture(true)
	g.Expect(f.Covers(0)).To(BeFalse(), "nothing was observed")
	f.observe(2, "v1")
	seenAt := f.now.Add(-100 * time.Millisecond)
	g.Expect(f.Covers(seenAt)).To(BeTrue())
	g.Expect(f.Covers(f.now)).To(BeFalse(), "the view is older")
	f.now = f.now.Add(500 * time.Millisecond)
	g.Expect(f.only()).To(Equal("v1"), "the view is still fresh")
	g.Expect(f.Covers(f.now)).To(BeFalse())
	f.observe(1, "v1", "v2")
	g.Expect(f.Covers(seenAt.Add(time.Second))).To(BeTrue())
	g.Expect(f.only()).To(Equal("unknown"))
}
