package twtask_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/operations/twtask"
)

// Guards against a task that panics and ends the process at once, with all that the other tasks are doing.
func TestAPanicOfATaskIsItsError(t *testing.T) {
	g := NewWithT(t)
	group := twtask.New(context.Background())
	group.Start("watch", func(context.Context) error { panic("index out of range") })
	<-group.Context().Done()
	g.Expect(context.Cause(group.Context())).To(MatchError(ContainSubstring("watch: panicked: index out of range")))
	g.Expect(group.Wait()).To(MatchError(ContainSubstring("group_test.go")), "with the place")
}
