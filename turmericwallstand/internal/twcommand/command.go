// Package twcommand implements the command line of turmericwallstand. Its commands run the simulated platform,
// engines and plain services, the demonstration, and the measurements.
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

// Commands defines the subcommands and their flags.
type Commands struct {
	Demo     demo     `cmd:"" help:"Run a complete site in this process and show one request of each kind."`
	Platform platform `cmd:"" help:"Simulate the platform's table, object store and VM list."`
	Engine   engine   `cmd:"" help:"Simulate a model engine."`
	Service  service  `cmd:"" help:"Simulate a plain service."`
	Measure  measure  `cmd:"" help:"Measure how a daemon's cost grows with its load, for docs/CAPACITY.md."`
	Compare  compare  `cmd:"" help:"Measure placement policies against each other under the same load."`
	Bound    bound    `cmd:"" help:"Compute from a run's logs how many calls could have been served on time."`
}

// streams holds the writer for the output of commands.
type streams struct{ out io.Writer }

// Run parses the arguments, runs the command, and returns the exit code.
func Run(arguments []string, out, errOut io.Writer) int {
	return twprogram.New(twprogram.Config{
		Name:        "turmericwallstand",
		Description: "Simulators and measurements for turmericwall. Exit codes: 0 success, 1 failure, 2 invalid flags.",
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

// Run runs the demonstration.
func (d *demo) Run(ctx context.Context, s *streams) error {
	return twdemo.New(twdemo.Config{Example: d.Example, Once: d.Once, Output: s.out}).Run(ctx)
}

type platform struct {
	Listen string `default:"127.0.0.1:0" help:"IP:port to listen on."`
}

// Run serves a simulated platform until a signal.
func (p *platform) Run(ctx context.Context, s *streams) error {
	return serve(ctx, s, p.Listen, twplatformstand.New())
}

type service struct {
	Listen string `default:"127.0.0.1:0" help:"IP:port to listen on."`
	Name   string `required:"" help:"Name of the VM."`
}

// Run serves a simulated plain service until a signal.
func (p *service) Run(ctx context.Context, s *streams) error {
	return serve(ctx, s, p.Listen, twservicestand.New(p.Name))
}

type compare struct {
	Deployment   string        `enum:"arriola,sonnenmatt" default:"arriola" help:"Mix of work."`
	Policies     []string      `default:"leader,roundRobin,leastLoaded,prefixAffinity" help:"Policies to compare."`
	Levels       []float64     `default:"0.7,1.0,1.3" help:"Levels of offered load, as multiples of the capacity."`
	Seeds        int           `default:"5" help:"Runs of each policy at each level."`
	Length       time.Duration `default:"12s" help:"Time during which requests arrive in each run."`
	Fault        string        `default:"" enum:",engineKilled,zoneCut,storeDown,cancels,slowLinks,daemonKilled" help:"Fault in the middle of each run."`
	RetryRefused bool          `name:"come-back" help:"Retry refused requests once, at the stated retry time."`
	From         string        `type:"path" help:"Tabulate and draw the recorded runs in this file instead of running."`
	Folder       string        `type:"path" help:"Folder for the runs as JSON and the picture."`
	Log          string        `type:"path" help:"File for the daemons' logs."`
}

// Run compares the policies and prints the table.
func (c *compare) Run(ctx context.Context, s *streams) error {
	log, err := c.openLog()
	if err != nil {
		return err
	}
	return twcompare.New(twcompare.Config{
		Deployment: c.Deployment, Policies: c.Policies, Levels: c.Levels, Seeds: c.Seeds, Length: c.Length,
		Fault: c.Fault, RetryRefused: c.RetryRefused, From: c.From, Folder: c.Folder, Output: s.out, Log: log,
	}).Run(ctx)
}

// openLog creates the file for the daemons' logs; without one they are discarded.
func (c *compare) openLog() (io.Writer, error) {
	if c.Log == "" {
		return io.Discard, nil
	}
	log, err := os.Create(c.Log)
	if err != nil {
		return nil, fmt.Errorf("create the log file, check --log: %w", err)
	}
	return log, nil
}

type measure struct {
	Parts  []string      `default:"members,engines,placements,document,claims,overhead,waiting" help:"Parts to measure."`
	Length time.Duration `default:"10s" help:"Time for which each point is measured."`
}

// Run measures the parts and prints their tables.
func (m *measure) Run(ctx context.Context, s *streams) error {
	return twmeasure.New(twmeasure.Config{Parts: m.Parts, Length: m.Length, Output: s.out}).Run(ctx)
}

type bound struct {
	Log          string  `type:"path" default:"-" help:"Logs of all daemons; - reads standard input."`
	Decodes      int     `required:"" help:"Number of decode engines."`
	Prefills     int     `required:"" help:"Number of prefill engines."`
	Memory       float64 `required:"" help:"Memory of one engine, in tokens."`
	PrefillSpeed float64 `name:"read-speed" required:"" help:"Prompt tokens per millisecond of a prefill engine."`
	DecodeSpeed  float64 `name:"answer-speed" required:"" help:"Tokens by which one answer grows per millisecond."`
	Target       float64 `default:"1000" help:"Target for the time to the first event, in milliseconds."`
	EventTokens  int     `default:"50" help:"Number of tokens in one event."`
	Loss         float64 `default:"0" help:"Share of packets that are lost; a lost packet makes its answer late."`
}

// Run computes the bound and prints it.
func (b *bound) Run(s *streams) error {
	logs := os.Stdin
	if b.Log != "-" {
		file, err := os.Open(b.Log)
		if err != nil {
			return fmt.Errorf("open the logs, check --log: %w", err)
		}
		defer func() { _ = file.Close() }()
		logs = file
	}
	result, err := twbound.Compute(twbound.Config{
		Decodes: b.Decodes, Prefills: b.Prefills, MemoryTokens: b.Memory, PrefillTokensPerMilli: b.PrefillSpeed,
		DecodeTokensPerMilli: b.DecodeSpeed, TargetMillis: b.Target, TokensPerEvent: b.EventTokens, PacketLoss: b.Loss,
	}, logs)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "%d calls, %d fit; by tokens %.3f on time, %.3f on time and without a lost packet\n",
		result.Calls, result.OnTimeCalls, result.OnTimeShare, result.LossFreeShare)
	return err
}

type engine struct {
	Listen      string   `default:"127.0.0.1:0" help:"IP:port to listen on."`
	Name        string   `required:"" help:"Name of the VM."`
	Role        string   `required:"" enum:"prefill,decode" help:"Role of the engine."`
	Models      []string `required:"" help:"Models that the engine runs."`
	Slots       int      `help:"Attempts that decode at a time; 20 if unset."`
	Pieces      int      `help:"Memory in pieces of 4,096 tokens; 64 if unset."`
	PrefillRate float64  `help:"Prompt tokens computed per second; 10,000 if unset."`
	StepMillis  float64  `help:"Milliseconds between tokens of an attempt that decodes by itself; 25 if unset."`
}

// Run serves a simulated engine until a signal.
func (e *engine) Run(ctx context.Context, s *streams) error {
	return serve(ctx, s, e.Listen, twenginestand.New(twenginestand.Config{
		Name: e.Name, Role: turmericwall.Role(e.Role), Models: e.Models, Slots: e.Slots, Pieces: e.Pieces,
		PrefillRate: e.PrefillRate, StepMillis: e.StepMillis,
	}))
}

// server is a simulated system that answers on a listener until ctx ends.
type server interface {
	Serve(ctx context.Context, listener net.Listener) error
}

// startupLine is the line of JSON that tells a test where a simulated system listens.
type startupLine struct {
	Listening string `json:"listening"`
}

// serve prints the address that it listens on, as a line of JSON, and serves until a signal.
func serve(ctx context.Context, s *streams, address string, served server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("open the listener, check --listen: %w", err)
	}
	if err := json.NewEncoder(s.out).Encode(startupLine{Listening: listener.Addr().String()}); err != nil {
		return err
	}
	return served.Serve(ctx, listener)
}
