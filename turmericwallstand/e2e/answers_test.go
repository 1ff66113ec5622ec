package e2e_test

import (
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twenginestand"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twexample"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twplatformstand"
)

var _ = Describe("streamed answers", func() {
	const prompt = "which tables are free"
	var s *site

	BeforeEach(func() {
		s = newSite(twexample.Arriola(), size{prefill: 2, decode: 2, daemons: 2})
	})

	expectWhole := func(r reply, tokens int) {
		GinkgoHelper()
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.whole).To(BeTrue())
		Expect(r.text).To(Equal(twenginestand.Answer(prompt, tokens)))
	}

	// The engine sends each chunk twice, pairs in the wrong order, and chunks of somebody else's
	// answer with a finish reason. The caller sees its own tokens, each once and in order.
	It("are put together from doubled, swapped and foreign chunks", func(ctx SpecContext) {
		for _, p := range s.decode {
			control(p.address, "faults", twenginestand.Faults{DuplicateChunks: true, SwapChunks: true, ForeignChunks: true})
		}
		expectWhole(s.stream(ctx, s.daemons[0], prompt, 40), 40)
	})

	// Each decode engine breaks every stream off after ten tokens. The daemon resumes on the other
	// one, and then on the first again, from the prompt and the tokens already delivered.
	It("are resumed where they broke off", func(ctx SpecContext) {
		for _, p := range s.decode {
			control(p.address, "faults", twenginestand.Faults{BreakAfterTokens: 10})
		}
		expectWhole(s.stream(ctx, s.daemons[0], prompt, 25), 25)
	})

	// A decode engine dies in the middle of several answers at once. Each caller gets its whole
	// answer from the other engine.
	It("survive the death of a decode engine", func(ctx SpecContext) {
		const callers = 6
		replies := make(chan reply, callers)
		for i := range callers {
			go func() { replies <- s.stream(ctx, s.daemons[i%2], prompt, 80) }()
		}
		var busy *process
		Eventually(func() bool {
			for _, p := range s.decode {
				if len(p.stats().Held) >= callers/2 {
					busy = p
				}
			}
			return busy != nil
		}).Should(BeTrue())
		busy.kill()
		for range callers {
			var r reply
			Eventually(replies).WithTimeout(callTimeout).Should(Receive(&r))
			expectWhole(r, 80)
		}
	})

	// All open connections of a decode engine go silent for good, while new ones work: something
	// between the two ends has lost track of them. The stream shows no progress, is given up, and
	// goes on over a new connection.
	It("survive connections that go silent", func(ctx SpecContext) {
		replies := make(chan reply, 1)
		go func() { replies <- s.stream(ctx, s.daemons[0], prompt, 80) }()
		Eventually(s.held).ShouldNot(BeEmpty())
		for _, p := range append(s.prefill, s.decode...) {
			control(p.address, "faults", twenginestand.Faults{StallOpenConnections: true})
		}
		var r reply
		Eventually(replies).WithTimeout(callTimeout).Should(Receive(&r))
		expectWhole(r, 80)
	})

	// The transfers out of one prefill engine hang. The daemon gives up on it and computes the prompt
	// on the other one; the answer is late, but whole.
	It("survive a stalled transfer", func(ctx SpecContext) {
		control(s.prefill[0].address, "faults", twenginestand.Faults{StallTransfers: true})
		for range 2 {
			expectWhole(s.stream(ctx, s.daemons[0], prompt, 10), 10)
		}
	})
})

