package twrevision_test

import (
	"bytes"
	"fmt"
	"io"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/turmericwall/turmericwall/internal/document/twpublisher"
	"github.com/turmericwall/turmericwall/internal/document/twrevision"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
	"github.com/turmericwall/turmericwall/internal/operations/twtrace"
	"github.com/turmericwall/turmericwall/internal/platform/twmemory"
)

func documentSource(worth int64) []byte {
	return fmt.Appendf(nil, `{"services":[],"work":[{"name":"w","worth":%d}],"accounts":[]}`, worth)
}

func newHolder(publisher *twpublisher.Publisher) *twrevision.Holder {
	return twrevision.New(twrevision.Config{
		Publisher: publisher, Clock: clockwork.NewFakeClock(),
		Recorder: tweventlog.New(tweventlog.Config{Output: io.Discard, Trace: twtrace.New()}),
	})
}

// Guards against a configuration that reverts, and against a source that belongs to another revision. Revisions reach a
// daemon in any order; some of them are stale and some can't be parsed.
func TestRevisionInForceNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		h := newHolder(twpublisher.New(twpublisher.Config{Table: twmemory.New(), Environment: "e"}))
		highest := int64(0)
		for range rapid.IntRange(1, 20).Draw(t, "offers") {
			revision := int64(rapid.IntRange(1, 9).Draw(t, "revision"))
			if rapid.IntRange(0, 4).Draw(t, "broken") == 0 {
				_ = h.ApplyIfNewer(revision, []byte("{"), "peer")
			} else {
				g.Expect(h.ApplyIfNewer(revision, documentSource(revision), "peer")).To(Succeed())
				highest = max(highest, revision)
			}
			g.Expect(h.Revision()).To(Equal(highest))
			if d, ok := h.Current(); ok {
				g.Expect(bytes.Equal(d.Source(), documentSource(d.Revision()))).To(BeTrue())
			}
		}
	})
}

// Guards against an operator who overwrites a revision without having read it. Operators apply documents in any order,
// each on top of the last revision that it read. An apply succeeds only on top of the latest accepted revision, and a
// daemon ends with the last one.
func TestOperatorNeverOverwritesUnreadRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		ctx := t.Context()
		p := twpublisher.New(twpublisher.Config{Table: twmemory.New(), Environment: "e"})
		lastRead := []int64{0, 0, 0}
		accepted := int64(0)
		for i := range rapid.IntRange(1, 20).Draw(t, "steps") {
			operator := rapid.IntRange(0, 2).Draw(t, "operator")
			if rapid.Bool().Draw(t, "looks") {
				head, _, err := p.Head(ctx)
				g.Expect(err).NotTo(HaveOccurred())
				lastRead[operator] = head.Revision
				continue
			}
			_, err := p.Apply(
				ctx, lastRead[operator], twpublisher.RevisionEntry{Source: documentSource(int64(100 + i))},
			)
			g.Expect(err == nil).To(Equal(lastRead[operator] == accepted))
			if err == nil {
				accepted++
			}
		}
		h := newHolder(p)
		g.Expect(h.Refresh(ctx)).To(Succeed())
		g.Expect(h.Revision()).To(Equal(accepted))
	})
}
