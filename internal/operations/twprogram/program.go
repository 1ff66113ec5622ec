// Package twprogram parses a program's command line, runs the command and turns its error into an exit code. The daemon
// and the operators' tools share it, so that their flags, signals and exit codes agree.
package twprogram

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Exit codes that all programs share.
const (
	ExitOK     = 0
	ExitFailed = 1
	// ExitUsage reports invalid flags or files.
	ExitUsage = 2
)

// Program is a command line with its commands.
type Program struct {
	config Config
}

// Config describes a program.
type Config struct {
	Name        string
	Description string
	// Commands points to the struct that declares the commands and flags; each command's Run may take a context and the
	// bound values.
	Commands any
	// Bind returns the values that are passed to the commands; it is called after the flags are parsed.
	Bind func() []any
	// ExitCode returns the exit code of a command's error. If it is nil, the code is always ExitFailed.
	ExitCode func(error) int
	Out, Err io.Writer
}

// New returns a program.
func New(config Config) *Program { return &Program{config: config} }

// Run parses the arguments, runs the command, writes its error to Err and returns the exit code. The context of the
// commands is cancelled on SIGTERM or an interrupt.
func (p *Program) Run(arguments []string) int {
	kongExitCode := -1
	parser, err := kong.New(p.config.Commands,
		kong.Name(p.config.Name),
		kong.Description(p.config.Description),
		kong.Writers(p.config.Out, p.config.Err),
		kong.Exit(func(code int) { kongExitCode = code }))
	if err != nil {
		return p.reportError(err, ExitFailed)
	}
	parsed, err := parser.Parse(arguments)
	if kongExitCode >= 0 {
		return kongExitCode
	}
	if err != nil {
		return p.reportError(err, ExitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	if err := parsed.Run(p.config.Bind()...); err != nil {
		return p.reportError(err, p.exitCode(err))
	}
	return ExitOK
}

func (p *Program) exitCode(err error) int {
	if p.config.ExitCode == nil {
		return ExitFailed
	}
	return p.config.ExitCode(err)
}

func (p *Program) reportError(err error, code int) int {
	_, _ = fmt.Fprintf(p.config.Err, "%s: %v\n", p.config.Name, err)
	return code
}
