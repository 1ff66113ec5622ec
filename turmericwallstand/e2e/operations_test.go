package e2e_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/document/twpublisher"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twenginestand"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twexample"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twplatformstand"
)

// replaceDaemons removes all other daemons from the platform's VM list.
func (s *site) replaceDaemons(daemons ...*daemon) {
	GinkgoHelper()
	s.vms = slices.DeleteFunc(s.vms, func(vm turmericwall.VM) bool {
		kept := slices.ContainsFunc(daemons, func(d *daemon) bool { return d.name == vm.Name })
		return vm.Service == "turmericwall" && !kept
	})
	s.publishVMs()
}

// setState changes the state of one VM in the platform's list.
func (s *site) setState(name string, state turmericwall.VMState) {
	GinkgoHelper()
	for i := range s.vms {
		if s.vms[i].Name == name {
			s.vms[i].State = state
		}
	}
	s.publishVMs()
}

var _ = Describe("leaving upstreams", func() {
	var s *site

	BeforeEach(func() {
		s = newSite(twexample.Arriola(), size{prefill: 1, decode: 2, services: 2, daemons: 2})
	})

	// expectNoNewWork waits for the four seconds after which a leaving upstream must receive no more work, then sends
	// requests and checks that the engine received none.
	expectNoNewWork := func(ctx SpecContext, leaving *process) {
		GinkgoHelper()
		time.Sleep(4 * time.Second)
		before := leaving.stats().Received
		for i := range 8 {
			r := s.stream(ctx, s.daemons[i%2], fmt.Sprintf("question %d", i), 5)
			Expect(r.complete).To(BeTrue())
		}
		Expect(leaving.stats().Received).To(Equal(before))
	}

	// The platform marks an engine's VM as leaving, and its list shows this 1.5 s later.
	It("receive no new work after a lagging VM list marks them", func(ctx SpecContext) {
		postControl(s.platform.address, "faults", twplatformstand.Faults{ListLagMillis: 1500})
		s.setState("decode-0", turmericwall.VMLeaving)
		expectNoNewWork(ctx, s.decode[0])
	})

	// The engine starts to drain and states this in its reports, while the platform's list is unavailable.
	It("receive no new work after their own report states that they are draining", func(ctx SpecContext) {
		postControl(s.platform.address, "faults", twplatformstand.Faults{Outage: true})
		postControl(s.decode[0].address, "faults", twenginestand.Faults{Draining: true})
		expectNoNewWork(ctx, s.decode[0])
	})

	// A plain service's VM leaves. Its calls go to the other VM.
	It("of a plain service receive no new calls", func(ctx SpecContext) {
		s.setState("agenda-desk-0", turmericwall.VMLeaving)
		time.Sleep(3 * time.Second)
		for i := range 6 {
			Expect(s.book(ctx, s.daemons[i%2], fmt.Sprintf("k%d", i), "1").status).To(Equal(http.StatusOK))
		}
		var executed []executedCall
		getJSON("http://"+s.services[0].address+"/control/acts", &executed)
		Expect(executed).To(BeEmpty())
	})
})

var _ = Describe("graceful shutdown", func() {
	var s *site

	BeforeEach(func() {
		s = newSite(twexample.Arriola(), size{prefill: 2, decode: 2, services: 1, daemons: 2})
	})

	// expectDrainedAfter stops a daemon under load, and expects that each of its streams is complete and that it exits
	// with code 0.
	expectDrainedAfter := func(ctx SpecContext, stop func(d *daemon)) {
		GinkgoHelper()
		const callers = 10
		replies := make(chan reply, callers)
		for range callers {
			go func() { replies <- s.stream(ctx, s.daemons[0], "a question", 100) }()
		}
		Eventually(func() int { return s.daemons[0].status().Attempts }).Should(Equal(callers))
		stop(s.daemons[0])
		for range callers {
			var r reply
			Eventually(replies).WithTimeout(callTimeout).Should(Receive(&r))
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.complete).To(BeTrue())
			Expect(r.text).To(Equal(twenginestand.Answer("a question", 100)))
		}
		Eventually(s.daemons[0].session).WithTimeout(20 * time.Second).Should(gexec.Exit(0))
	}

	// After a SIGTERM under load the daemon is no longer ready, finishes all streams and exits.
	It("interrupts no request under load", func(ctx SpecContext) {
		expectDrainedAfter(ctx, func(d *daemon) { d.signal(syscall.SIGTERM) })
	})

	// A second and a third SIGTERM arrive during the drain, while the store is unavailable. No stream is cut short.
	It("interrupts no request when SIGTERM is repeated while the store is unavailable", func(ctx SpecContext) {
		expectDrainedAfter(ctx, func(d *daemon) {
			postControl(s.platform.address, "faults", twplatformstand.Faults{Outage: true})
			for range 3 {
				d.signal(syscall.SIGTERM)
				time.Sleep(100 * time.Millisecond)
			}
		})
	})

	// The daemon that leaves is the leader of the engines. The other one becomes leader at once, and no new request is
	// refused.
	It("hands leadership over without refusing a request", func(ctx SpecContext) {
		index := 0
		if len(s.daemons[1].status().Leads) > 0 {
			index = 1
		}
		leaving, staying := s.daemons[index], s.daemons[1-index]
		leaving.signal(syscall.SIGTERM)
		for range 5 {
			r := s.stream(ctx, staying, "a question", 10)
			Expect(r.status).To(Equal(http.StatusOK))
			Expect(r.complete).To(BeTrue())
		}
		Eventually(leaving.session).WithTimeout(20 * time.Second).Should(gexec.Exit(0))
	})
})

