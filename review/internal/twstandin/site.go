package twstandin

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"sync"
	"time"
)

const (
	// minComplete is how many streams must be completed for a case to count as run.
	minComplete = 100
	// startSpan is how long the daemons may take until they are ready, and settleSpan the time after that without requests.
	startSpan, settleSpan = 15 * time.Second, 3 * time.Second
	host, service         = "ficu95.example", "huvo11a"
	path                  = "/pufi791/"
	// The engines' figures are those of a small deployment's sheet.
	slots, memoryTokens      = 64, 59571
	tokenBytes, linkMegabits = 163840, 1600000
	// Callers wait for callerDeadline, and abandon a stream after a pause of maxGap.
	callerDeadline, maxGap = 14 * time.Second, 4 * time.Second
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// SiteConfig describes a small deployment with one service of engines.
type SiteConfig struct {
	// RecordPath is the path of the record's file.
	RecordPath string
	// Daemons, Prefills and Decodes are the numbers of daemons and engines.
	Daemons, Prefills, Decodes int
	// EventInterval is the time between two events of a stream.
	EventInterval time.Duration
	HasLateAnswer func(e *Engine) bool
	OnMove        func(e *Engine, machine, to string)
}

// Site is a deployment with its callers.
type Site struct {
	config  SiteConfig
	record  *Record
	engines *Engines
	daemons *Daemons
	caller  *Caller
	calls   sync.WaitGroup
	mu      sync.Mutex
	// started and sent count the engines and the requests, complete the streams that were completed.
	started, sent, complete int
	decodes                 []*Engine
}

// Run starts a deployment, plays requests and disruptions on it, and returns the exit code of the case.
func Run(config SiteConfig, play func(s *Site)) int {
	// The daemons are ended with the thread that started them.
	runtime.LockOSThread()
	record, err := NewRecord(config.RecordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	s := &Site{config: config, record: record, caller: NewCaller()}
	if err := s.run(play); err != nil {
		record.Note("not run: %v", err)
		return exitNotRun
	}
	record.Note("%d streams completed, rules broken: %d", s.complete, record.Broken())
	if record.Broken() > 0 {
		return exitBroken
	}
	return exitHeld
}

func (s *Site) run(play func(s *Site)) error {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	store, err := NewStore()
	if err != nil {
		return err
	}
	defer store.Close()
	store.Put("op", "config", operatorConfig())
	s.engines = NewEngines(s.record, store)
	for range s.config.Prefills {
		s.start("prefill")
	}
	for range s.config.Decodes {
		s.decodes = append(s.decodes, s.start("decode"))
	}
	s.daemons, err = StartDaemons(folder, store.Address(), s.config.Daemons)
	if err != nil {
		return err
	}
	defer s.daemons.Stop()
	if !s.daemons.AwaitReady(time.Now().Add(startSpan)) {
		return fmt.Errorf("the daemons aren't ready after %v", startSpan)
	}
	time.Sleep(settleSpan)
	play(s)
	s.calls.Wait()
	if s.complete < minComplete {
		return fmt.Errorf("only %d streams were completed", s.complete)
	}
	return nil
}

// operatorConfig is the operator's configuration.
func operatorConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-i9n73hh", "host": host, "prefix": path, "kind": "streaming", "timeoutMs": 14000, "targetLatencyMs": 1000,
			"priority": 1, "service": service, "maxAttempts": 1, "sticky": true, "resumable": false, "targetGapMs": 300,
		}},
		"services": []any{map[string]any{
			"name": service, "healthCheck": "/healthz", "maxConnections": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": slots, "kvTokens": memoryTokens, "kvTokenBytes": tokenBytes, "linkMbps": linkMegabits, "moves": true, "backups": true,
				"stride": tokensPerEvent, "most": 12, "handleTtlS": 0.5, "switchS": 6.0, "pinMs": 4000.0, "holdMs": 2000.0,
				"models": []any{map[string]any{"name": "m"}},
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// start starts an engine; the lock isn't held.
func (s *Site) start(phase string) *Engine {
	s.mu.Lock()
	s.started++
	n := s.started
	s.mu.Unlock()
	e, err := s.engines.Start(EngineConfig{
		ID: fmt.Sprintf("i-%s%02d", phase, n), Service: service, Zone: fmt.Sprintf("zone-%c", 'a'+n%3), Phase: phase, Slots: slots,
		EventInterval: s.config.EventInterval, TokenBytes: tokenBytes, LinkMbps: linkMegabits,
		HasLateAnswer: s.config.HasLateAnswer, OnMove: s.config.OnMove,
	})
	if err != nil {
		panic(fmt.Sprintf("start an engine: %v", err))
	}
	return e
}

// AddDecode starts a decode engine, which will leave last.
func (s *Site) AddDecode() {
	e := s.start("decode")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decodes = append(s.decodes, e)
}

// TakeDecode returns the decode engine that leaves next, or the one at the address if that isn't empty; nil if there is none.
func (s *Site) TakeDecode(address string) *Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, e := range s.decodes {
		if address == "" || e.Address() == address {
			s.decodes = append(s.decodes[:i:i], s.decodes[i+1:]...)
			return e
		}
	}
	return nil
}

// Send sends a request for a stream to the first daemon, and checks the answer in the background.
func (s *Site) Send(events, prompt int) {
	s.mu.Lock()
	s.sent++
	id := fmt.Sprintf("%016x", 0x1c41d07be2a30000+s.sent)
	s.mu.Unlock()
	s.calls.Go(func() { s.call(id, events, prompt) })
}

// call sends one request and checks its answer.
func (s *Site) call(id string, events, prompt int) {
	s.record.Note("caller: sends %s", id)
	answer := s.caller.Send(s.daemons.List()[0].Front, Call{
		ID: id, Method: "POST", Host: host, Path: path + "2f", Deadline: callerDeadline, Body: strings.Repeat("x", prompt),
		PromptTokens: prompt, OutputTokens: tokensPerEvent * events, MaxGap: maxGap,
	})
	s.record.Note("caller: %s ends: %d, complete %t, %v", id, answer.Status, answer.Complete, answer.Err)
	if answer.Status != 200 {
		return
	}
	data := dataOf(answer.Body)
	for n, line := range data {
		if want := fmt.Sprintf("data: %s %d", id, n+1); line != want {
			s.record.Break("MIXED", "the caller of %s gets %q as event %d", id, line, n+1)
			return
		}
	}
	if !answer.Complete {
		s.record.Note("the answer to %s is lost after %d events", id, len(data))
	}
	if answer.Complete && len(data) == events {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.complete++
	}
}

func dataOf(body string) []string {
	var list []string
	for _, line := range strings.Split(body, "\n") {
		if strings.HasPrefix(line, "data: ") {
			list = append(list, line)
		}
	}
	return list
}
