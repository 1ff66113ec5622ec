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

	expectComplete := func(r reply, tokens int) {
		GinkgoHelper()
		Expect(r.err).NotTo(HaveOccurred())
		Expect(r.complete).To(BeTrue())
		Expect(r.text).To(Equal(twenginestand.Answer(prompt, tokens)))
	}

	// Guards against tokens that are lost, repeated or foreign: the engines send each chunk twice, swap pairs, and
	// add chunks of another attempt with a finish reason. The caller receives its own tokens, each once and in order.
	It("are assembled correctly from duplicated, swapped and foreign chunks", func(ctx SpecContext) {
		for _, p := range s.decode {
			postControl(p.address, "faults",
				twenginestand.Faults{DuplicateChunks: true, SwapChunks: true, ForeignChunks: true})
		}
		expectComplete(s.stream(ctx, s.daemons[0], prompt, 40), 40)
	})

	// Each decode engine breaks every stream after ten tokens. The daemon resumes on the other engine, and then on the
	// first again, from the prompt and the tokens already delivered.
	It("are resumed where their stream was cut short", func(ctx SpecContext) {
		for _, p := range s.decode {
			postControl(p.address, "faults", twenginestand.Faults{BreakAfterTokens: 10})
		}
		expectComplete(s.stream(ctx, s.daemons[0], prompt, 25), 25)
	})

	// A decode engine is killed during several answers. Each caller receives its complete answer from the other engine.
	It("are complete although a decode engine is killed", func(ctx SpecContext) {
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
			expectComplete(r, 80)
		}
	})

	// Guards against one request that ends engine after engine: within one call, and over the tries of its caller.
	It("of a request that ends engines are given up after the third", func(ctx SpecContext) {
		s := newSite(twexample.Arriola(), size{prefill: 1, decode: 5, daemons: 1})
		for _, p := range s.decode {
			postControl(p.address, "faults", twenginestand.Faults{CrashOn: "fatal"})
		}
		for range 4 {
			r := s.stream(ctx, s.daemons[0], "a fatal question", 20)
			Expect(r.complete).To(BeFalse())
		}
		var ended []string
		for _, p := range s.decode {
			if response, err := http.Get("http://" + p.address + "/load"); err != nil {
				ended = append(ended, p.name)
			} else {
				_ = response.Body.Close()
			}
		}
		Expect(ended).To(HaveLen(3))
		expectComplete(s.stream(ctx, s.daemons[0], prompt, 20), 20)
	})

	// All open connections of the engines become unresponsive for good while new ones work, as when a device in the
	// network loses its connection table. The stream makes no progress, is aborted, and is resumed over a new
	// connection.
	It("are complete although open connections become unresponsive", func(ctx SpecContext) {
		replies := make(chan reply, 1)
		go func() { replies <- s.stream(ctx, s.daemons[0], prompt, 80) }()
		Eventually(s.heldAttempts).ShouldNot(BeEmpty())
		for _, p := range append(s.prefill, s.decode...) {
			postControl(p.address, "faults", twenginestand.Faults{StallOpenConnections: true})
		}
		var r reply
		Eventually(replies).WithTimeout(callTimeout).Should(Receive(&r))
		expectComplete(r, 80)
	})

	// The transfers out of one prefill engine stall. After its timeout the daemon repeats the prefill on the other
	// engine; the answer is late, but complete.
	It("are complete although a transfer stalls", func(ctx SpecContext) {
		postControl(s.prefill[0].address, "faults", twenginestand.Faults{StallTransfers: true})
		for range 2 {
			expectComplete(s.stream(ctx, s.daemons[0], prompt, 10), 10)
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

	// countAnswers returns the number of answers that the daemons wrote, according to their logs.
	countAnswers := func() int {
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

	// The daemon that holds a dossier's lease is killed. Another takes the lease over once the owner counts as lost,
	// and the answer can be fetched at any daemon.
	It("are written although their owner is killed", func(ctx SpecContext) {
		accepted := s.submit(ctx, s.daemons[0], "k", prompt, 150)
		Expect(accepted.status).To(Equal(http.StatusAccepted))
		s.daemons[0].kill()
		expectAnswer(ctx, s.daemons[1], accepted.header.Get("Location"), 150)
		Expect(countAnswers()).To(Equal(1))
	})

	// Guards against a second answer: the owner is suspended past its lease, another daemon answers, and the owner
	// resumes with an answer of its own. Its write fails on the lease's version, and the first answer stays unchanged.
	It("are written once although a suspended owner resumes", func(ctx SpecContext) {
		accepted := s.submit(ctx, s.daemons[0], "k", prompt, 150)
		location := accepted.header.Get("Location")
		Eventually(s.heldAttempts).ShouldNot(BeEmpty())
		s.daemons[0].signal(syscall.SIGSTOP)
		expectAnswer(ctx, s.daemons[1], location, 150)
		before := s.fetch(ctx, s.daemons[1], location).body
		s.daemons[0].signal(syscall.SIGCONT)
		Eventually(func() int { return s.daemons[0].status().Deferrable }).WithTimeout(30 * time.Second).Should(BeZero())
		Expect(s.fetch(ctx, s.daemons[0], location).body).To(Equal(before))
		Expect(countAnswers()).To(Equal(1))
	})

	// The store commits the new entry, but its answer is lost. The daemon reads the entry back: the caller receives
	// 202, and there is one entry. A second request with the same key gets the same location.
	It("are accepted once although the store's answer is lost", func(ctx SpecContext) {
		postControl(s.platform.address, "faults", twplatformstand.Faults{LoseAnswers: 1})
		accepted := s.submit(ctx, s.daemons[0], "k", prompt, 20)
		Expect(accepted.status).To(Equal(http.StatusAccepted))
		again := s.submit(ctx, s.daemons[1], "k", prompt, 20)
		Expect(again.header.Get("Location")).To(Equal(accepted.header.Get("Location")))
		expectAnswer(ctx, s.daemons[2], accepted.header.Get("Location"), 20)
		Expect(countAnswers()).To(Equal(1))
	})

	// All daemons are replaced at once while dossiers are open. None of the dossiers is lost.
	It("are written although every VM is replaced", func(ctx SpecContext) {
		var locations []string
		for _, key := range []string{"a", "b", "c", "d"} {
			locations = append(locations, s.submit(ctx, s.daemons[0], key, prompt, 100).header.Get("Location"))
		}
		for _, d := range s.daemons {
			d.kill()
		}
		fresh := s.startDaemon("entry-9", 0)
		s.daemons = append(s.daemons, fresh)
		s.replaceDaemons(fresh)
		s.awaitReady(fresh)
		for _, location := range locations {
			expectAnswer(ctx, fresh, location, 100)
		}
	})

	// A dossier that arrives while the store is unavailable is refused as not run. One that was accepted before
	// continues, and its answer is written once the store has recovered.
	It("are written although the store is unavailable for a while", func(ctx SpecContext) {
		accepted := s.submit(ctx, s.daemons[0], "k", prompt, 60)
		Expect(accepted.status).To(Equal(http.StatusAccepted))
		postControl(s.platform.address, "faults", twplatformstand.Faults{Outage: true})
		refused := s.submit(ctx, s.daemons[1], "k2", prompt, 20)
		Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.problem.Outcome).To(Equal("notRun"))
		postControl(s.platform.address, "faults", twplatformstand.Faults{})
		expectAnswer(ctx, s.daemons[2], accepted.header.Get("Location"), 60)
		Expect(countAnswers()).To(Equal(1))
	})

	// A caller cancels its dossier at a daemon that is not its owner. The attempt ends, the engines' memory is freed,
	// and no answer is written.
	It("can be cancelled at any daemon", func(ctx SpecContext) {
		accepted := s.submit(ctx, s.daemons[0], "k", prompt, 600)
		location := accepted.header.Get("Location")
		Eventually(s.heldAttempts).ShouldNot(BeEmpty())
		Expect(s.call(ctx, s.daemons[1], http.MethodDelete, location, nil, nil).status).To(Equal(http.StatusNoContent))
		Expect(s.fetch(ctx, s.daemons[2], location).status).To(Equal(http.StatusGone))
		Eventually(s.heldAttempts).WithTimeout(10 * time.Second).Should(BeEmpty())
	})
})