var _ = Describe("the configuration", func() {
	var s *site
	var publisher *twpublisher.Publisher

	BeforeEach(func() {
		s = newSite(twexample.Arriola(), size{daemons: 3})
		publisher = twpublisher.New(twpublisher.Config{Table: s.table(), Environment: "production"})
	})

	variant := func(i int) twpublisher.RevisionEntry {
		source := bytes.Replace(s.example.Document(), []byte(`"burst": 4000`), fmt.Appendf(nil, `"burst": %d`, 4000+i), 1)
		return twpublisher.RevisionEntry{Source: source, At: time.Now().UTC(), Operator: "test"}
	}

	revisions := func() []int64 {
		var all []int64
		for _, d := range s.daemons {
			all = append(all, d.status().Revision)
		}
		return all
	}

	// Two operators apply a document on the same revision. One succeeds; the other gets a conflict and overwrites
	// nothing.
	It("is changed by only one of two concurrent operators", func(ctx SpecContext) {
		errs := make(chan error, 2)
		for i := range 2 {
			go func() {
				_, err := publisher.Apply(ctx, 1, variant(i))
				errs <- err
			}()
		}
		first, second := <-errs, <-errs
		Expect([]bool{first == nil, second == nil}).To(ConsistOf(true, false))
		for _, err := range []error{first, second} {
			if err != nil {
				Expect(turmericwall.IsKind(err, turmericwall.KindConflict)).To(BeTrue())
			}
		}
		Eventually(revisions).Should(HaveEach(int64(2)))
	})

	// The store commits a revision and its answer is lost. Apply reads the revision back, and an operator who applies
	// the same bytes again gets the same result.
	It("is changed once although the answer to apply is lost", func(ctx SpecContext) {
		postControl(s.platform.address, "faults", twplatformstand.Faults{LoseAnswers: 1})
		for range 2 {
			head, err := publisher.Apply(ctx, 1, variant(7))
			Expect(err).NotTo(HaveOccurred())
			Expect(head.Revision).To(Equal(int64(2)))
		}
	})

	// Revisions are applied in quick succession with outages of the platform in between. Each daemon's revision only
	// grows, and the last one is in force at all daemons within nine seconds.
	It("comes into force everywhere within seconds, and never reverts", func(ctx SpecContext) {
		highest := make([]int64, len(s.daemons))
		expectNoRevert := func() {
			for i, r := range revisions() {
				Expect(r).To(BeNumerically(">=", highest[i]))
				highest[i] = r
			}
		}
		for i := range 10 {
			postControl(s.platform.address, "faults", twplatformstand.Faults{Outage: i%3 == 2})
			postControl(s.platform.address, "faults", twplatformstand.Faults{})
			_, err := publisher.Apply(ctx, int64(i+1), variant(i))
			Expect(err).NotTo(HaveOccurred())
			expectNoRevert()
		}
		Eventually(func() []int64 {
			expectNoRevert()
			return revisions()
		}).WithTimeout(9 * time.Second).Should(HaveEach(int64(11)))
	})

	// A daemon starts while the platform is unavailable. Without a peer it does not become ready; with a peer as its
	// seed it receives the configuration and the VM list from that peer, and serves.
	It("is received from a peer, and required for readiness, while the platform is unavailable", func(ctx SpecContext) {
		postControl(s.platform.address, "faults", twplatformstand.Faults{Outage: true})
		isolated := s.startDaemon("entry-8", 0)
		Consistently(func() bool { return isolated.status().Ready }).WithTimeout(4 * time.Second).Should(BeFalse())
		r := s.call(ctx, isolated, http.MethodGet, "/v1/models", nil, nil)
		Expect(r.problem.Kind).To(Equal("notReady"))
		seeded := s.startDaemonAt("entry-9", 0, "127.0.0.1:0", fmt.Sprintf("%q", s.daemons[0].peers))
		s.awaitReady(seeded)
		Expect(seeded.status().Revision).To(Equal(int64(1)))
	})

	// All daemons are replaced. The new one has the last revision, not an earlier one.
	It("is kept when every VM is replaced", func(ctx SpecContext) {
		_, err := publisher.Apply(ctx, 1, variant(1))
		Expect(err).NotTo(HaveOccurred())
		for _, d := range s.daemons {
			d.kill()
		}
		fresh := s.startDaemon("entry-9", 0)
		s.awaitReady(fresh)
		Expect(fresh.status().Revision).To(Equal(int64(2)))
	})
})

