package twrolechange_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twrolechange"
)

var start = time.Unix(9000, 0)

func engine(role turmericwall.Role) turmericwall.Upstream {
	return turmericwall.Upstream{ID: "e", Role: role}
}

func TestEngineChangesRoleUntilItReportsNewRole(t *testing.T) {
	g := NewWithT(t)
	changes := twrolechange.New()
	g.Expect(changes.IsChangingRole(start, engine(turmericwall.RoleDecode))).To(BeFalse())
	changes.Add("e", turmericwall.RolePrefill, start.Add(20*time.Second))
	g.Expect(changes.IsChangingRole(start.Add(12*time.Second), engine(turmericwall.RoleDecode))).To(BeTrue())
	g.Expect(changes.IsChangingRole(start.Add(13*time.Second), engine(turmericwall.RolePrefill))).To(BeFalse())
	g.Expect(changes.List(start.Add(13 * time.Second))).To(BeEmpty())
}

func TestUnfinishedRoleChangeExpires(t *testing.T) {
	g := NewWithT(t)
	changes := twrolechange.New()
	changes.Add("e", turmericwall.RolePrefill, start.Add(20*time.Second))
	g.Expect(changes.IsChangingRole(start.Add(21*time.Second), engine(turmericwall.RoleDecode))).To(BeFalse())
}

// Guards against a leader that takes a changing engine for an idle one: after the leader that had ordered the change
// was partitioned, 110 calls were refused in nine seconds. The deadline is sent as the time left, since the clocks of
// daemons differ.
func TestNextLeaderReceivesRoleChanges(t *testing.T) {
	g := NewWithT(t)
	former, next := twrolechange.New(), twrolechange.New()
	former.Add("e", turmericwall.RolePrefill, start.Add(20*time.Second))
	receivedAt := start.Add(time.Hour)
	next.AddReported(receivedAt, former.List(start.Add(time.Second)))
	g.Expect(next.IsChangingRole(receivedAt.Add(18*time.Second), engine(turmericwall.RoleDecode))).To(BeTrue())
	g.Expect(next.IsChangingRole(receivedAt.Add(20*time.Second), engine(turmericwall.RoleDecode))).To(BeFalse())
}
