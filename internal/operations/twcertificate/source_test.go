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

// authority is a certificate authority for a test.
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

// issue writes a certificate with the serial number, its key and the authority's certificate into the folder.
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
	writeFile(g, files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	writeFile(g, files.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encodedKey}))
	writeFile(g, files.PeerAuthority, a.pem)
	return files
}

func writeFile(g *WithT, path string, content []byte) {
	g.Expect(os.WriteFile(path, content, 0o600)).To(Succeed())
}

func newSource(g *WithT, files twsettings.TLS) *twcertificate.Source {
	source, err := twcertificate.New(files)
	g.Expect(err).NotTo(HaveOccurred())
	return source
}

// loopbackPair returns the two ends of a loopback connection. An unbuffered pipe would block the handshake.
func loopbackPair() (near, far net.Conn) {
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

// handshake connects a peer's client to a peer's server and returns the serial number of the server's certificate.
func handshake(server, client *tls.Config) (int64, error) {
	near, far := loopbackPair()
	serverErr := make(chan error, 1)
	go func() {
		serverErr <- tls.Server(far, server).Handshake()
		_ = far.Close()
	}()
	connection := tls.Client(near, client)
	err := connection.Handshake()
	if err != nil {
		_ = near.Close()
		<-serverErr
		return 0, err
	}
	serial := connection.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	if err := <-serverErr; err != nil {
		return 0, err
	}
	return serial, near.Close()
}

// Peers with a certificate of another authority must be rejected by servers and by clients; those of the same authority
// must connect.
func TestPeersOfAnotherAuthorityAreRejected(t *testing.T) {
	g := NewWithT(t)
	ours, theirs := newAuthority(g), newAuthority(g)
	server := newSource(g, ours.issue(g, t.TempDir(), 1))
	member := newSource(g, ours.issue(g, t.TempDir(), 2))
	outsider := newSource(g, theirs.issue(g, t.TempDir(), 3))
	_, err := handshake(server.PeerServerConfig(), member.PeerClientConfig())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = handshake(server.PeerServerConfig(), outsider.PeerClientConfig())
	g.Expect(err).To(HaveOccurred())
	_, err = handshake(outsider.PeerServerConfig(), member.PeerClientConfig())
	g.Expect(err).To(HaveOccurred())
}

// When an operator replaces the files of a running daemon, the next connection must use the new certificate. Unreadable
// files must leave the last certificate in use.
func TestReplacedCertificateFilesAreReloaded(t *testing.T) {
	g := NewWithT(t)
	a := newAuthority(g)
	folder := t.TempDir()
	files := a.issue(g, folder, 1)
	server, client := newSource(g, files), newSource(g, a.issue(g, t.TempDir(), 9))
	a.issue(g, folder, 2)
	g.Expect(os.Chtimes(files.Certificate, time.Now(), time.Now().Add(time.Minute))).To(Succeed())
	serial, err := handshake(server.PeerServerConfig(), client.PeerClientConfig())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(serial).To(Equal(int64(2)))
	writeFile(g, files.Certificate, []byte("broken"))
	serial, err = handshake(server.PeerServerConfig(), client.PeerClientConfig())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(serial).To(Equal(int64(2)))
}