var _ = Describe("bad input", func() {
	// Each call is invalid in one way. The caller receives a problem with kind and remedy, and the outcome notRun.
	It("gets a problem with kind, remedy and outcome", func(ctx SpecContext) {
		s := newSite(twexample.Arriola(), size{prefill: 1, decode: 1, services: 1, daemons: 1})
		d := s.daemons[0]
		post := func(path string, header http.Header, body any) reply {
			return s.call(ctx, d, http.MethodPost, path, header, body)
		}
		postCompletion := func(c completion) reply { return post("/v1/completions", nil, c) }
		model := s.example.Model()
		for _, invalid := range []struct {
			r      reply
			status int
			kind   string
		}{
			{postCompletion(completion{Model: "none", Prompt: "p", MaxTokens: 1}), http.StatusNotFound, "notFound"},
			{postCompletion(completion{Model: model, MaxTokens: 1}), http.StatusBadRequest, "badRequest"},
			{postCompletion(completion{Model: model, Prompt: "p", MaxTokens: -1}), http.StatusBadRequest, "badRequest"},
			{
				postCompletion(completion{Model: model, Prompt: "p", MaxTokens: 1 << 30}),
				http.StatusBadRequest, "badRequest",
			},
			{
				postCompletion(completion{Model: model, Prompt: strings.Repeat("p", 5<<20), MaxTokens: 1}),
				http.StatusRequestEntityTooLarge, "tooLarge",
			},
			{post("/v1/completions", nil, "no object"), http.StatusBadRequest, "badRequest"},
			{post("/v1/completions", http.Header{"X-Work": {"none"}}, completion{Model: model, Prompt: "p", MaxTokens: 1}), http.StatusForbidden, "forbidden"},
			{post("/v1/completions", http.Header{"Prefer": {"respond-async"}}, completion{Model: model, Prompt: "p", MaxTokens: 1}), http.StatusBadRequest, "badRequest"},
			{post("/v1/completions", http.Header{"Authorization": {"Bearer wrong"}}, nil), http.StatusUnauthorized, "unauthorized"},
			{post("/services/none/x", nil, nil), http.StatusNotFound, "notFound"},
			{post("/services/agenda-desk/bookings", nil, nil), http.StatusBadRequest, "badRequest"},
			{post("/services/agenda-desk/bookings", http.Header{"Idempotency-Key": {"a", "b"}}, nil), http.StatusBadRequest, "badRequest"},
			{s.fetch(ctx, d, "/v1/requests/none"), http.StatusNotFound, "notFound"},
			{s.call(ctx, d, http.MethodGet, "/none", nil, nil), http.StatusNotFound, "notFound"},
		} {
			Expect(invalid.r.err).NotTo(HaveOccurred())
			Expect(invalid.r.status).To(Equal(invalid.status), invalid.r.body)
			Expect(invalid.r.problem.Kind).To(Equal(invalid.kind))
			Expect(invalid.r.problem.Remedy).NotTo(BeEmpty())
			Expect(invalid.r.problem.Outcome).To(Equal("notRun"))
		}
		Expect(s.services[0].address).NotTo(BeEmpty())
		Expect(s.executedCalls("a")).To(BeEmpty())
	})

	// A caller sends headers without end. The daemon closes its connection and serves other callers.
	It("does not stop a daemon from serving", func(ctx SpecContext) {
		s := newSite(twexample.Arriola(), size{prefill: 1, decode: 1, daemons: 1})
		connection, err := net.Dial("tcp", s.daemons[0].callers)
		Expect(err).NotTo(HaveOccurred())
		_, _ = connection.Write([]byte("GET /v1/models HTTP/1.1\r\nHost: x\r\n"))
		for range 200 {
			_, err = connection.Write([]byte("X-Flood: " + strings.Repeat("f", 1000) + "\r\n"))
		}
		Expect(s.stream(ctx, s.daemons[0], "p", 3).complete).To(BeTrue())
		Expect(connection.Close()).To(Succeed())
	})
})
