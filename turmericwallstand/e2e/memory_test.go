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

// longAnswer takes about eight seconds to decode.
const longAnswer = 300

var _ = Describe("engine memory", func() {
	var s *site

	BeforeEach(func() {
		s = newSite(twexample.Arriola(), size{prefill: 1, decode: 2, daemons: 3})
	})

	// begin starts a long stream whose caller can leave, and waits until a decode engine holds it.
	begin := func(ctx context.Context, d *daemon) context.CancelFunc {
		GinkgoHelper()
		inner, leave := context.WithCancel(ctx)
		go func() { _ = s.stream(inner, d, "a question", longAnswer) }()
		Eventually(func() int { return len(s.decode[0].stats().Held) + len(s.decode[1].stats().Held) }).Should(Equal(1))
		return leave
	}

	ignoreDisconnects := func() {
		GinkgoHelper()
		for _, p := range append(s.prefill, s.decode...) {
			control(p.address, "faults", twenginestand.Faults{IgnoreDisconnect: true})
		}
	}

	leader := func() int {
		GinkgoHelper()
		for i, d := range s.daemons {
			if len(d.status().Keeps) > 0 {
				return i
			}
		}
		Fail("no daemon keeps the engines")
		return 0
	}

	// The caller leaves in the middle of its answer. The engine does not notice that its connection
	// ended and would decode on for eight seconds. The daemon's cancel frees the memory, and is
	// repeated until the engine's report no longer lists the attempt.
	It("is freed when the caller leaves during decode", func(ctx SpecContext) {
		ignoreDisconnects()
		leave := begin(ctx, s.daemons[0])
		leave()
		Eventually(s.held).WithTimeout(4 * time.Second).Should(BeEmpty())
		Eventually(func() int { return s.daemons[0].status().Cancels }).Should(BeZero())
	})

	// The caller leaves while its long prompt is computed, which takes six seconds. Nobody will pull
	// the export, and the engine would compute on. The cancel ends the prefill.
	It("is freed when the caller leaves during prefill", func(ctx SpecContext) {
		ignoreDisconnects()
		inner, leave := context.WithCancel(ctx)
		ended := make(chan reply, 1)
		go func() {
			ended <- s.call(inner, s.daemons[0], http.MethodPost, "/v1/completions", http.Header{"X-Work": {"dossier"}},
				completion{Model: s.example.Model(), Prompt: strings.Repeat("a long dossier ", 16_000), MaxTokens: 50})
		}()
		Eventually(func() []string { return s.prefill[0].stats().Held }).ShouldNot(BeEmpty())
		leave()
		Eventually(ended).Should(Receive())
		Eventually(s.held).WithTimeout(3 * time.Second).Should(BeEmpty())
		Expect(s.decode[0].stats().Started + s.decode[1].stats().Started).To(BeZero())
	})

	// A daemon dies with its callers' streams. Its engines do not notice. The leader sees attempts of
	// a lost owner in the engines' reports and cancels them.
	It("is freed when the daemon dies that wanted it", func(ctx SpecContext) {
		ignoreDisconnects()
		owner := (leader() + 1) % len(s.daemons)
		begin(ctx, s.daemons[owner])
		s.daemons[owner].kill()
		Eventually(s.held).WithTimeout(7500 * time.Millisecond).Should(BeEmpty())
	})

	// The owner of a stream is also the leader, and dies: reservations and the knowledge of who
	// wanted what die together. The next leader finds the attempt in the reports, does not know it,
	// finds no live owner, and cancels it.
	It("is freed when leader and owner die together", func(ctx SpecContext) {
		ignoreDisconnects()
		owner := leader()
		begin(ctx, s.daemons[owner])
		s.daemons[owner].kill()
		Eventually(s.held).WithTimeout(7500 * time.Millisecond).Should(BeEmpty())
	})

	// A daemon is frozen while it streams. To its peers it is as good as dead, and its attempt is
	// cancelled. When it wakes up it finds its stream broken off, resumes elsewhere from the tokens
	// already delivered, and its caller still gets every token once.
	It("is freed when the owner is frozen, and the caller still gets the whole answer", func(ctx SpecContext) {
		ignoreDisconnects()
		owner := s.daemons[(leader()+1)%len(s.daemons)]
		ended := make(chan reply, 1)
		go func() { ended <- s.stream(ctx, owner, "a question", longAnswer) }()
		Eventually(func() int { return len(s.decode[0].stats().Held) + len(s.decode[1].stats().Held) }).Should(Equal(1))
		owner.signal(syscall.SIGSTOP)
		Eventually(s.held).WithTimeout(7500 * time.Millisecond).Should(BeEmpty())
		owner.signal(syscall.SIGCONT)
		var r reply
		Eventually(ended).WithTimeout(callTimeout).Should(Receive(&r))
		Expect(r.whole).To(BeTrue())
		Expect(r.text).To(Equal(twenginestand.Answer("a question", longAnswer)))
	})
})
