// Command lateanswer shows what becomes of runs that are moved off a leaving engine that sends an answer a second time.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall/review/internal/twstandin"
)

const (
	// span is how long requests are sent, and roundSpan the time between two engines that leave.
	span, roundSpan = 102 * time.Second, 2200 * time.Millisecond
	// maxLateShare is the largest share of an engine's answers that are sent twice.
	maxLateShare = 0.03
	// lingerSpan is how long an engine serves after it has stated that it leaves.
	lingerSpan = 4 * time.Second
	host       = "ficu95.example"
	decodes    = 4
)

func main() { os.Exit(run()) }

// run returns 0 if the rule held, 1 if it was broken and 2 if the case couldn't run.
func run() int {
	record, err := twstandin.NewRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	} else {
		fmt.Println(folder)
	}
	store, err := twstandin.NewStore()
	if err != nil {
		return 2
	}
	defer store.Close()
	store.Put("op", "config", config())
	s := &site{record: record, engines: twstandin.NewEngines(record, store), trouble: os.Getenv("TROUBLE") != "0"}
	for n := range 4 {
		if s.start("prefill", n) == nil {
			return 2
		}
	}
	for n := range decodes {
		s.decodes = append(s.decodes, s.start("decode", n))
	}
	daemons, err := twstandin.StartDaemons(folder, store.Address(), 3)
	if err != nil {
		record.Note("the daemons don't start: %v", err)
		return 2
	}
	defer daemons.Stop()
	if !daemons.AwaitReady(time.Now().Add(15 * time.Second)) {
		record.Note("the daemons aren't ready")
		return 2
	}
	time.Sleep(3 * time.Second)
	s.play(daemons)
	if s.complete < 100 {
		record.Note("only %d streams were completed", s.complete)
		return 2
	}
	record.Note("%d streams completed, rules broken: %d", s.complete, record.Broken())
	if record.Broken() > 0 {
		return 1
	}
	return 0
}

func config() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-i9n73hh", "host": host, "prefix": "/pufi791/", "kind": "streaming", "timeoutMs": 14000, "targetLatencyMs": 1000,
			"priority": 1, "service": "huvo11a", "maxAttempts": 1, "sticky": true, "resumable": false, "targetGapMs": 300,
		}},
		"services": []any{map[string]any{
			"name": "huvo11a", "healthCheck": "/healthz", "maxConnections": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kvTokens": 59571, "kvTokenBytes": 163840, "linkMbps": 1600000.0, "moves": true, "backups": true, "stride": 11,
				"most": 12, "handleTtlS": 0.5, "switchS": 6.0, "pinMs": 4000.0, "holdMs": 2000.0, "models": []any{map[string]any{"name": "m"}},
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// site is the deployment with its traffic.
type site struct {
	record  *twstandin.Record
	engines *twstandin.Engines
	trouble bool
	decodes []*twstandin.Engine
	started int

	mu       sync.Mutex
	complete int
}

// start starts an engine.
func (s *site) start(phase string, n int) *twstandin.Engine {
	s.started++
	e, err := s.engines.Start(twstandin.EngineConfig{
		ID: fmt.Sprintf("i-%s%02d", phase, s.started), Service: "huvo11a", Zone: fmt.Sprintf("zone-%c", 'a'+n%3), Phase: phase, Slots: 64,
		EventInterval: 50 * time.Millisecond, TokenBytes: 163840, LinkMbps: 1600000, HasLateAnswer: s.hasLateAnswer,
	})
	if err != nil {
		s.record.Note("an engine doesn't start: %v", err)
		return nil
	}
	return e
}

// hasLateAnswer picks the answers that are sent twice: those of a leaving engine.
func (s *site) hasLateAnswer(e *twstandin.Engine) bool {
	answers, late := e.Answers()
	return s.trouble && e.IsLeaving() && float64(late+1) <= maxLateShare*float64(answers)
}

// play sends requests to one daemon, and replaces the decode engines one after the other.
func (s *site) play(daemons *twstandin.Daemons) {
	var calls sync.WaitGroup
	caller := twstandin.NewCaller()
	front := daemons.List()[0].Front
	until := time.Now().Add(span)
	n := 0
	send := func(events, prompt int) {
		n++
		id := fmt.Sprintf("%016x", 0x1c41d07be2a30000+n)
		calls.Go(func() { s.call(caller, front, id, events, prompt) })
	}
	nextRelease := time.Now().Add(roundSpan)
	round := 0
	for time.Now().Before(until) {
		// Short and long streams.
		for range 5 {
			send(4, 460)
		}
		send(60, 1460)
		time.Sleep(45 * time.Millisecond)
		if time.Now().After(nextRelease) {
			nextRelease = time.Now().Add(roundSpan)
			round++
			leaving := s.decodes[0]
			s.decodes = append(s.decodes[1:], s.start("decode", round))
			time.AfterFunc(1500*time.Millisecond, func() { leaving.Leave(lingerSpan) })
		}
	}
	calls.Wait()
}

// call sends one request and checks its answer.
func (s *site) call(caller *twstandin.Caller, front, id string, events, prompt int) {
	answer := caller.Send(front, twstandin.Call{
		ID: id, Method: "POST", Host: host, Path: "/pufi791/2f", Deadline: 14 * time.Second, Body: strings.Repeat("x", prompt),
		PromptTokens: prompt, OutputTokens: 11 * events, MaxGap: 4 * time.Second,
	})
	s.record.Note("caller: %s ends: %d, complete %t, %v", id, answer.Status, answer.Complete, answer.Err)
	if answer.Status != 200 {
		return
	}
	for n, line := range dataOf(answer.Body) {
		if want := fmt.Sprintf("data: %s %d", id, n+1); line != want {
			s.record.Break("MIXED", "the caller of %s gets %q as event %d", id, line, n+1)
			return
		}
	}
	if answer.Complete && len(dataOf(answer.Body)) == events {
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
