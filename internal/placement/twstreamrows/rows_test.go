package twstreamrows_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
	"github.com/turmericwall/turmericwall/internal/placement/twstreamrecords"
	"github.com/turmericwall/turmericwall/internal/placement/twstreamrows"
)

// store has the rows of one table, and fails while it is away. Answers of writes that it carries out are lost while lossy is set.
type store struct {
	rows        map[string]turmericwall.FeedRow
	version     int64
	away, lossy bool
	reads       int
	writes      int
	largest     int
}

var errAway = errors.New("no answer")

func (s *store) Rows(context.Context, string) (turmericwall.Snapshot, error) {
	s.reads++
	if s.away {
		return turmericwall.Snapshot{}, errAway
	}
	var snapshot turmericwall.Snapshot
	for _, row := range s.rows {
		snapshot.Rows = append(snapshot.Rows, row)
	}
	return snapshot, nil
}

func (s *store) CompareAndSwap(
	_ context.Context, _, key string, ifVersion int64, value []byte,
) (int64, turmericwall.FeedRow, bool, error) {
	s.writes++
	if s.away {
		return 0, turmericwall.FeedRow{}, false, errAway
	}
	if current := s.rows[key]; current.Version != ifVersion {
		return 0, current, false, nil
	}
	s.version++
	s.largest = max(s.largest, len(value))
	s.rows[key] = turmericwall.FeedRow{Key: key, Value: value, Version: s.version}
	if s.lossy {
		return 0, turmericwall.FeedRow{}, false, errAway
	}
	return s.version, turmericwall.FeedRow{}, true, nil
}

// daemon is the part of a daemon that keeps records, with what the test changes of it.
type daemon struct {
	records        *twstreamrecords.Records
	rows           *twstreamrows.Rows
	leader, needed bool
	now            time.Time
}

func newDaemon(s *store) *daemon {
	d := &daemon{records: twstreamrecords.New(twstreamrecords.Config{}), leader: true, needed: true, now: time.Now()}
	d.rows = twstreamrows.New(twstreamrows.Config{
		Store: s, Records: d.records, Leader: func() bool { return d.leader }, Needed: func() bool { return d.needed },
		Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard}), Count: func(string, int64) {},
	})
	return d
}

// sync lets the span pass in steps of a tenth of a second.
func (d *daemon) sync(span time.Duration) {
	for until := d.now.Add(span); d.now.Before(until); d.now = d.now.Add(100 * time.Millisecond) {
		d.rows.Sync(context.Background(), d.now)
	}
}

func (d *daemon) record(stream string, version turmericwall.SoftwareVersion) {
	d.records.Record(turmericwall.StreamRecord{Stream: stream, Service: "engines", Version: version, RemainingMillis: 28_000})
}

func (d *daemon) versionOf(stream string) turmericwall.SoftwareVersion {
	found, _ := d.records.Find(stream)
	return found.Version
}

func newStore() *store { return &store{rows: make(map[string]turmericwall.FeedRow)} }

// Guards against streams whose version nobody knows after all daemons were killed at the same time.
func TestNextLeaderKnowsTheStreamsAfterAllDaemonsWereKilled(t *testing.T) {
	g := NewWithT(t)
	s := newStore()
	before := newDaemon(s)
	for i := range 300 {
		before.record(fmt.Sprint("stream", i), turmericwall.SoftwareVersion(fmt.Sprint("v", 1+i%2)))
		before.sync(100 * time.Millisecond)
	}
	before.sync(time.Second)
	g.Expect(s.writes).To(BeNumerically("<=", 64), "two a second")
	after := newDaemon(s)
	after.sync(100 * time.Millisecond)
	for i := range 300 {
		g.Expect(after.versionOf(fmt.Sprint("stream", i))).To(BeEquivalentTo(fmt.Sprint("v", 1+i%2)))
	}
	found, _ := after.records.Find("stream1")
	g.Expect(found.Service).To(Equal("engines"))
	g.Expect(found.RemainingMillis).To(BeNumerically("~", 28_000, 1000))
}

// Guards against calls to the store by daemons that don't lead, or while one version serves.
func TestNothingIsStoredUnlessItIsNeeded(t *testing.T) {
	g := NewWithT(t)
	s := newStore()
	d := newDaemon(s)
	d.record("a", "v1")
	d.needed = false
	d.sync(time.Second)
	d.needed, d.leader = true, false
	d.sync(time.Second)
	g.Expect(s.reads + s.writes).To(BeZero())
	d.leader = true
	d.sync(5 * time.Second)
	g.Expect(s.reads).To(Equal(1))
	g.Expect(s.writes).To(Equal(1))
}

// Guards against records that are lost because the store was away, lost an answer, or another leader has written.
func TestRecordsAreStoredThroughFailures(t *testing.T) {
	g := NewWithT(t)
	s := newStore()
	d, other := newDaemon(s), newDaemon(s)
	s.away = true
	d.record("while away", "v1")
	d.sync(3 * time.Second)
	g.Expect(s.reads).To(BeNumerically("<=", 6), "one read each half second")
	s.away = false
	d.sync(time.Second)
	s.lossy = true
	d.record("answer lost", "v2")
	d.sync(time.Second)
	s.lossy = false
	other.record("of another leader", "v3")
	other.sync(time.Second)
	d.record("after it", "v4")
	d.sync(3 * time.Second)
	after := newDaemon(s)
	after.sync(100 * time.Millisecond)
	for stream, version := range map[string]string{"while away": "v1", "answer lost": "v2", "of another leader": "v3", "after it": "v4"} {
		g.Expect(after.versionOf(stream)).To(BeEquivalentTo(version), stream)
	}
}

// Guards against rows that the store refuses because they are too large, and against odd rows that end the reading of the others.
func TestRowsAreBounded(t *testing.T) {
	g := NewWithT(t)
	s := newStore()
	s.rows["slot63"] = turmericwall.FeedRow{Key: "slot63", Value: []byte(strings.Repeat("[", 1000)), Version: 1}
	s.rows["another"] = turmericwall.FeedRow{Key: "another", Value: []byte("{}"), Version: 2}
	s.version = 2
	d := newDaemon(s)
	d.record(strings.Repeat("x", 5000), "v1")
	for i := range 20_000 {
		d.record(fmt.Sprintf("%024d", i), "v1")
	}
	d.sync(time.Second)
	d.record("last", "v1")
	d.sync(time.Second)
	g.Expect(s.largest).To(BeNumerically("<", 48<<10))
	after := newDaemon(s)
	after.sync(100 * time.Millisecond)
	g.Expect(after.versionOf("last")).To(BeEquivalentTo("v1"))
	g.Expect(after.versionOf(fmt.Sprintf("%024d", 19_999))).To(BeEquivalentTo("v1"), "the newest are kept")
}
