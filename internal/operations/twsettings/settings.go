// Package twsettings reads a daemon's own settings from a file, fills in the defaults and checks each field. A daemon
// reads them once, before it opens its listeners; what all daemons of an environment share is in the document instead.
package twsettings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twstrictjson"
)

// Defaults of optional settings.
const (
	defaultDrainMillis  = 60_000
	defaultNoticeMillis = 3_000
	defaultMaxBodyBytes = 4 << 20
	defaultLogLevel     = "info"
	defaultPolicy       = "leader"
)

// Settings are one daemon's addresses and limits; docs/CONFIGURATION.md describes each field.
type Settings struct {
	// Name is unique among the environment's daemons.
	Name string `json:"name"`
	// Environment names the document that the daemon serves, such as trial or production.
	Environment string `json:"environment"`
	Region      string `json:"region"`
	Zone        string `json:"zone"`
	// Callers, Peers and Operations are the listeners, as IP:port.
	Callers    string `json:"callers"`
	Peers      string `json:"peers"`
	Operations string `json:"operations"`
	// Platform is the base URL of the platform's service.
	Platform string `json:"platform"`
	// Seeds are the addresses (IP:port) of peers to contact while the platform's VM list can't be read.
	Seeds []string `json:"seeds,omitempty"`
	// PlainText allows connections without TLS; it must be true if TLS names no files, and only then.
	PlainText bool `json:"plainText,omitempty"`
	// TLS names the certificate files.
	TLS TLS `json:"tls,omitzero"`
	// DrainMillis bounds a graceful shutdown, in milliseconds.
	DrainMillis int64 `json:"drainMillis,omitempty"`
	// NoticeMillis is how long a draining daemon still accepts callers after it has stopped being ready, so that the
	// load balancer stops sending to it first; in milliseconds.
	NoticeMillis *int64 `json:"noticeMillis,omitempty"`
	// MaxBodyBytes bounds one request's body, in bytes.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"logLevel,omitempty"`
	// Policy is leader, which places calls through the service's leader. For comparisons it is alone (each daemon
	// places its own calls) or one of the baselines roundRobin, leastLoaded and prefixAffinity.
	Policy string `json:"policy,omitempty"`
}

// TLS names the PEM files of one daemon's certificate. All are read again when the certificate's file
// changes.
type TLS struct {
	Certificate string `json:"certificate,omitempty"`
	Key         string `json:"key,omitempty"`
	// PeerAuthority is the file of the certificate authority that signs the certificates of all daemons.
	PeerAuthority string `json:"peerAuthority,omitempty"`
}

// Load reads the settings from a file, as Parse does.
func Load(path string) (Settings, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read the settings file, check the path given with --settings: %w", err)
	}
	return Parse(path, source)
}

// Parse decodes settings, sets the defaults of missing fields and checks the result. It fails with KindInvalidSettings;
// the error names the source by name, the line or field, and the remedy.
func Parse(name string, source []byte) (Settings, error) {
	var s Settings
	if err := twstrictjson.New(name, turmericwall.KindInvalidSettings).Decode(source, &s); err != nil {
		return Settings{}, err
	}
	s.setDefaults()
	if err := s.check(name); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// DrainDeadline returns when a graceful shutdown that starts now must have ended.
func (s Settings) DrainDeadline(now time.Time) time.Time {
	return now.Add(time.Duration(s.DrainMillis) * time.Millisecond)
}

// NoticeDeadline returns when a daemon that stops being ready now may close its callers' listener.
func (s Settings) NoticeDeadline(now time.Time) time.Time {
	return now.Add(time.Duration(*s.NoticeMillis) * time.Millisecond)
}

func (s *Settings) setDefaults() {
	if s.DrainMillis == 0 {
		s.DrainMillis = defaultDrainMillis
	}
	if s.NoticeMillis == nil {
		notice := int64(defaultNoticeMillis)
		s.NoticeMillis = &notice
	}
	if s.MaxBodyBytes == 0 {
		s.MaxBodyBytes = defaultMaxBodyBytes
	}
	if s.LogLevel == "" {
		s.LogLevel = defaultLogLevel
	}
	if s.Policy == "" {
		s.Policy = defaultPolicy
	}
}

// check returns a problem for the first invalid field. Each function in checks returns the invalid field and what is
// wrong with it, or two empty strings.
func (s *Settings) check(name string) error {
	checks := []func() (field, fault string){
		s.checkNames, s.checkListeners, s.checkPlatform, s.checkTLS, s.checkLimits, s.checkChoices,
	}
	for _, c := range checks {
		if field, fault := c(); fault != "" {
			return turmericwall.NewProblem(turmericwall.KindInvalidSettings,
				fmt.Sprintf("%s: field %s: %s", name, field, fault), "correct the field; docs/CONFIGURATION.md describes it")
		}
	}
	return nil
}

func (s *Settings) checkNames() (string, string) {
	required := []struct{ field, value string }{
		{"name", s.Name}, {"environment", s.Environment}, {"region", s.Region}, {"zone", s.Zone},
	}
	for _, r := range required {
		if r.value == "" {
			return r.field, "is missing"
		}
	}
	return "", ""
}

func (s *Settings) checkListeners() (string, string) {
	listeners := []struct{ field, value string }{
		{"callers", s.Callers}, {"peers", s.Peers}, {"operations", s.Operations},
	}
	for _, l := range listeners {
		host, _, err := net.SplitHostPort(l.value)
		if err != nil {
			return l.field, "is not an address of the form IP:port"
		}
		if net.ParseIP(host) == nil {
			return l.field, "is a host name; daemons listen on IP addresses"
		}
	}
	return "", ""
}

func (s *Settings) checkPlatform() (string, string) {
	u, err := url.Parse(s.Platform)
	if err != nil || u.Host == "" {
		return "platform", "is not a URL such as http://10.0.0.9:7000"
	}
	return "", ""
}

func (s *Settings) checkTLS() (string, string) {
	files := s.TLS.Certificate != "" && s.TLS.Key != "" && s.TLS.PeerAuthority != ""
	none := s.TLS == TLS{}
	switch {
	case !files && !none:
		return "tls", "needs certificate, key and peerAuthority together"
	case none && !s.PlainText:
		return "tls", "is missing, and plainText is not true"
	case files && s.PlainText:
		return "plainText", "is true although TLS files are given"
	}
	return "", ""
}

func (s *Settings) checkLimits() (string, string) {
	if s.DrainMillis < 0 {
		return "drainMillis", "is negative"
	}
	if *s.NoticeMillis < 0 || *s.NoticeMillis >= s.DrainMillis {
		return "noticeMillis", "must be at least 0 and less than drainMillis"
	}
	if s.MaxBodyBytes < 0 {
		return "maxBodyBytes", "is negative"
	}
	return "", ""
}

func (s *Settings) checkChoices() (string, string) {
	switch s.Policy {
	case "leader", "alone", "roundRobin", "leastLoaded", "prefixAffinity":
	default:
		return "policy", "is not leader, alone, roundRobin, leastLoaded or prefixAffinity"
	}
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
		return "", ""
	}
	return "logLevel", "is not debug, info, warn or error"
}
