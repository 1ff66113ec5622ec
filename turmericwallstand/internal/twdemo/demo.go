// Package twdemo runs a complete site in one process and calls it as a caller would, with one request of each kind:
// urgent, non-idempotent and deferrable. It prints what the caller receives.
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

// Demo runs a site and makes the calls of the demonstration.
type Demo struct {
	config Config
	client *http.Client
}

// Config selects the deployment and where the output goes.
type Config struct {
	// Example is the deployment's name, arriola or sonnenmatt.
	Example string
	// Once ends the demonstration after its calls, instead of keeping the site running for more.
	Once   bool
	Output io.Writer
}

const (
	daemons        = 3
	prefillEngines = 3
	decodeEngines  = 5
	plainServices  = 3
	answerTimeout  = 30 * time.Second
	fetchInterval  = 200 * time.Millisecond
)

// New returns a demonstration.
func New(config Config) *Demo {
	return &Demo{config: config, client: &http.Client{Timeout: answerTimeout}}
}

// Run starts the site, makes one request of each kind, and then keeps the site running until ctx ends, unless Once is
// set. It returns an error if an answer is not as promised.
func (d *Demo) Run(ctx context.Context) error {
	example, ok := twexample.ByName(d.config.Example)
	if !ok {
		return fmt.Errorf("no example %q; use arriola or sonnenmatt", d.config.Example)
	}
	site, err := twsite.New(ctx, twsite.Config{
		Example: example, Daemons: daemons, Prefill: prefillEngines, Decode: decodeEngines, Services: plainServices,
		Policy: "leader", Log: io.Discard,
	})
	if err != nil {
		return err
	}
	d.printf("a platform, %d prefill and %d decode engines, %d plain services and %d daemons run in this process",
		prefillEngines, decodeEngines, plainServices, daemons)
	err = d.showSession(ctx, site, example)
	if err == nil && !d.config.Once {
		d.printCommands(site, example)
		<-ctx.Done()
	}
	if closeErr := site.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (d *Demo) showSession(ctx context.Context, site *twsite.Site, example twexample.Example) error {
	s := &session{demo: d, example: example, callers: site.CallerAddresses()}
	for _, step := range []func(context.Context) error{s.streamUrgent, s.repeatCall, s.submitDeferrable} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) printf(format string, values ...any) {
	_, _ = fmt.Fprintf(d.config.Output, format+"\n", values...)
}

// printCommands prints commands with which the user can call the running site.
func (d *Demo) printCommands(site *twsite.Site, example twexample.Example) {
	d.printf("\ntry more calls, and stop the site with Ctrl-C:")
	d.printf("  curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' -d '{\"model\":%q,\"prompt\":\"Which tables are free?\",\"max_tokens\":40,\"stream\":true}'",
		site.CallerAddresses()[0], example.Key(), example.Model())
	d.printf("  curl http://%s/status", site.OperatorAddresses()[0])
}

// session makes the calls of the demonstration to the daemons in turn.
type session struct {
	demo    *Demo
	example twexample.Example
	callers []string
}

const urgentTokens = 24

// streamUrgent streams an answer for which a person waits.
func (s *session) streamUrgent(ctx context.Context) error {
	s.demo.printf("\n1. urgent: a streamed answer through prefill, transfer and decode")
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
				s.demo.printf("   first token after %d ms", time.Since(start).Milliseconds())
			}
			tokens++
		}
	}
	if !done {
		return fmt.Errorf("the stream was cut short after %d events, without [DONE]", tokens)
	}
	s.demo.printf("   complete answer of %d tokens after %d ms", urgentTokens, time.Since(start).Milliseconds())
	return scanner.Err()
}

// repeatCall sends a non-idempotent call twice with the same key, and checks that the second answer is the first one
// replayed.
func (s *session) repeatCall(ctx context.Context) error {
	path := map[string]string{"arriola": "/bookings", "sonnenmatt": "/medication"}[s.example.Name()]
	s.demo.printf("\n2. at most once: POST %s twice with one key, at two daemons", path)
	header := http.Header{"Idempotency-Key": {"demo-1"}}
	var bodies [][]byte
	for i := range 2 {
		response, err := s.call(ctx, i, http.MethodPost, "/services/"+s.example.PlainService()+path, header,
			map[string]string{"table": "12"})
		if err != nil {
			return err
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return err
		}
		s.demo.printf("   daemon %d: status %d, replayed %q: %s", i+1, response.StatusCode,
			response.Header.Get("Idempotent-Replayed"), bytes.TrimSpace(body))
		bodies = append(bodies, body)
	}
	if !bytes.Equal(bodies[0], bodies[1]) {
		return fmt.Errorf("the two answers with key demo-1 differ")
	}
	return nil
}

// acceptance is the body of the answer to an accepted deferrable request.
type acceptance struct {
	ID string `json:"id"`
}

// submitDeferrable submits a deferrable request, and fetches its answer from two other daemons.
func (s *session) submitDeferrable(ctx context.Context) error {
	s.demo.printf("\n3. deferrable: accepted with 202, answered later")
	work := map[string]string{"arriola": "dossier", "sonnenmatt": "archive"}[s.example.Name()]
	header := http.Header{"Prefer": {"respond-async"}, "X-Work": {work}, "Idempotency-Key": {"demo-2"}}
	response, err := s.call(ctx, 0, http.MethodPost, "/v1/completions", header, twcaller.Completion{
		Model: s.example.Model(), Prompt: strings.Repeat("Tasting note: cane, oak and vanilla. ", 200), MaxTokens: 40,
	})
	if err != nil {
		return err
	}
	var accepted acceptance
	err = json.NewDecoder(response.Body).Decode(&accepted)
	_ = response.Body.Close()
	if err != nil || response.StatusCode != http.StatusAccepted {
		return fmt.Errorf("the deferrable request was not accepted: status %d, expected 202", response.StatusCode)
	}
	s.demo.printf("   accepted as %s", response.Header.Get("Location"))
	first, err := s.awaitAnswer(ctx, 1, accepted.ID)
	if err != nil {
		return err
	}
	second, err := s.awaitAnswer(ctx, 2, accepted.ID)
	if err != nil {
		return err
	}
	if !bytes.Equal(first, second) {
		return fmt.Errorf("the answers fetched from two daemons differ")
	}
	s.demo.printf("   fetched twice, at two daemons, with the same %d bytes", len(first))
	return nil
}

// awaitAnswer polls the daemon for the answer of a deferrable request until answerTimeout.
func (s *session) awaitAnswer(ctx context.Context, daemon int, id string) ([]byte, error) {
	deadline := time.Now().Add(answerTimeout)
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
		time.Sleep(fetchInterval)
	}
	return nil, fmt.Errorf("no answer within %s", answerTimeout)
}

// call sends a call to one daemon; a status of 400 or more is an error. The caller closes the body.
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
