// Package twcommand is the command line of the stand-ins and the load tool.
package twcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twprogram"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twbound"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twcompare"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twdemo"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twenginestand"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twmeasure"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twplatformstand"
	"github.com/turmericwall/turmericwall/turmericwallstand/internal/twservicestand"
)

// Commands is the command line's grammar.
type Commands struct {
	Demo     demo     `cmd:"" help:"Run a whole site in this process and show one request of each kind."`
	Platform platform `cmd:"" help:"Stand in for the platform's table, object store and VM list."`
	Engine   engine   `cmd:"" help:"Stand in for a model engine."`
	Service  service  `cmd:"" help:"Stand in for a plain service."`
	Measure  measure  `cmd:"" help:"Measure how a daemon's cost grows, for docs/CAPACITY.md."`
	Compare  compare  `cmd:"" help:"Measure placement policies against each other under the same load."`
	Bound    bound    `cmd:"" help:"Work out from a run's logs what a scheduler that knew all in advance could have served on time."`
}

type streams struct{ out io.Writer }

// Run runs the command line and returns the exit code.
func Run(arguments []string, out, errOut io.Writer) int {
	return twprogram.New(twprogram.Config{
		Name:        "turmericwallstand",
		Description: "Stand-ins, load and measurement for turmericwall. Exit codes: 0 done, 1 failed, 2 wrong flags.",
		Commands:    &Commands{},
		Bind:        func() []any { return []any{&streams{out: out}} },
		Out:         out,
		Err:         errOut,
	}).Run(arguments)
}

type demo struct {
	Once    bool   `help:"End after the demonstration instead of waiting for more calls."`
	Example string `enum:"arriola,sonnenmatt" default:"arriola" help:"Deployment to show."`
}

// Run shows a whole site.
func (d *demo) Run(ctx context.Context, s *streams) error {
	return twdemo.New(twdemo.Config{Example: d.Example, Once: d.Once, Output: s.out}).Run(ctx)
}

type platform struct {
	Listen string `default:"127.0.0.1:0" help:"IP:port to listen on."`
}

// Run serves a platform.
func (p *platform) Run(ctx context.Context, s *streams) error {
	return serve(ctx, s, p.Listen, twplatformstand.New())
}

type service struct {
	Listen string `default:"127.0.0.1:0" help:"IP:port to listen on."`
	Name   string `required:"" help:"Name of the VM."`
}

// Run serves a plain service.
func (p *service) Run(ctx context.Context, s *streams) error {
	return serve(ctx, s, p.Listen, twservicestand.New(p.Name))
}

type compare struct {
	Deployment string        `enum:"arriola,sonnenmatt" default:"arriola" help:"Mix of work."`
	Policies   []string      `default:"leader,roundRobin,leastLoaded,prefixAffinity" help:"Policies to compare."`
	Levels     []float64     `default:"0.7,1.0,1.3" help:"Offered load, times the capacity."`
	Seeds      int           `default:"5" help:"Runs of each policy at each level."`
	Length     time.Duration `default:"12s" help:"How long requests arrive in each run."`
	Fault      string        `default:"" enum:",engineKilled,zoneCut,storeDown,cancels,slowLinks,daemonKilled" help:"Fault in the middle of each run."`
	ComeBack   bool          `help:"Send refused requests once more at the time given."`
	From       string        `type:"path" help:"Tabulate and draw these runs on record again instead of running."`
	Folder     string        `type:"path" help:"Folder for the runs as JSON and the picture."`
	Log        string        `type:"path" help:"File for the daemons' logs."`
}

// Run compares.
func (c *compare) Run(ctx context.Context, s *streams) error {
	log, err := c.openLog()
	if err != nil {
		return err
	}
	return twcompare.New(twcompare.Config{
		Deployment: c.Deployment, Policies: c.Policies, Levels: c.Levels, Seeds: c.Seeds, Length: c.Length,
		Fault: c.Fault, RetryRefused: c.ComeBack, From: c.From, Folder: c.Folder, Output: s.out, Log: log,
	}).Run(ctx)
}

