package twturns_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/quarantine/twturns"
)

func TestSuspectsRunOneAtATime(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(100, 0)
	turns := twturns.New()
	g.Expect(turns.Take(now, []string{"a", "b"}, "1", "1/0", "daemon0")).To(BeTrue())
	g.Expect(turns.Take(now, []string{"b", "c"}, "2", "2/0", "daemon1")).To(BeFalse())
	g.Expect(turns.Take(now, []string{"c"}, "2", "2/0", "daemon1")).To(BeTrue(), "a refused call has taken no turn")
	g.Expect(turns.Take(now, []string{"a", "b"}, "1", "1/0", "daemon0")).To(BeTrue(), "the next placement of the same call")
	g.Expect(turns.Take(now, []string{"a", "b"}, "1", "1/1", "daemon0")).To(BeTrue())
	turns.End("1/0")
	g.Expect(turns.Take(now, []string{"b"}, "3", "3/0", "daemon1")).To(BeFalse(), "the end of an earlier attempt ends no turn")
	turns.End("1/1")
	g.Expect(turns.Take(now, []string{"b"}, "3", "3/0", "daemon1")).To(BeTrue())
	turns.EndOwner("daemon1")
	g.Expect(turns.Take(now, []string{"b", "c"}, "4", "4/0", "daemon0")).To(BeTrue())
	g.Expect(turns.Take(now.Add(9*time.Second), []string{"b"}, "5", "5/0", "daemon0")).To(BeFalse())
	g.Expect(turns.Take(now.Add(11*time.Second), []string{"b"}, "5", "5/0", "daemon0")).To(BeTrue(), "nobody ends the turn of a daemon that is gone")
	turns.Expire(now.Add(time.Minute))
	g.Expect(turns.Take(now, []string{"b"}, "6", "6/0", "daemon0")).To(BeTrue())
}
