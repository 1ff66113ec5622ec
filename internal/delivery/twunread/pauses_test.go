package twunread_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/delivery/twunread"
)

// Guards against an engine that is blamed for the cut of an answer which nobody read, and against the end of an engine that
// is taken for such a cut.
func TestOnlyAnAnswerThatWasUnreadMayBeCut(t *testing.T) {
	for _, test := range []struct {
		name string
		// pause and read are the times between two reads and of a read, in milliseconds.
		pause, read, times int
		// after is the time of one more read, in milliseconds.
		after int
		want  bool
	}{
		{"read as it arrives", 0, 100, 100, 0, false},
		{"a slow link", 20, 80, 100, 0, false},
		{"a short pause", 900, 100, 1, 0, false},
		{"one long pause", 2000, 1, 1, 0, true},
		{"many short pauses", 180, 20, 50, 0, true},
		{"a long pause, what had been sent is received", 4000, 1, 1, 2000, true},
		{"a long pause, long ago", 4000, 1, 1, 6000, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			pauses := twunread.New(now)
			step := func(millis int) time.Time {
				now = now.Add(time.Duration(millis) * time.Millisecond)
				return now
			}
			for range test.times {
				pauses.BeginRead(step(test.pause))
				pauses.EndRead(step(test.read))
			}
			pauses.BeginRead(now)
			pauses.EndRead(step(test.after))
			NewWithT(t).Expect(pauses.MayBeCut()).To(Equal(test.want))
		})
	}
}

func BenchmarkPauses(b *testing.B) {
	now := time.Unix(1000, 0)
	pauses := twunread.New(now)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		pauses.BeginRead(now)
		pauses.EndRead(now)
	}
}
