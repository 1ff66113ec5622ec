// Package twcertificate provides the TLS configurations of a daemon's listeners and of its calls to peers. Certificates
// are read from files, and read again when the certificate's file changes, so that they are rotated without a restart.
package twcertificate

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall/internal/operations/twsettings"
)

// Source provides TLS configurations that always use the current certificate files.
type Source struct {
	files twsettings.TLS

	mu          sync.Mutex
	modified    time.Time
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// New reads the files and returns their source; it fails when one of them can't be read.
func New(files twsettings.TLS) (*Source, error) {
	s := &Source{files: files}
	return s, s.reload()
}

// CallerServerConfig returns the configuration of the callers' listener. Callers need no certificate.
func (s *Source) CallerServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: s.getCertificate}
}

// PeerServerConfig returns the configuration of the peers' listener, where both sides must present a certificate of the
// peer authority.
func (s *Source) PeerServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authority := s.current()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*certificate},
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: authority, NextProtos: []string{"h2"},
			}, nil
		},
	}
}

// PeerClientConfig returns the configuration of calls to peers. The chain of the peer's certificate is verified and its
// name is not, since peers are addressed by IP address and any daemon of the authority may answer.
func (s *Source) PeerClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := s.current()
			return certificate, nil
		},
		InsecureSkipVerify: true,
		VerifyConnection:   s.verifyPeer,
	}
}

// verifyPeer fails unless the peer's certificate is signed by the peer authority.
func (s *Source) verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer presents no certificate; give every daemon one signed by the peer authority")
	}
	_, authority := s.current()
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: authority, Intermediates: intermediates})
	if err != nil {
		return fmt.Errorf("the peer's certificate is not signed by the peer authority: %w", err)
	}
	return nil
}

func (s *Source) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	certificate, _ := s.current()
	return certificate, nil
}

// current returns the certificate and the authority, after reading the files again if the certificate's
// file has changed. While the files can't be read, those read last stay in use.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	_ = s.reload()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.certificate, s.authority
}

// reload reads the files if the certificate's file has changed since they were last read.
func (s *Source) reload() error {
	info, err := os.Stat(s.files.Certificate)
	if err != nil {
		return fmt.Errorf("read the certificate, check tls.certificate: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.certificate != nil && info.ModTime().Equal(s.modified) {
		return nil
	}
	certificate, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return fmt.Errorf("read the certificate, check tls.certificate and tls.key: %w", err)
	}
	pem, err := os.ReadFile(s.files.PeerAuthority)
	if err != nil {
		return fmt.Errorf("read the peer authority, check tls.peerAuthority: %w", err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pem) {
		return errors.New("tls.peerAuthority contains no certificate in PEM format")
	}
	s.certificate, s.authority, s.modified = &certificate, authority, info.ModTime()
	return nil
}
