package e2e_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/document/twpublisher"
	"github.com/turmericwall/turmericwall/internal/platform/twhttp"
	"github.com/turmericwall/turmericwall/internal/platform/twtable"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twexample"
)

// process is a started program, with the address that it reported.
type process struct {
	name    string
	address string
	session *gexec.Session
}

// daemon is a started turmericwalld with the addresses of its listeners.
type daemon struct {
	process
	callers    string
	peers      string
	operations string
}

// site is a set of processes: a simulated platform, simulated engines and plain services, and daemons.
type site struct {
	example  twexample.Example
	platform *process
	prefill  []*process
	decode   []*process
	services []*process
	daemons  []*daemon
	vms      []turmericwall.VM
	folder   string
}

// size is the number of processes of each kind.
type size struct{ prefill, decode, services, daemons int }

var listening = regexp.MustCompile(`"listening":"([^"]+)"`)

// newSite starts all processes, and waits until the daemons are ready and each has found its peers.
func newSite(example twexample.Example, s size) *site {
	GinkgoHelper()
	st := &site{example: example, folder: GinkgoT().TempDir()}
	st.platform = st.startSimulator("platform")
	for i := range s.prefill {
		st.prefill = append(st.prefill, st.startEngine("prefill", i))
	}
	for i := range s.decode {
		st.decode = append(st.decode, st.startEngine("decode", i))
	}
	for i := range s.services {
		name := fmt.Sprintf("%s-%d", example.PlainService(), i)
		p := st.startSimulator("service", "--name", name)
		st.services = append(st.services, p)
		st.listVM(name, example.PlainService(), i, p.address)
	}
	st.apply(0, example.Document())
	st.publishVMs()
	for i := range s.daemons {
		st.daemons = append(st.daemons, st.startDaemon(fmt.Sprintf("entry-%d", i+1), i))
	}
	st.publishVMs()
	for _, d := range st.daemons {
		st.awaitReady(d)
	}
	st.awaitPeers(s.daemons)
	return st
}

// startSimulator starts a command of turmericwallstand and waits until it reports its address.
func (s *site) startSimulator(arguments ...string) *process {
	GinkgoHelper()
	p := startProcess(arguments[0], standProgram, arguments...)
	Eventually(p.session.Out.Contents).Should(MatchRegexp(listening.String()))
	p.address = string(listening.FindSubmatch(p.session.Out.Contents())[1])
	return p
}

func (s *site) startEngine(role string, i int) *process {
	GinkgoHelper()
	name := fmt.Sprintf("%s-%d", role, i)
	p := s.startSimulator("engine", "--name", name, "--role", role, "--models", s.example.Model())
	s.listVM(name, s.example.EngineService(), i, p.address)
	return p
}

func startProcess(name, program string, arguments ...string) *process {
	GinkgoHelper()
	session, err := gexec.Start(exec.Command(program, arguments...), nil, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { session.Kill().Wait() })
	return &process{name: name, session: session}
}

// listVM adds a live VM to the list that publishVMs publishes.
func (s *site) listVM(name, service string, zone int, address string) {
	s.vms = append(s.vms, turmericwall.VM{
		Name: name, Service: service, Region: s.example.Region(), Zone: s.example.Zone(zone), Address: address, State: turmericwall.VMLive,
	})
}

func (s *site) publishVMs() {
	GinkgoHelper()
	postControl(s.platform.address, "vms", s.vms)
}

// startDaemon starts a daemon on free ports and without seeds.
func (s *site) startDaemon(name string, zone int) *daemon {
	GinkgoHelper()
	return s.startDaemonAt(name, zone, "127.0.0.1:0", "")
}

