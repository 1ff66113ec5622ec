// Package twcommand implements the command line of turmericwalld: serve runs the daemon, check validates a settings
// file, and version prints the build.
package twcommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/jonboulle/clockwork"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/operations/twdaemon"
	"github.com/turmericwall/turmericwall/internal/operations/twprogram"
	"github.com/turmericwall/turmericwall/internal/operations/twsettings"
)

// Commands defines the subcommands and their flags.
type Commands struct {
	Serve   serve   `cmd:"" help:"Serve requests until SIGTERM, then finish those in flight and exit."`
	Check   check   `cmd:"" help:"Check a settings file and exit."`
	Version version `cmd:"" help:"Print the version and exit."`
}

type serve struct {
	Settings string `required:"" type:"path" help:"Settings file, JSON with comments."`
}

type check struct {
	Settings string `required:"" type:"path" help:"Settings file, JSON with comments."`
}

type version struct{}

// streams holds the writer for the output of commands.
type streams struct{ out io.Writer }

// Run parses the arguments, runs the command, and returns the exit code.
func Run(arguments []string, out, errOut io.Writer) int {
	return twprogram.New(twprogram.Config{
		Name:        "turmericwalld",
		Description: "The daemon of turmericwall. Exit codes: 0 success, 1 failure, 2 invalid flags or settings.",
		Commands:    &Commands{},
		Bind:        func() []any { return []any{&streams{out: out}} },
		ExitCode:    exitCodeOf,
		Out:         out,
		Err:         errOut,
	}).Run(arguments)
}

// Run serves until SIGTERM or an interrupt, and then drains. Further signals have no effect, because a drain lets every
// request in flight finish.
func (s *serve) Run(ctx context.Context, out *streams) error {
	settings, err := twsettings.Load(s.Settings)
	if err != nil {
		return err
	}
	daemon, err := twdaemon.New(twdaemon.Config{Settings: settings, Output: out.out, Clock: clockwork.NewRealClock()})
	if err != nil {
		return err
	}
	return daemon.Run(ctx)
}

// Run validates the settings file without starting a daemon.
func (c *check) Run(out *streams) error {
	settings, err := twsettings.Load(c.Settings)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out.out, "settings of daemon %s in %s are valid\n", settings.Name, settings.Environment)
	return err
}

// Run prints the module version and the Go version of the build.
func (version) Run(out *streams) error {
	info, _ := debug.ReadBuildInfo()
	_, err := fmt.Fprintf(out.out, "turmericwalld %s, %s\n", info.Main.Version, info.GoVersion)
	return err
}

// exitCodeOf returns ExitUsage for invalid or missing settings, and ExitFailed for any other error.
func exitCodeOf(err error) int {
	if turmericwall.IsKind(err, turmericwall.KindInvalidSettings) || errors.Is(err, os.ErrNotExist) {
		return twprogram.ExitUsage
	}
	return twprogram.ExitFailed
}
