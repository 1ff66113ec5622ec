package twcertificate_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/operations/twdaemon"
	"github.com/turmericwall/turmericwall/internal/operations/twoperations"
	"github.com/turmericwall/turmericwall/internal/operations/twsettings"
)

// startDaemon runs a daemon until the test ends; its platform is unreachable.
func startDaemon(t *testing.T, name string, files twsettings.TLS, seeds ...string) *twdaemon.Daemon {
	g := NewWithT(t)
	notice := int64(0)
	d, err := twdaemon.New(twdaemon.Config{
		Settings: twsettings.Settings{
			Name: name, Environment: "e", Region: "r", Zone: "z", Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operations: "127.0.0.1:0",
			Platform: "http://127.0.0.1:1", TLS: files, Seeds: seeds, DrainMillis: 1000, NoticeMillis: &notice, MaxBodyBytes: 1000, Policy: "leader",
		},
		Output: io.Discard, Clock: clockwork.NewRealClock(),
	})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return d
}

// countPeers returns how many live peers the daemon reports.
func countPeers(g Gomega, d *twdaemon.Daemon) int {
	response, err := http.Get("http://" + d.OperationsAddress() + "/status")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	var status twoperations.Status
	g.Expect(json.NewDecoder(response.Body).Decode(&status)).To(Succeed())
	return len(status.Peers)
}

// Daemons of one authority must connect over mutual TLS, and callers must be served over TLS only. A daemon with a
// certificate of another authority must not become a peer.
func TestDaemonsConnectOverMutualTLSOfOneAuthority(t *testing.T) {
	g := NewWithT(t)
	ours, theirs := newAuthority(g), newAuthority(g)
	first := startDaemon(t, "first", ours.issue(g, t.TempDir(), 1))
	second := startDaemon(t, "second", ours.issue(g, t.TempDir(), 2), first.PeersAddress())
	outsider := startDaemon(t, "stranger", theirs.issue(g, t.TempDir(), 3), first.PeersAddress())
	g.Eventually(func(g Gomega) { g.Expect(countPeers(g, second)).To(Equal(1)) }).WithTimeout(10 * time.Second).Should(Succeed())
	g.Eventually(func(g Gomega) { g.Expect(countPeers(g, first)).To(Equal(1)) }).WithTimeout(10 * time.Second).Should(Succeed())
	g.Expect(countPeers(g, outsider)).To(BeZero())
	pool := x509.NewCertPool()
	pool.AddCert(ours.certificate)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, ServerName: "daemon", InsecureSkipVerify: true}}}
	response, err := client.Get("https://" + first.CallersAddress() + "/v1/models")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Body.Close()).To(Succeed())
	g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	plain, err := http.Get("http://" + first.CallersAddress() + "/v1/models")
	if err == nil {
		g.Expect(plain.Body.Close()).To(Succeed())
		g.Expect(plain.StatusCode).To(Equal(http.StatusBadRequest))
	}
}
