package e2e_test

import (
	"context"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twenginestand"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twexample"
)

// longAnswer is the length in tokens of an answer that takes about eight seconds to decode.
const longAnswer = 300

var _ = Describe("engine memory", func() {
	var s *site

	BeforeEach(func() {
		s = newSite(twexample.Arriola(), size{prefill: 1, decode: 2, daemons: 3})
	})

	// startStream starts a long stream, waits until a decode engine holds it, and returns the function that
	// disconnects its caller.
	startStream := func(ctx context.Context, d *daemon) context.CancelFunc {
		GinkgoHelper()
		callCtx, disconnect := context.WithCancel(ctx)
		go func() { _ = s.stream(callCtx, d, "a question", longAnswer) }()
		Eventually(func() int { return len(s.decode[0].stats().Held) + len(s.decode[1].stats().Held) }).Should(Equal(1))
		return disconnect
	}

	ignoreDisconnects := func() {
		GinkgoHelper()
		for _, p := range append(s.prefill, s.decode...) {
			postControl(p.address, "faults", twenginestand.Faults{IgnoreDisconnect: true})
		}
	}

	leader := func() int {
		GinkgoHelper()
		for i, d := range s.daemons {
			if len(d.status().Leads) > 0 {
				return i
			}
		}
		Fail("no daemon is the leader of the engines")
		return 0
	}

	// The caller disconnects during its answer. The engine does not notice and would decode for eight more seconds. The
	// daemon's cancel frees the memory, and is repeated until the engine's report no longer lists the attempt.
	It("is freed when the caller disconnects during decode", func(ctx SpecContext) {
		ignoreDisconnects()
		disconnect := startStream(ctx, s.daemons[0])
		disconnect()
		Eventually(s.heldAttempts).WithTimeout(4 * time.Second).Should(BeEmpty())
		Eventually(func() int { return s.daemons[0].status().Cancels }).Should(BeZero())
	})

	// The caller disconnects during the prefill of its long prompt, which takes six seconds. No engine will pull the
	// export, and the prefill engine would continue. The cancel ends the prefill.
	It("is freed when the caller disconnects during prefill", func(ctx SpecContext) {
		ignoreDisconnects()
		callCtx, disconnect := context.WithCancel(ctx)
		ended := make(chan reply, 1)
		go func() {
			ended <- s.call(callCtx, s.daemons[0], http.MethodPost, "/v1/completions",
				http.Header{"X-Work": {"dossier"}},
				completion{Model: s.example.Model(), Prompt: strings.Repeat("a long dossier ", 16_000), MaxTokens: 50})
		}()
		Eventually(func() []string { return s.prefill[0].stats().Held }).ShouldNot(BeEmpty())
		disconnect()
		Eventually(ended).Should(Receive())
		Eventually(s.heldAttempts).WithTimeout(3 * time.Second).Should(BeEmpty())
		Expect(s.decode[0].stats().Started + s.decode[1].stats().Started).To(BeZero())
	})

	// A daemon is killed while it streams, and its engines do not notice. The leader finds attempts of a lost owner in
	// the engines' reports and cancels them.
	It("is freed when the daemon that owns the attempt is killed", func(ctx SpecContext) {
		ignoreDisconnects()
		owner := (leader() + 1) % len(s.daemons)
		startStream(ctx, s.daemons[owner])
		s.daemons[owner].kill()
		Eventually(s.heldAttempts).WithTimeout(7500 * time.Millisecond).Should(BeEmpty())
	})

	// The owner of a stream is also the leader and is killed, so that reservations and owners are lost together. The
	// next leader finds an unknown attempt without a live owner in the engines' reports, and cancels it.
	It("is freed when the daemon that is both leader and owner is killed", func(ctx SpecContext) {
		ignoreDisconnects()
		owner := leader()
		startStream(ctx, s.daemons[owner])
		s.daemons[owner].kill()
		Eventually(s.heldAttempts).WithTimeout(7500 * time.Millisecond).Should(BeEmpty())
	})

	// A daemon is suspended while it streams. Its peers count it as lost and cancel its attempt. When it resumes it
	// finds its stream cut short, and continues on another attempt from the tokens already delivered, so that its
	// caller receives every token once.
	It("is freed when the owner is suspended, and the caller receives the complete answer", func(ctx SpecContext) {
		ignoreDisconnects()
		owner := s.daemons[(leader()+1)%len(s.daemons)]
		ended := make(chan reply, 1)
		go func() { ended <- s.stream(ctx, owner, "a question", longAnswer) }()
		Eventually(func() int { return len(s.decode[0].stats().Held) + len(s.decode[1].stats().Held) }).Should(Equal(1))
		owner.signal(syscall.SIGSTOP)
		Eventually(s.heldAttempts).WithTimeout(7500 * time.Millisecond).Should(BeEmpty())
		owner.signal(syscall.SIGCONT)
		var r reply
		Eventually(ended).WithTimeout(callTimeout).Should(Receive(&r))
		Expect(r.complete).To(BeTrue())
		Expect(r.text).To(Equal(twenginestand.Answer("a question", longAnswer)))
	})
})
