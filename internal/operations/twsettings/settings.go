// Package twsettings reads and checks a daemon's own settings.
package twsettings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twstrict"
)

// Defaults of what a settings file may leave out.
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
	// Seeds are peer listeners to ask when the platform's VM list can't be read.
	Seeds []string `json:"seeds,omitempty"`
	// PlainText must be true where no TLS files are given.
	PlainText bool `json:"plainText,omitempty"`
	// TLS names the certificate files.
	TLS TLS `json:"tls,omitzero"`
	// DrainMillis bounds a graceful shutdown, in milliseconds.
	DrainMillis int64 `json:"drainMillis,omitempty"`
	// NoticeMillis is the time between not being ready and closing the callers' listener, so that the
	// balancer notices first; in milliseconds.
	NoticeMillis *int64 `json:"noticeMillis,omitempty"`
	// MaxBodyBytes bounds one request's body.
	MaxBodyBytes int64 `json:"maxBodyBytes,omitempty"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"logLevel,omitempty"`
	// Policy is leader, or for comparison alone, or one of the baselines roundRobin, leastLoaded, prefixAffinity.
	Policy string `json:"policy,omitempty"`
}

// TLS names the files of one daemon's certificates, in PEM. They are read again when they change.
type TLS struct {
	Certificate string `json:"certificate,omitempty"`
	Key         string `json:"key,omitempty"`
	// PeerAuthority signs the certificates of all daemons.
	PeerAuthority string `json:"peerAuthority,omitempty"`
}

// Load reads, completes and checks the settings in a file.
func Load(path string) (Settings, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read the settings, give their path with --settings: %w", err)
	}
	return Parse(path, source)
}

// Parse completes and checks settings; name stands for the source in errors.
func Parse(name string, source []byte) (Settings, error) {
	var s Settings
	if err := twstrict.New(name, turmericwall.KindInvalidSettings).Decode(source, &s); err != nil {
		return Settings{}, err
	}
	s.setDefaults()
	if err := s.check(name); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// DrainDeadline is when a graceful shutdown that starts now must have ended.
func (s Settings) DrainDeadline(now time.Time) time.Time {
	return now.Add(time.Duration(s.DrainMillis) * time.Millisecond)
}

// NoticeDeadline is when a daemon that stops being ready now may close its listener.
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
			return l.field, "is not IP:port"
		}
		if net.ParseIP(host) == nil {
			return l.field, "names a host; daemons listen on IP numbers"
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
		return "noticeMillis", "must lie between 0 and drainMillis"
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