func (c *compare) openLog() (io.Writer, error) {
	if c.Log == "" {
		return io.Discard, nil
	}
	log, err := os.Create(c.Log)
	if err != nil {
		return nil, fmt.Errorf("open the log, check --log: %w", err)
	}
	return log, nil
}

type measure struct {
	Parts  []string      `default:"members,engines,placements,document,claims,overhead,waiting" help:"Parts to measure."`
	Length time.Duration `default:"10s" help:"How long each point is watched."`
}

// Run measures.
func (m *measure) Run(ctx context.Context, s *streams) error {
	return twmeasure.New(twmeasure.Config{Parts: m.Parts, Length: m.Length, Output: s.out}).Run(ctx)
}

type bound struct {
	Log         string  `type:"path" default:"-" help:"Logs of all daemons; - reads standard input."`
	Decodes     int     `required:"" help:"Engines that answer."`
	Prefills    int     `required:"" help:"Engines that read prompts."`
	Memory      float64 `required:"" help:"One engine's memory in tokens."`
	ReadSpeed   float64 `required:"" help:"Prompt tokens that an engine reads in a millisecond."`
	AnswerSpeed float64 `required:"" help:"Tokens by which one answer grows in a millisecond."`
	Target      float64 `default:"1000" help:"Milliseconds until the first event is due."`
	EventTokens int     `default:"50" help:"Tokens of one event."`
	Loss        float64 `default:"0" help:"Share of packets that are lost, where a lost one makes its answer late."`
}

// Run works the bound out.
func (b *bound) Run(s *streams) error {
	logs := os.Stdin
	if b.Log != "-" {
		file, err := os.Open(b.Log)
		if err != nil {
			return fmt.Errorf("open the log: %w; name a readable file by --log", err)
		}
		defer func() { _ = file.Close() }()
		logs = file
	}
	got, err := twbound.Compute(twbound.Config{
		Decodes: b.Decodes, Prefills: b.Prefills, MemoryTokens: b.Memory, PrefillTokensPerMilli: b.ReadSpeed,
		DecodeTokensPerMilli: b.AnswerSpeed, TargetMillis: b.Target, TokensPerEvent: b.EventTokens, PacketLoss: b.Loss,
	}, logs)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "%d calls, %d fit; by tokens %.3f on time, %.3f on time and without a lost packet\n",
		got.Calls, got.OnTimeCalls, got.OnTimeShare, got.LossFreeShare)
	return err
}

type engine struct {
	Listen      string   `default:"127.0.0.1:0" help:"IP:port to listen on."`
	Name        string   `required:"" help:"Name of the VM."`
	Role        string   `required:"" enum:"prefill,decode" help:"Role of the engine."`
	Models      []string `required:"" help:"Models that the engine runs."`
	Slots       int      `help:"Attempts that decode at a time (20)."`
	Pieces      int      `help:"Memory in units of 4,096 tokens (64)."`
	PrefillRate float64  `help:"Prompt tokens a second (10,000)."`
	StepMillis  float64  `help:"Time between tokens of one attempt alone, in milliseconds (25)."`
}

// Run serves an engine.
func (e *engine) Run(ctx context.Context, s *streams) error {
	return serve(ctx, s, e.Listen, twenginestand.New(twenginestand.Config{
		Name: e.Name, Role: turmericwall.Role(e.Role), Models: e.Models, Slots: e.Slots, Pieces: e.Pieces,
		PrefillRate: e.PrefillRate, StepMillis: e.StepMillis,
	}))
}

type server interface {
	Serve(ctx context.Context, listener net.Listener) error
}

type started struct {
	Listening string `json:"listening"`
}

// serve prints where it listens, as a line of JSON, and serves until a signal.
func serve(ctx context.Context, s *streams, address string, served server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("open the listener, check --listen: %w", err)
	}
	if err := json.NewEncoder(s.out).Encode(started{Listening: listener.Addr().String()}); err != nil {
		return err
	}
	return served.Serve(ctx, listener)
}
