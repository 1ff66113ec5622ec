package e2e_test

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twexample"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twplatformstand"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twservicestand"
)

var _ = Describe("calls that may not be repeated", func() {
	var s *site

	BeforeEach(func() {
		s = newSite(twexample.Arriola(), size{services: 2, daemons: 3})
	})

	serviceFaults := func(faults twservicestand.Faults) {
		GinkgoHelper()
		for _, p := range s.services {
			postControl(p.address, "faults", faults)
		}
	}

	// A client sends the same booking to three daemons at once. One of them claims the key; the others find the claim
	// and report that the call is still running, or replay its answer.
	It("run once when three daemons receive the key at the same time", func(ctx SpecContext) {
		serviceFaults(twservicestand.Faults{LatencyMillis: 200})
		for round := range 5 {
			key := fmt.Sprintf("key-%d", round)
			replies := make(chan reply, len(s.daemons))
			for _, d := range s.daemons {
				go func() { replies <- s.book(ctx, d, key, "12") }()
			}
			answered := 0
			for range s.daemons {
				r := <-replies
				if r.status == http.StatusOK {
					answered++
					continue
				}
				Expect(r.problem.Kind).To(Equal("stillRunning"))
			}
			Expect(answered).To(BeNumerically(">=", 1))
			Expect(s.executedCalls(key)).To(HaveLen(1))
		}
	})

	// The service executes the booking and its connection is reset before the answer. The daemon can't know the outcome
	// and reports it as unknown, and neither it nor Go's transport sends the booking again.
	It("have an unknown outcome, and are not sent again, when their connection is reset", func(ctx SpecContext) {
		serviceFaults(twservicestand.Faults{ResetAfterExecution: 10})
		r := s.book(ctx, s.daemons[0], "k", "12")
		Expect(r.status).To(Equal(http.StatusGatewayTimeout))
		Expect(r.problem.Outcome).To(Equal("unknown"))
		Expect(s.executedCalls("k")).To(HaveLen(1))
		serviceFaults(twservicestand.Faults{})
		for _, d := range s.daemons {
			Eventually(func() string { return s.book(ctx, d, "k", "12").problem.Kind }).Should(Equal("outcomeUnknown"))
		}
		Expect(s.executedCalls("k")).To(HaveLen(1))
	})

	// No upstream accepts a connection, so that nothing was sent and notRun is final. Once the service has recovered,
	// the same key runs once.
	It("are not run when no upstream accepts a connection, and run later under the same key", func(ctx SpecContext) {
		address := s.services[0].address
		for _, p := range s.services {
			p.kill()
		}
		r := s.book(ctx, s.daemons[0], "k", "12")
		Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		Expect(r.problem.Outcome).To(Equal("notRun"))
		Expect(r.problem.RetryAfterMillis).To(BeNumerically(">", 0))
		s.services = []*process{s.startSimulator("service", "--name", "agenda-desk-0", "--listen", address)}
		Eventually(func() int { return s.book(ctx, s.daemons[1], "k", "12").status }).Should(Equal(http.StatusOK))
		Expect(s.executedCalls("k")).To(HaveLen(1))
	})

	// While the store is unavailable the call can't be claimed and is refused as not run. It does not run later either:
	// a claim of it that the store commits late is sealed.
	It("are not run while the store is unavailable", func(ctx SpecContext) {
		postControl(s.platform.address, "faults", twplatformstand.Faults{Outage: true})
		r := s.book(ctx, s.daemons[0], "k", "12")
		Expect(r.status).To(Equal(http.StatusServiceUnavailable))
		Expect(r.problem.Outcome).To(Equal("notRun"))
		postControl(s.platform.address, "faults", twplatformstand.Faults{})
		Consistently(func() []executedCall { return s.executedCalls("k") }).WithTimeout(3 * time.Second).
			Should(BeEmpty())
		Eventually(func() int { return s.book(ctx, s.daemons[1], "k", "12").status }).Should(Equal(http.StatusOK))
		Expect(s.executedCalls("k")).To(HaveLen(1))
	})

	// The claim is written, but the store's answer is lost. The daemon reads the claim back, finds that it is its own,
	// and makes the booking once.
	It("run once although the answer to their claim is lost", func(ctx SpecContext) {
		postControl(s.platform.address, "faults", twplatformstand.Faults{LoseAnswers: 2})
		Expect(s.book(ctx, s.daemons[0], "k", "12").status).To(Equal(http.StatusOK))
		Expect(s.executedCalls("k")).To(HaveLen(1))
	})

	// The owner is killed after it sent the booking and before it recorded the answer. No daemon can know the
	// outcome, and none takes the claim over, however long it waits.
	It("have an unknown outcome after their owner was killed, and are not sent again", func(ctx SpecContext) {
		serviceFaults(twservicestand.Faults{LatencyMillis: 3000})
		go func() { _ = s.book(ctx, s.daemons[0], "k", "12") }()
		Eventually(func() []executedCall { return s.executedCalls("k") }).Should(HaveLen(1))
		s.daemons[0].kill()
		serviceFaults(twservicestand.Faults{})
		for _, d := range s.daemons[1:] {
			Eventually(func() string { return s.book(ctx, d, "k", "12").problem.Kind }).Should(Equal("outcomeUnknown"))
		}
		Consistently(func() string { return s.book(ctx, s.daemons[1], "k", "12").problem.Outcome }).WithTimeout(6 * time.Second).
			WithPolling(time.Second).Should(Equal("unknown"))
		Expect(s.executedCalls("k")).To(HaveLen(1))
	})

	// The owner is suspended between accepting a call and answering it, for each key at a different time, and resumes
	// after its peers have counted it as lost and its clients have retried at other daemons. Each booking is made at
	// most once, whatever the owner does then.
	It("run at most once although their owner is suspended at any step", func(ctx SpecContext) {
		serviceFaults(twservicestand.Faults{LatencyMillis: 5})
		const rounds = 12
		first := make(chan reply, rounds)
		for i := range rounds {
			key := fmt.Sprintf("key-%d", i)
			go func() { first <- s.book(ctx, s.daemons[0], key, "12") }()
			time.Sleep(time.Duration(i) * time.Millisecond)
		}
		s.daemons[0].signal(syscall.SIGSTOP)
		for i := range rounds {
			_ = s.book(ctx, s.daemons[1], fmt.Sprintf("key-%d", i), "12")
		}
		Eventually(func() int { return len(s.daemons[1].status().Peers) }).Should(Equal(1))
		for i := range rounds {
			_ = s.book(ctx, s.daemons[2], fmt.Sprintf("key-%d", i), "12")
		}
		s.daemons[0].signal(syscall.SIGCONT)
		for range rounds {
			Eventually(first).WithTimeout(callTimeout).Should(Receive())
		}
		for i := range rounds {
			Expect(len(s.executedCalls(fmt.Sprintf("key-%d", i)))).To(BeNumerically("<=", 1))
		}
	})

	// A client uses one key for two different bookings. The second is refused and does not run.
	It("are refused when their key was used for another call", func(ctx SpecContext) {
		Expect(s.book(ctx, s.daemons[0], "k", "12").status).To(Equal(http.StatusOK))
		r := s.book(ctx, s.daemons[1], "k", "13")
		Expect(r.status).To(Equal(http.StatusUnprocessableEntity))
		Expect(s.executedCalls("k")).To(HaveLen(1))
	})
})
