// Package twcommand is the daemon's command line.
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

// Commands is the command line's grammar.
type Commands struct {
	Serve   serve   `cmd:"" help:"Serve callers until SIGTERM, then finish what is under way."`
	Check   check   `cmd:"" help:"Check the settings and exit."`
	Version version `cmd:"" help:"Print the version and exit."`
}

type serve struct {
	Settings string `required:"" type:"path" help:"Settings file, JSON with comments."`
}

type check struct {
	Settings string `required:"" type:"path" help:"Settings file, JSON with comments."`
}

type version struct{}

// streams are where commands write.
type streams struct{ out io.Writer }

// Run runs the command line and returns the exit code.
func Run(arguments []string, out, errOut io.Writer) int {
	return twprogram.New(twprogram.Config{
		Name:        "turmericwalld",
		Description: "The daemon of turmericwall. Exit codes: 0 done, 1 failed, 2 wrong flags or settings.",
		Commands:    &Commands{},
		Bind:        func() []any { return []any{&streams{out: out}} },
		CodeOf:      codeOf,
		Out:         out,
		Err:         errOut,
	}).Run(arguments)
}

// Run serves until a signal; further signals change nothing, since a drain cuts no request.
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

// Run checks the settings.
func (c *check) Run(out *streams) error {
	settings, err := twsettings.Load(c.Settings)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out.out, "settings of daemon %s in %s are valid\n", settings.Name, settings.Environment)
	return err
}

// Run prints the version.
func (version) Run(out *streams) error {
	info, _ := debug.ReadBuildInfo()
	_, err := fmt.Fprintf(out.out, "turmericwalld %s, %s\n", info.Main.Version, info.GoVersion)
	return err
}

func codeOf(err error) int {
	if turmericwall.IsKind(err, turmericwall.KindInvalidSettings) || errors.Is(err, os.ErrNotExist) {
		return twprogram.ExitUsage
	}
	return twprogram.ExitFailed
}
