// Package twdemo shows a whole site with one session of each kind of work.
package twdemo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twcaller"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twexample"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twsite"
)

// Demo runs a site and calls it as a caller would.
type Demo struct {
	config Config
	client *http.Client
}

// Config chooses what is shown.
type Config struct {
	// Example is the deployment's name.
	Example string
	// Once ends the demonstration by itself.
	Once   bool
	Output io.Writer
}

const (
	daemons      = 3
	prefill      = 3
	decode       = 5
	services     = 3
	answerWithin = 30 * time.Second
	fetchEvery   = 200 * time.Millisecond
)

// New returns a demonstration.
func New(config Config) *Demo {
	return &Demo{config: config, client: &http.Client{Timeout: answerWithin}}
}

// Run shows one request of each kind, and then waits for more calls unless it is to end.
func (d *Demo) Run(ctx context.Context) error {
	example, ok := twexample.Named(d.config.Example)
	if !ok {
		return fmt.Errorf("no example %q; use arriola or sonnenmatt", d.config.Example)
	}
	site, err := twsite.New(ctx, twsite.Config{
		Example: example, Daemons: daemons, Prefill: prefill, Decode: decode, Services: services,
		Policy: "leader", Log: io.Discard,
	})
	if err != nil {
		return err
	}
	d.say("a platform, %d prefill and %d decode engines, %d plain services and %d daemons run in this process", prefill, decode, services, daemons)
	err = d.show(ctx, site, example)
	if err == nil && !d.config.Once {
		d.invite(site, example)
		<-ctx.Done()
	}
	if closeErr := site.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (d *Demo) show(ctx context.Context, site *twsite.Site, example twexample.Example) error {
	s := &session{demo: d, example: example, callers: site.CallerAddresses()}
	for _, step := range []func(context.Context) error{s.urgent, s.once, s.deferred} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) say(format string, values ...any) {
	_, _ = fmt.Fprintf(d.config.Output, format+"\n", values...)
}

func (d *Demo) invite(site *twsite.Site, example twexample.Example) {
	d.say("\ntry more, and end with Ctrl-C:")
	d.say("  curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' -d '{\"model\":%q,\"prompt\":\"Which tables are free?\",\"max_tokens\":40,\"stream\":true}'",
		site.CallerAddresses()[0], example.Key(), example.Model())
	d.say("  curl http://%s/status", site.OperatorAddresses()[0])
}

// session makes the calls.
type session struct {
	demo    *Demo
	example twexample.Example
	callers []string
}

const urgentTokens = 24

// urgent streams an answer while a person waits.
func (s *session) urgent(ctx context.Context) error {
	s.demo.say("\n1. urgent: a streamed answer through prefill, transfer and decode")
	start := time.Now()
	response, err := s.call(ctx, 0, http.MethodPost, "/v1/completions", nil, twcaller.Completion{
		Model: s.example.Model(), Prompt: "Which tables are free this afternoon?", MaxTokens: urgentTokens, Stream: true,
	})
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(response.Body)
	tokens, done := 0, false
	for scanner.Scan() {
		done = done || scanner.Text() == "data: [DONE]"
		if strings.HasPrefix(scanner.Text(), "data: {") {
			if tokens == 0 {
				s.demo.say("   first token after %d ms", time.Since(start).Milliseconds())
			}
			tokens++
		}
	}
	if !done {
		return fmt.Errorf("the stream has no closing mark after %d events", tokens)
	}
	s.demo.say("   whole answer of %d tokens after %d ms", urgentTokens, time.Since(start).Milliseconds())
	return scanner.Err()
}

// once sends a call that may not be repeated, twice.
func (s *session) once(ctx context.Context) error {
	path := map[string]string{"arriola": "/bookings", "sonnenmatt": "/medication"}[s.example.Name()]
	s.demo.say("\n2. at most once: POST %s twice with one key, at two daemons", path)
	header := http.Header{"Idempotency-Key": {"demo-1"}}
	var bodies [][]byte
	for i := range 2 {
		response, err := s.call(ctx, i, http.MethodPost, "/services/"+s.example.Plain()+path, header, map[string]string{"table": "12"})
		if err != nil {
			return err
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return err
		}
		s.demo.say("   daemon %d: status %d, replayed %q: %s", i+1, response.StatusCode, response.Header.Get("Idempotent-Replayed"), bytes.TrimSpace(body))
		bodies = append(bodies, body)
	}
	if !bytes.Equal(bodies[0], bodies[1]) {
		return fmt.Errorf("the two answers differ")
	}
	return nil
}

type ticket struct {
	ID string `json:"id"`
}

// deferred hands in work that may wait, and fetches it twice.
func (s *session) deferred(ctx context.Context) error {
	s.demo.say("\n3. deferrable: accepted with 202, answered later")
	work := map[string]string{"arriola": "dossier", "sonnenmatt": "archive"}[s.example.Name()]
	header := http.Header{"Prefer": {"respond-async"}, "X-Work": {work}, "Idempotency-Key": {"demo-2"}}
	response, err := s.call(ctx, 0, http.MethodPost, "/v1/completions", header, twcaller.Completion{
		Model: s.example.Model(), Prompt: strings.Repeat("Tasting note: cane, oak and vanilla. ", 200), MaxTokens: 40,
	})
	if err != nil {
		return err
	}
	var accepted ticket
	err = json.NewDecoder(response.Body).Decode(&accepted)
	_ = response.Body.Close()
	if err != nil || response.StatusCode != http.StatusAccepted {
		return fmt.Errorf("the request was not accepted: status %d", response.StatusCode)
	}
	s.demo.say("   accepted as %s", response.Header.Get("Location"))
	first, err := s.await(ctx, 1, accepted.ID)
	if err != nil {
		return err
	}
	second, err := s.await(ctx, 2, accepted.ID)
	if err != nil {
		return err
	}
	if !bytes.Equal(first, second) {
		return fmt.Errorf("two fetches differ")
	}
	s.demo.say("   fetched twice, at two daemons, with the same %d bytes", len(first))
	return nil
}

func (s *session) await(ctx context.Context, daemon int, id string) ([]byte, error) {
	deadline := time.Now().Add(answerWithin)
	for time.Now().Before(deadline) {
		response, err := s.call(ctx, daemon, http.MethodGet, "/v1/requests/"+id, nil, nil)
		if err != nil {
			return nil, err
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode == http.StatusOK {
			return body, err
		}
		time.Sleep(fetchEvery)
	}
	return nil, fmt.Errorf("no answer within %s", answerWithin)
}

func (s *session) call(ctx context.Context, daemon int, method, path string, header http.Header, body any) (*http.Response, error) {
	address := "http://" + s.callers[daemon%len(s.callers)] + path
	response, err := twcaller.New(s.demo.client, s.example.Key()).Call(ctx, method, address, header, body)
	if err != nil {
		return nil, err
	}
	if response.StatusCode >= http.StatusBadRequest {
		content, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		return nil, fmt.Errorf("%s %s: status %d: %s", method, path, response.StatusCode, content)
	}
	return response, nil
}
