package e2e_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twenginestand"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twexample"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twplatformstand"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twservicestand"
)

var _ = Describe("failures together", func() {
	const (
		bookings = 30
		dossiers = 5
		tokens   = 40
	)

	// bookWithRetries makes a booking as an impatient client does: it retries at the next daemon until it has an
	// answer, or the problem that the outcome is unknown.
	bookWithRetries := func(ctx context.Context, s *site, number int) reply {
		var r reply
		for try := range 60 {
			r = s.book(ctx, s.daemons[(number+try)%len(s.daemons)], fmt.Sprintf("b-%d", number), "12")
			if r.status == http.StatusOK || r.problem.Outcome == "unknown" && r.problem.Kind == "outcomeUnknown" {
				return r
			}
			time.Sleep(200 * time.Millisecond)
		}
		return r
	}

	// Under streams, bookings and dossiers, twice in a row: a daemon is suspended while the store loses answers, a
	// decode engine is killed, the store becomes unavailable, and the suspended daemon resumes; once, another daemon
	// is killed. Each booking is made at most once, and exactly once if its client got an answer; each dossier is
	// answered correctly; each stream that ends complete is correct; and no engine memory stays held.
	It("lose no dossier, repeat no booking, corrupt no answer and leak no engine memory", func(ctx SpecContext) {
		s := newSite(twexample.Arriola(), size{prefill: 2, decode: 4, services: 2, daemons: 4})
		for _, p := range s.services {
			postControl(p.address, "faults", twservicestand.Faults{LatencyMillis: 20})
		}
		prompt := strings.Repeat("tasting note ", 100)
		var locations []string
		for i := range dossiers {
			accepted := s.submit(ctx, s.daemons[i%4], fmt.Sprintf("d-%d", i), prompt, tokens)
			Expect(accepted.status).To(Equal(http.StatusAccepted))
			locations = append(locations, accepted.header.Get("Location"))
		}
		var callers sync.WaitGroup
		booked := make([]reply, bookings)
		streamed := make([]reply, bookings)
		for i := range bookings {
			time.Sleep(20 * time.Millisecond)
			callers.Go(func() { booked[i] = bookWithRetries(ctx, s, i) })
			callers.Go(func() { streamed[i] = s.stream(ctx, s.daemons[2+i%2], "a question", tokens) })
			switch i {
			case 5, 20:
				postControl(s.platform.address, "faults", twplatformstand.Faults{LoseAnswers: 2})
				s.daemons[0].signal(syscall.SIGSTOP)
			case 8:
				s.decode[0].kill()
			case 23:
				s.decode[1].kill()
			case 10, 25:
				postControl(s.platform.address, "faults", twplatformstand.Faults{Outage: true})
			case 13, 28:
				postControl(s.platform.address, "faults", twplatformstand.Faults{})
				s.daemons[0].signal(syscall.SIGCONT)
			case 15:
				s.daemons[1].kill()
			}
		}
		s.daemons[0].signal(syscall.SIGCONT)
		callers.Wait()
		for i, r := range booked {
			made := len(s.executedCalls(fmt.Sprintf("b-%d", i)))
			Expect(made).To(BeNumerically("<=", 1), "booking %d", i)
			if r.status == http.StatusOK {
				Expect(made).To(Equal(1), "booking %d", i)
			}
		}
		for _, r := range streamed {
			if r.complete {
				Expect(r.text).To(Equal(twenginestand.Answer("a question", tokens)))
			}
		}
		for _, location := range locations {
			Eventually(func() int { return s.fetch(ctx, s.daemons[2], location).status }).WithTimeout(30 * time.Second).Should(Equal(http.StatusOK))
			Expect(s.fetch(ctx, s.daemons[3], location).text).To(Equal(twenginestand.Answer(prompt, tokens)))
		}
		Eventually(s.heldAttempts).WithTimeout(15 * time.Second).Should(BeEmpty())
	})
})
