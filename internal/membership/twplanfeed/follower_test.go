package twplanfeed_test

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/membership/twplanfeed"
	"github.com/turmericwall/turmericwall/internal/operations/tweventlog"
	"github.com/turmericwall/turmericwall/internal/routing/twroutes"
)

// decoder decodes a row of one byte as the plan of that version, and nothing else.
type decoder struct{ turmericwall.Decoder }

func (decoder) Plan(value []byte) (*turmericwall.RoutePlan, error) {
	if len(value) != 1 {
		return nil, errUnreadable
	}
	return &turmericwall.RoutePlan{Version: int64(value[0])}, nil
}

var errUnreadable = turmericwall.NewProblem(turmericwall.KindBadRequest, "unreadable", "write it again")

func row(version int64, value ...byte) turmericwall.FeedRow {
	return turmericwall.FeedRow{Key: "config", Value: value, Version: version}
}

// Guards against a plan that counts as the newest although the row after it could not be decoded.
func TestFollowerLacksARowThatCannotBeDecoded(t *testing.T) {
	g := NewWithT(t)
	var logged bytes.Buffer
	routes := twroutes.New()
	f := twplanfeed.New(twplanfeed.Config{
		Key: "config", Routes: routes, Decoder: decoder{}, Recorder: tweventlog.New(tweventlog.Config{Output: &logged}),
	})
	change := func(rows ...turmericwall.FeedRow) { f.Change(time.Now(), turmericwall.Snapshot{Rows: rows}) }
	change(row(11, 1))
	g.Expect(f.HasAll()).To(BeTrue())
	change(row(12, 2, 2))
	g.Expect(f.HasAll()).To(BeFalse())
	change(turmericwall.FeedRow{Key: "another", Version: 13})
	g.Expect(f.HasAll()).To(BeFalse(), "another row says nothing about it")
	plan, _ := routes.Plan()
	g.Expect(plan.Version).To(BeEquivalentTo(1), "the plan before stays in force")
	g.Expect(plan.RowVersion).To(BeEquivalentTo(11))
	change(row(14, 3))
	g.Expect(f.HasAll()).To(BeTrue())
	g.Expect(bytes.Count(logged.Bytes(), []byte(`"event":6003`))).To(Equal(1))
}