var _ = Describe("deferred answers", func() {
	var s *site
	var prompt string

	BeforeEach(func() {
		s = newSite(twexample.Arriola(), size{prefill: 1, decode: 2, daemons: 3})
		prompt = strings.Repeat("tasting note ", 100)
	})

	// answered counts the answers that daemons wrote, by their logs.
	answered := func() int {
		count := 0
		for _, d := range s.daemons {
			count += strings.Count(string(d.session.Out.Contents()), `"event":5003`)
		}
		return count
	}

	expectAnswer := func(ctx SpecContext, d *daemon, location string, tokens int) {
		GinkgoHelper()
		Eventually(func() int { return s.fetch(ctx, d, location).status }).WithTimeout(30 * time.Second).Should(Equal(http.StatusOK))
		r := s.fetch(ctx, d, location)
		Expect(r.text).To(Equal(twenginestand.Answer(prompt, tokens)))
		Expect(s.fetch(ctx, d, location).body).To(Equal(r.body))
	}

	// The daemon that works on a dossier dies. Another takes the lease over once the owner counts as
	// lost, and the answer is there for whoever asks.
	It("arrive although their owner dies", func(ctx SpecContext) {
		accepted := s.submit(ctx, s.daemons[0], "k", prompt, 150)
		Expect(accepted.status).To(Equal(http.StatusAccepted))
		s.daemons[0].kill()
		expectAnswer(ctx, s.daemons[1], accepted.header.Get("Location"), 150)
		Expect(answered()).To(Equal(1))
	})

	// The owner is frozen past its lease, another daemon answers, and the owner wakes up with an
	// answer of its own. Its write fails on the version of the lease: one answer stands, unchanged.
	It("are written once although a frozen owner wakes up", func(ctx SpecContext) {
		accepted := s.submit(ctx, s.daemons[0], "k", prompt, 150)
		location := accepted.header.Get("Location")
		Eventually(s.held).ShouldNot(BeEmpty())
		s.daemons[0].signal(syscall.SIGSTOP)
		expectAnswer(ctx, s.daemons[1], location, 150)
		before := s.fetch(ctx, s.daemons[1], location).body
		s.daemons[0].signal(syscall.SIGCONT)
		Eventually(func() int { return s.daemons[0].status().Deferrable }).WithTimeout(30 * time.Second).Should(BeZero())
		Expect(s.fetch(ctx, s.daemons[0], location).body).To(Equal(before))
		Expect(answered()).To(Equal(1))
	})

	// The store takes the new entry in, but its answer is lost. The daemon settles by reading back:
	// the caller gets 202, and there is one entry. The same key again names the same request.
	It("are accepted once although the store's answer is lost", func(ctx SpecContext) {
		control(s.platform.address, "faults", twplatformstand.Faults{LoseAnswers: 1})
		accepted := s.submit(ctx, s.daemons[0], "k", prompt, 20)
		Expect(accepted.status).To(Equal(http.StatusAccepted))
		again := s.submit(ctx, s.daemons[1], "k", prompt, 20)
		Expect(again.header.Get("Location")).To(Equal(accepted.header.Get("Location")))
		expectAnswer(ctx, s.daemons[2], accepted.header.Get("Location"), 20)
		Expect(answered()).To(Equal(1))
	})

	// All daemons are replaced at once while dossiers are open. None goes missing.
	It("arrive although every VM is replaced", func(ctx SpecContext) {
		var locations []string
		for _, key := range []string{"a", "b", "c", "d"} {
			locations = append(locations, s.submit(ctx, s.daemons[0], key, prompt, 100).header.Get("Location"))
		}
		for _, d := range s.daemons {
			d.kill()
		}
		fresh := s.daemon("entry-9", 0)
		s.daemons = append(s.daemons, fresh)
		s.replaceDaemons(fresh)
		s.awaitReady(fresh)
		for _, location := range locations {
			expectAnswer(ctx, fresh, location, 100)
		}
	})

	// The store is down when a dossier comes in: it is refused as not run, and not accepted in
	// secret. While the store is down an accepted one goes on, and its answer is written afterwards.
	It("survive an outage of the store", func(ctx SpecContext) {
		accepted := s.submit(ctx, s.daemons[0], "k", prompt, 60)
		Expect(accepted.status).To(Equal(http.StatusAccepted))
		control(s.platform.address, "faults", twplatformstand.Faults{Outage: true})
		refused := s.submit(ctx, s.daemons[1], "k2", prompt, 20)
		Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.problem.Outcome).To(Equal("notRun"))
		control(s.platform.address, "faults", twplatformstand.Faults{})
		expectAnswer(ctx, s.daemons[2], accepted.header.Get("Location"), 60)
		Expect(answered()).To(Equal(1))
	})

	// A caller cancels its dossier at another daemon than the one that works on it. The work ends, the
	// engines' memory is free, and there is no answer.
	It("are cancelled at any daemon", func(ctx SpecContext) {
		accepted := s.submit(ctx, s.daemons[0], "k", prompt, 600)
		location := accepted.header.Get("Location")
		Eventually(s.held).ShouldNot(BeEmpty())
		Expect(s.call(ctx, s.daemons[1], http.MethodDelete, location, nil, nil).status).To(Equal(http.StatusNoContent))
		Expect(s.fetch(ctx, s.daemons[2], location).status).To(Equal(http.StatusGone))
		Eventually(s.held).WithTimeout(10 * time.Second).Should(BeEmpty())
	})
})
