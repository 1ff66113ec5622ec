package twposition_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/membership/twposition"
)

func TestPositionsAreOrderedByEraFirst(t *testing.T) {
	g := NewWithT(t)
	previous := twposition.Position(-1)
	for _, c := range []struct{ era, version int64 }{
		{0, 0},
		{0, 7},
		{1, 0},
		{1, 70},
		{2, 61},
		{2, 62},
		{9000, 999_999_999_999},
	} {
		p, err := twposition.New(c.era, c.version)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(p).To(BeNumerically(">", previous))
		g.Expect([]int64{p.Era(), p.Version()}).To(Equal([]int64{c.era, c.version}))
		previous = p
	}
}

func TestPositionsOutOfRangeAreRefused(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct{ era, version int64 }{{-1, 1}, {9001, 1}, {1, -1}, {1, 1_000_000_000_000}} {
		_, err := twposition.New(c.era, c.version)
		g.Expect(err).To(MatchError(ContainSubstring("check the store")))
	}
}