// startDaemonAt starts a daemon with the address of its peers' listener and a JSON list of seeds.
func (s *site) startDaemonAt(name string, zone int, peers, seed string) *daemon {
	GinkgoHelper()
	settings := fmt.Sprintf(`{
		// One of the test's entry VMs.
		"name": %q, "environment": "production", "region": %q, "zone": %q,
		"callers": "127.0.0.1:0", "peers": %q, "operations": "127.0.0.1:0",
		"platform": "http://%s", "plainText": true, "noticeMillis": 0, "drainMillis": 15000, "seeds": [%s],
	}`, name, s.example.Region(), s.example.Zone(zone), peers, s.platform.address, seed)
	path := filepath.Join(s.folder, name+".jsonc")
	Expect(os.WriteFile(path, []byte(settings), 0o600)).To(Succeed())
	d := &daemon{process: *startProcess(name, daemonProgram, "serve", "--settings", path)}
	Eventually(d.session.Out.Contents).Should(ContainSubstring(`"event":1001`))
	d.callers, d.peers, d.operations = d.logField("callers"), d.logField("peers"), d.logField("operations")
	s.vms = append(s.vms, turmericwall.VM{
		Name: name, Service: "turmericwall", Region: s.example.Region(), Zone: s.example.Zone(zone), Address: d.peers, State: turmericwall.VMLive,
	})
	return d
}

// logField returns the value of a field in the daemon's log.
func (d *daemon) logField(name string) string {
	GinkgoHelper()
	found := regexp.MustCompile(`"` + name + `":"([^"]+)"`).FindSubmatch(d.session.Out.Contents())
	Expect(found).To(HaveLen(2))
	return string(found[1])
}

func (s *site) awaitReady(d *daemon) {
	GinkgoHelper()
	Eventually(func() (int, error) {
		response, err := http.Get("http://" + d.operations + "/readyz")
		if err != nil {
			return 0, err
		}
		return response.StatusCode, response.Body.Close()
	}).Should(Equal(http.StatusOK))
}

func (s *site) awaitPeers(daemons int) {
	GinkgoHelper()
	for _, d := range s.daemons {
		Eventually(func() int { return len(d.status().Peers) }).Should(Equal(daemons - 1))
	}
}

type peerEntry struct {
	Incarnation string `json:"incarnation"`
	Revision    int64  `json:"revision"`
}

type status struct {
	Incarnation string      `json:"incarnation"`
	Ready       bool        `json:"ready"`
	Revision    int64       `json:"revision"`
	Digest      string      `json:"digest"`
	InFlight    int         `json:"inFlight"`
	Attempts    int         `json:"attempts"`
	Deferrable  int         `json:"deferrable"`
	Cancels     int         `json:"cancels"`
	Leads       []string    `json:"keeps"`
	Peers       []peerEntry `json:"peers"`
}

func (d *daemon) status() status {
	var s status
	getJSON("http://"+d.operations+"/status", &s)
	return s
}

// table returns a client of the platform's table.
func (s *site) table() turmericwall.Table {
	return twtable.New(twhttp.New(twhttp.Config{Address: "http://" + s.platform.address}))
}

func (s *site) apply(base int64, source []byte) {
	GinkgoHelper()
	publisher := twpublisher.New(twpublisher.Config{Table: s.table(), Environment: "production"})
	_, err := publisher.Apply(
		GinkgoT().Context(), base, twpublisher.RevisionEntry{Source: source, At: time.Now().UTC(), Operator: "test"},
	)
	Expect(err).NotTo(HaveOccurred())
}

// postControl posts to a control endpoint of a simulator, such as faults or vms.
func postControl(address, what string, body any) {
	GinkgoHelper()
	encoded, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.Post("http://"+address+"/control/"+what, "application/json", bytes.NewReader(encoded))
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}

// getJSON decodes the JSON answer into target, which stays as it is if the call fails: callers poll.
func getJSON(address string, target any) {
	response, err := http.Get(address)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(target)
}

func (p *process) signal(s syscall.Signal) { p.session.Signal(s) }

func (p *process) kill() { p.session.Kill().Wait() }
