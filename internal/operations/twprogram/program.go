// Package twprogram runs a program's command line.
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
	// ExitUsage stands for wrong flags and invalid files.
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
	// Commands is a pointer to the grammar; each command's Run may take a context and the bound values.
	Commands any
	// Bind gives the values that commands take, once the flags are known.
	Bind func() []any
	// CodeOf returns the exit code of a command's error; nil counts every error as ExitFailed.
	CodeOf   func(error) int
	Out, Err io.Writer
}

// New returns a program.
func New(config Config) *Program { return &Program{config: config} }

// Run parses the arguments, runs the command, and returns the exit code. The commands' context ends with
// SIGTERM or an interrupt.
func (p *Program) Run(arguments []string) int {
	exited := -1
	parser, err := kong.New(p.config.Commands,
		kong.Name(p.config.Name),
		kong.Description(p.config.Description),
		kong.Writers(p.config.Out, p.config.Err),
		kong.Exit(func(code int) { exited = code }))
	if err != nil {
		return p.fail(err, ExitFailed)
	}
	parsed, err := parser.Parse(arguments)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		return p.fail(err, ExitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	if err := parsed.Run(p.config.Bind()...); err != nil {
		return p.fail(err, p.codeOf(err))
	}
	return ExitOK
}

func (p *Program) codeOf(err error) int {
	if p.config.CodeOf == nil {
		return ExitFailed
	}
	return p.config.CodeOf(err)
}

func (p *Program) fail(err error, code int) int {
	_, _ = fmt.Fprintf(p.config.Err, "%s: %v\n", p.config.Name, err)
	return code
}
