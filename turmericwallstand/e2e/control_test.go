package e2e_test

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twexample"
)

// runControl runs turmericwallctl and returns its exit code and its output, standard error last.
func runControl(arguments ...string) (int, string) {
	GinkgoHelper()
	session, err := gexec.Start(exec.Command(controlProgram, arguments...), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	Eventually(session).Should(gexec.Exit())
	return session.ExitCode(), string(session.Out.Contents()) + string(session.Err.Contents())
}

var _ = Describe("the operators' command line", func() {
	var s *site
	var platform, document string

	BeforeEach(func() {
		s = newSite(twexample.Arriola(), size{prefill: 1, decode: 1, services: 1, daemons: 2})
		platform = "http://" + s.platform.address
		document = filepath.Join(s.folder, "document.jsonc")
		Expect(os.WriteFile(document, s.example.Document(), 0o600)).To(Succeed())
	})

	operations := func() string { return s.daemons[0].operations + "," + s.daemons[1].operations }

	runIn := func(environment string, arguments ...string) (int, string) {
		return runControl(append(arguments, "--platform", platform, "--environment", environment)...)
	}

	// A document is checked, applied, proved with requests, and promoted byte for byte. An operator whose base revision
	// is outdated gets exit code 3.
	It("takes a document from trial to production", func(ctx SpecContext) {
		code, out := runControl("check", document)
		Expect(code).To(BeZero(), out)
		code, _ = runIn("production", "diff", document)
		Expect(code).To(BeZero())
		changed := strings.Replace(string(s.example.Document()), `"worth": 5`, `"worth": 6`, 1)
		Expect(os.WriteFile(document, []byte(changed), 0o600)).To(Succeed())
		code, out = runIn("production", "diff", document)
		Expect(code).To(Equal(4))
		Expect(out).To(And(ContainSubstring(`- `), ContainSubstring(`+ `), ContainSubstring(`"worth": 6`)))
		code, out = runIn("production", "apply", document, "--base", "1")
		Expect(code).To(BeZero(), out)
		code, _ = runIn("production", "apply", document, "--base", "0")
		Expect(code).To(Equal(3))
		code, _ = runIn("production", "prove", "--daemons", operations())
		Expect(code).To(Equal(4), "a document under which no request was answered can't be proved")
		Eventually(func() []int64 {
			return []int64{s.daemons[0].status().Revision, s.daemons[1].status().Revision}
		}).Should(HaveEach(int64(2)))
		Expect(s.stream(ctx, s.daemons[0], "p", 3).complete).To(BeTrue())
		code, out = runIn("production", "prove", "--daemons", operations())
		Expect(code).To(BeZero(), out)
		code, out = runControl("promote", "--platform", platform, "--from", "production", "--to", "copy", "--base", "0")
		Expect(code).To(BeZero(), out)
		_, first := runIn("production", "--json", "history")
		_, second := runIn("copy", "--json", "history")
		Expect(sources(first)[0]).To(Equal(sources(second)[0]))
	})

	It("rejects an invalid document with exit code 2", func() {
		Expect(os.WriteFile(document, []byte(`{"services": [], "wrok": []}`), 0o600)).To(Succeed())
		code, out := runIn("production", "apply", document, "--base", "1")
		Expect(code).To(Equal(2))
		Expect(out).To(And(ContainSubstring("document.jsonc: line 1"), ContainSubstring("wrok")))
	})

	// An operator reads the status of all daemons and the trace of one request, and drains a daemon.
	It("shows status, explains a request, and drains", func(ctx SpecContext) {
		Eventually(func() int {
			code, _ := runControl("status", "--daemons", operations())
			return code
		}).Should(BeZero())
		r := s.stream(ctx, s.daemons[0], "p", 3)
		code, out := runControl("explain", "--daemons", operations(), r.header.Get("X-Request-Id"))
		Expect(code).To(BeZero())
		Expect(out).To(And(ContainSubstring("Request accepted"), ContainSubstring("Placement granted"), ContainSubstring("decode-0")))
		code, _ = runControl("explain", "--daemons", operations(), "none")
		Expect(code).To(Equal(4))
		code, _ = runControl("drain", s.daemons[0].operations)
		Expect(code).To(BeZero())
		Eventually(s.daemons[0].session).WithTimeout(20 * time.Second).Should(gexec.Exit(0))
		code, out = runControl("status", "--daemons", operations())
		Expect(code).To(Equal(4))
		Expect(out).To(ContainSubstring("unreachable"))
	})

	It("rejects invalid flags with exit code 2", func() {
		code, _ := runControl("apply")
		Expect(code).To(Equal(2))
	})
})

var _ = Describe("the daemon's command line", func() {
	It("exits with code 2 when settings are invalid", func() {
		path := filepath.Join(GinkgoT().TempDir(), "settings.jsonc")
		Expect(os.WriteFile(path, []byte(`{"name": "x", "zome": "y"}`), 0o600)).To(Succeed())
		session, err := gexec.Start(exec.Command(daemonProgram, "check", "--settings", path), nil, GinkgoWriter)
		Expect(err).NotTo(HaveOccurred())
		Eventually(session).Should(gexec.Exit(2))
		Expect(string(session.Err.Contents())).To(And(ContainSubstring("zome"), ContainSubstring("line 1")))
	})
})

// sources returns the documents in the JSON output of history, newest first.
func sources(history string) []string {
	GinkgoHelper()
	var entries []struct {
		Source string `json:"source"`
	}
	Expect(json.Unmarshal([]byte(history), &entries)).To(Succeed())
	var all []string
	for _, e := range entries {
		all = append(all, e.Source)
	}
	return all
}
