package twscheduler_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/placement/twscheduler"
)

// line is one event of a session, with its time in milliseconds since the start. Lines that start with // are comments.
type line struct {
	At       int64    `json:"at"`
	Listed   []vm     `json:"listed"`
	Reported *report  `json:"reported"`
	Cached   *cached  `json:"cached"`
	Arrival  *arrival `json:"arrival"`
	Finished *ending  `json:"finished"`
	Lost     string   `json:"lost"`
	Tick     bool     `json:"tick"`
}

type vm struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	State string `json:"state"`
	// Address defaults to the name.
	Address string `json:"address"`
}

type report struct {
	VM       string   `json:"vm"`
	Role     string   `json:"role"`
	Age      int64    `json:"age"`
	Attempts []string `json:"attempts"`
	Slots    int      `json:"slots"`
	Queued   int      `json:"queued"`
	Urgent   int      `json:"urgent"`
	Draining bool     `json:"draining"`
	Model    string   `json:"model"`
}

type cached struct {
	VM     string   `json:"vm"`
	From   uint64   `json:"from"`
	Blocks []uint64 `json:"blocks"`
}

type arrival struct {
	Attempt   string   `json:"attempt"`
	Work      string   `json:"work"`
	Urgent    bool     `json:"urgent"`
	Worth     float64  `json:"worth"`
	Prompt    int      `json:"prompt"`
	Max       int      `json:"max"`
	Blocks    []uint64 `json:"blocks"`
	First     int64    `json:"first"`
	GiveUp    int64    `json:"giveUp"`
	Resumed   bool     `json:"resumed"`
	Avoid     []string `json:"avoid"`
	Prefilled string   `json:"prefilled"`
	Model     string   `json:"model"`
}

type ending struct {
	Attempt string `json:"attempt"`
	Failed  string `json:"failed"`
}

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

func at(millis int64) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

func deadline(now time.Time, millis int64) time.Time {
	if millis == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(millis) * time.Millisecond)
}

const (
	model             = "m"
	pieces            = 48
	prefillRate       = 10_000
	stepMillis        = 25
	stepPerSlotMillis = 1.2
)

func modelOrDefault(name string) string {
	if name == "" {
		return model
	}
	return name
}

func (l line) event() turmericwall.Event {
	now := at(l.At)
	switch {
	case l.Listed != nil:
		listed := turmericwall.EnginesListed{Links: []turmericwall.Link{
			{From: "near", To: "far", MegabytesPerSecond: 1000, Cost: 20},
		}}
		for _, v := range l.Listed {
			state := turmericwall.VMLive
			if v.State != "" {
				state = turmericwall.VMState(v.State)
			}
			address := v.Address
			if address == "" {
				address = v.Name
			}
			listed.VMs = append(listed.VMs, turmericwall.VM{Name: v.Name, Zone: v.Zone, Address: address, State: state})
		}
		return listed
	case l.Reported != nil:
		return l.Reported.event()
	case l.Cached != nil:
		c := turmericwall.CacheChanged{Engine: l.Cached.VM}
		for i, b := range l.Cached.Blocks {
			c.Events.Events = append(c.Events.Events, turmericwall.CacheEvent{
				Sequence: l.Cached.From + uint64(i), BlockHash: b,
			})
		}
		return c
	case l.Arrival != nil:
		return l.Arrival.event(now)
	case l.Finished != nil:
		return turmericwall.AttemptEnded{Ending: turmericwall.Ending{
			Attempt: l.Finished.Attempt, FailedEngine: l.Finished.Failed,
		}}
	case l.Lost != "":
		return turmericwall.OwnerLost{Incarnation: l.Lost}
	default:
		return turmericwall.Tick{}
	}
}

func (r *report) event() turmericwall.Event {
	return turmericwall.EngineReported{
		VM: turmericwall.VM{Name: r.VM},
		Report: turmericwall.Report{
			Role: turmericwall.Role(r.Role), Models: []string{modelOrDefault(r.Model)}, AgeMillis: r.Age,
			Attempts: r.Attempts, Slots: r.Slots, Pieces: pieces, QueuedTokens: r.Queued, UrgentTokens: r.Urgent,
			Draining: r.Draining, PrefillRate: prefillRate,
			StepMillis: stepMillis, StepPerSlotMillis: stepPerSlotMillis,
		},
	}
}

func (a *arrival) event(now time.Time) turmericwall.Event {
	return turmericwall.Arrival{
		Attempt: a.Attempt, Model: modelOrDefault(a.Model), Work: a.Work, Urgent: a.Urgent, Worth: a.Worth,
		PromptTokens: a.Prompt, MaxTokens: a.Max, BlockHashes: a.Blocks,
		FirstTokenDeadline: deadline(now, a.First), GiveUpDeadline: deadline(now, a.GiveUp),
		Resumed: a.Resumed, Avoid: a.Avoid, ExportEngine: a.Prefilled, TokenGapMillis: 54,
	}
}

// Each folder of testdata is a session of events; the golden file holds the expected actions.
func TestActionsMatchGoldenSessions(t *testing.T) {
	paths, err := filepath.Glob("testdata/*/events.jsonl")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(paths).NotTo(BeEmpty())
	for _, path := range paths {
		session := filepath.Base(filepath.Dir(path))
		t.Run(session, func(t *testing.T) {
			g := goldie.New(t, goldie.WithFixtureDir(filepath.Dir(path)), goldie.WithNameSuffix(".golden"))
			g.Assert(t, "actions", replay(t, path))
		})
	}
}

func replay(t *testing.T, path string) []byte {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	s := twscheduler.New(twscheduler.Config{BlockTokens: 64})
	var actions bytes.Buffer
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		if bytes.HasPrefix(scanner.Bytes(), []byte("//")) || len(scanner.Bytes()) == 0 {
			continue
		}
		var l line
		if err := json.Unmarshal(scanner.Bytes(), &l); err != nil {
			t.Fatalf("%s: %v", scanner.Text(), err)
		}
		for _, a := range s.Step(at(l.At), l.event()) {
			writeAction(&actions, l.At, a)
		}
	}
	return actions.Bytes()
}

func writeAction(out *bytes.Buffer, millis int64, action turmericwall.Action) {
	switch a := action.(type) {
	case turmericwall.Grant:
		_, _ = fmt.Fprintf(out, "%d grant %s: %s to %s, cached %d, first token at %d, reserved until %d (%s)\n",
			millis, a.Attempt, a.Prefill.Name, a.Decode.Name, a.CachedTokens, a.FirstTokenAt.Sub(start).Milliseconds(),
			a.ReservedUntil.Sub(start).Milliseconds(), a.Reason)
	case turmericwall.Refusal:
		_, _ = fmt.Fprintf(out, "%d refuse %s: %s, come back at %d\n",
			millis, a.Attempt, a.Reason, a.RetryAt.Sub(start).Milliseconds())
	case turmericwall.Sweep:
		_, _ = fmt.Fprintf(out, "%d sweep %s on %s\n", millis, a.Attempt, a.VM.Name)
	}
}
