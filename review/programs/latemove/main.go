// Command latemove shows where a run goes whose copy took long, while the engine that it is moved to leaves as well.
package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/turmericwall/turmericwall/review/internal/twstandin"
)

const (
	// span is how long requests are sent, and roundSpan the time between two engines that leave.
	span, roundSpan = 90 * time.Second, 11 * time.Second
	// cutSpan is how long a leaving engine is cut from one of the machines, and nextSpan the time until the next engine leaves.
	cutSpan, nextSpan = 3600 * time.Millisecond, time.Second
	// lingerSpan is how long an engine serves after it has stated that it leaves, and longLingerSpan how long the one that is cut does.
	lingerSpan, longLingerSpan = 2700 * time.Millisecond, 7 * time.Second
	host                       = "ficu95.example"
	decodes                    = 6
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
	daemons, err := twstandin.StartDaemons(folder, store.Address(), 4)
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
	// moving is the engine that leaves, until its first run is moved.
	moving *twstandin.Engine
	// nextLeavesAt is when the next engine leaves.
	nextLeavesAt time.Time
}

// start starts an engine.
func (s *site) start(phase string, n int) *twstandin.Engine {
	s.started++
	e, err := s.engines.Start(twstandin.EngineConfig{
		ID: fmt.Sprintf("i-%s%02d", phase, s.started), Service: "huvo11a", Zone: fmt.Sprintf("zone-%c", 'a'+n%3), Phase: phase, Slots: 64,
		EventInterval: 80 * time.Millisecond, TokenBytes: 163840, LinkMbps: 1600000, OnMove: s.onMove,
	})
	if err != nil {
		s.record.Note("an engine doesn't start: %v", err)
		return nil
	}
	return e
}

// onMove cuts the path between a leaving engine and the machine that moves its first run, and lets the engine leave that the run
// is moved to.
func (s *site) onMove(e *twstandin.Engine, machine, to string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.moving != e {
		return
	}
	s.moving = nil
	if s.trouble {
		e.CutFrom(machine, cutSpan)
	}
	time.AfterFunc(time.Until(s.nextLeavesAt), func() { s.leave(to) })
}

// leave lets the decode engine at the address leave.
func (s *site) leave(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, e := range s.decodes {
		if e.Address() == address && !e.IsLeaving() {
			s.decodes = slices.Delete(s.decodes, i, i+1)
			go e.Leave(lingerSpan)
			return
		}
	}
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
	nextRelease := time.Now().Add(5 * time.Second)
	for time.Now().Before(until) {
		send(130, 1460)
		time.Sleep(150 * time.Millisecond)
		if time.Now().After(nextRelease) {
			nextRelease = time.Now().Add(roundSpan)
			s.release()
		}
	}
	calls.Wait()
}

// release starts two engines, and lets another one leave.
func (s *site) release() {
	started := []*twstandin.Engine{s.start("decode", s.started), s.start("decode", s.started)}
	time.AfterFunc(1500*time.Millisecond, func() {
		s.mu.Lock()
		leaving := s.decodes[0]
		s.moving, s.nextLeavesAt = leaving, time.Now().Add(nextSpan)
		s.decodes = append(s.decodes[1:], started...)
		s.mu.Unlock()
		leaving.Leave(longLingerSpan)
	})
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
	if !answer.Complete {
		s.record.Note("the answer to %s is lost after %d events", id, len(dataOf(answer.Body)))
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
