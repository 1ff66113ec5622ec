package twcertificate_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall/internal/operations/twcertificate"
	"github.com/turmericwall/turmericwall/internal/operations/twsettings"
)

// authority signs certificates for a test.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

func newAuthority(g *WithT) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	g.Expect(err).NotTo(HaveOccurred())
	certificate, err := x509.ParseCertificate(der)
	g.Expect(err).NotTo(HaveOccurred())
	return &authority{certificate: certificate, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue writes a certificate with the serial number into the folder.
func (a *authority) issue(g *WithT, folder string, serial int64) twsettings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "daemon"}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	g.Expect(err).NotTo(HaveOccurred())
	encodedKey, err := x509.MarshalPKCS8PrivateKey(key)
	g.Expect(err).NotTo(HaveOccurred())
	files := twsettings.TLS{
		Certificate: filepath.Join(folder, "cert.pem"), Key: filepath.Join(folder, "key.pem"), PeerAuthority: filepath.Join(folder, "ca.pem"),
	}
	write(g, files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	write(g, files.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encodedKey}))
	write(g, files.PeerAuthority, a.pem)
	return files
}

func write(g *WithT, path string, content []byte) {
	g.Expect(os.WriteFile(path, content, 0o600)).To(Succeed())
}

func newSource(g *WithT, files twsettings.TLS) *twcertificate.Source {
	source, err := twcertificate.New(files)
	g.Expect(err).NotTo(HaveOccurred())
	return source
}

// connect returns the two ends of a loopback connection; a pipe without a buffer would block a handshake.
func connect() (near, far net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = listener.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		connection, _ := listener.Accept()
		accepted <- connection
	}()
	near, err = net.Dial("tcp", listener.Addr().String())
	if err != nil {
		panic(err)
	}
	return near, <-accepted
}

// handshake connects a peer's client to a peer's server and returns the server's serial number.
func handshake(server, client *tls.Config) (int64, error) {
	near, far := connect()
	ended := make(chan error, 1)
	go func() {
		ended <- tls.Server(far, server).Handshake()
		_ = far.Close()
	}()
	connection := tls.Client(near, client)
	err := connection.Handshake()
	if err != nil {
		_ = near.Close()
		<-ended
		return 0, err
	}
	serial := connection.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	if err := <-ended; err != nil {
		return 0, err
	}
	return serial, near.Close()
}

// A daemon of the same authority is let in; one of another authority is not, on either side.
func TestPeersMustBeOfTheAuthority(t *testing.T) {
	g := NewWithT(t)
	ours, theirs := newAuthority(g), newAuthority(g)
	server := newSource(g, ours.issue(g, t.TempDir(), 1))
	friend := newSource(g, ours.issue(g, t.TempDir(), 2))
	stranger := newSource(g, theirs.issue(g, t.TempDir(), 3))
	_, err := handshake(server.PeerServer(), friend.PeerClient())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = handshake(server.PeerServer(), stranger.PeerClient())
	g.Expect(err).To(HaveOccurred())
	_, err = handshake(stranger.PeerServer(), friend.PeerClient())
	g.Expect(err).To(HaveOccurred())
}

// An operator replaces the files while the daemon runs. The next connection shows the new certificate;
// files that can't be read leave the last one in use.
func TestReplacedFilesAreReadAgain(t *testing.T) {
	g := NewWithT(t)
	a := newAuthority(g)
	folder := t.TempDir()
	files := a.issue(g, folder, 1)
	server, client := newSource(g, files), newSource(g, a.issue(g, t.TempDir(), 9))
	a.issue(g, folder, 2)
	g.Expect(os.Chtimes(files.Certificate, time.Now(), time.Now().Add(time.Minute))).To(Succeed())
	serial, err := handshake(server.PeerServer(), client.PeerClient())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(serial).To(Equal(int64(2)))
	write(g, files.Certificate, []byte("broken"))
	serial, err = handshake(server.PeerServer(), client.PeerClient())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(serial).To(Equal(int64(2)))
}
