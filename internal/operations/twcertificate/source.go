// Package twcertificate reads certificates from files and reads them again when they change.
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

// Source gives TLS configurations that follow the files, so that keys rotate without a restart.
type Source struct {
	files twsettings.TLS

	mu          sync.Mutex
	modified    time.Time
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// New returns a source whose files were read once.
func New(files twsettings.TLS) (*Source, error) {
	s := &Source{files: files}
	return s, s.read()
}

// Server is the configuration of the callers' listener.
func (s *Source) Server() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: s.getCertificate}
}

// PeerServer is the configuration of the peers' listener: both sides show certificates of the authority.
func (s *Source) PeerServer() *tls.Config {
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

// PeerClient is the configuration of calls to peers. Peers are addressed by IP number, and any daemon of
// the authority may answer, so the chain is verified and the name is not.
func (s *Source) PeerClient() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, _ := s.current()
			return certificate, nil
		},
		InsecureSkipVerify: true,
		VerifyConnection:   s.verify,
	}
}

func (s *Source) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer shows no certificate; give every daemon one of the peer authority")
	}
	_, authority := s.current()
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: authority, Intermediates: intermediates})
	if err != nil {
		return fmt.Errorf("the peer's certificate is not of the peer authority: %w", err)
	}
	return nil
}

func (s *Source) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	certificate, _ := s.current()
	return certificate, nil
}

// current reads changed files again; while they can't be read the last ones stay in use.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	_ = s.read()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.certificate, s.authority
}

func (s *Source) read() error {
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
		return errors.New("tls.peerAuthority holds no certificate in PEM")
	}
	s.certificate, s.authority, s.modified = &certificate, authority, info.ModTime()
	return nil
}
