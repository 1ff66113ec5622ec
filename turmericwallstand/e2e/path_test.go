package e2e_test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twenginestand"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twexample"
)

var _ = Describe("the complete path", func() {
	var s *site

	BeforeEach(func() {
		s = newSite(twexample.Arriola(), size{prefill: 2, decode: 2, services: 2, daemons: 3})
	})

	It("streams an answer through prefill, transfer and decode", func(ctx SpecContext) {
		prompt := "Which tables are free this afternoon?"
		for _, d := range s.daemons {
			r := s.stream(ctx, d, prompt, 20)
			Expect(r.status).To(Equal(http.StatusOK))
			Expect(r.complete).To(BeTrue())
			Expect(r.text).To(Equal(twenginestand.Answer(prompt, 20)))
		}
	})

	It("runs a plain service's call once for one key", func(ctx SpecContext) {
		first := s.book(ctx, s.daemons[0], "key-1", "12")
		Expect(first.status).To(Equal(http.StatusOK))
		again := s.book(ctx, s.daemons[1], "key-1", "12")
		Expect(again.status).To(Equal(http.StatusOK))
		Expect(again.body).To(Equal(first.body))
		Expect(again.header.Get("Idempotent-Replayed")).To(Equal("true"))
		Expect(s.executedCalls("key-1")).To(HaveLen(1))
	})

	It("accepts deferrable work, and returns the same bytes to every fetch", func(ctx SpecContext) {
		prompt := strings.Repeat("Tasting note: cane and oak. ", 2000)
		accepted := s.submit(ctx, s.daemons[0], "dossier-1", prompt, 30)
		Expect(accepted.status).To(Equal(http.StatusAccepted))
		location := accepted.header.Get("Location")
		Eventually(func() int { return s.fetch(ctx, s.daemons[1], location).status }).Should(Equal(http.StatusOK))
		first, second := s.fetch(ctx, s.daemons[1], location), s.fetch(ctx, s.daemons[2], location)
		Expect(first.text).To(Equal(twenginestand.Answer(prompt, 30)))
		Expect(second.body).To(Equal(first.body))
	})
})
