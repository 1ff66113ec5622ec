// Package twcommand implements turmericwallctl, the operators' command line: it checks, applies and promotes documents
// through the platform's table, and reads the status of daemons from their operators' listeners.
package twcommand

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"text/tabwriter"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/document/twpublisher"
	"github.com/turmericwall/turmericwall/internal/operations/twprogram"
	"github.com/turmericwall/turmericwall/internal/platform/twhttp"
	"github.com/turmericwall/turmericwall/internal/platform/twtable"
)

// Exit codes beyond those that all programs share.
const (
	// exitConflict reports that another operator changed the environment first.
	exitConflict = 3
	// exitConditionNotMet reports that the command ran, but found a difference or a daemon that is not as expected.
	exitConditionNotMet = 4
)

const description = `The operators' command line of turmericwall.

Exit codes: 0 success; 1 failure; 2 invalid flags or an invalid document; 3 another operator was first;
4 a difference, or a daemon that is not ready or not at the expected revision.`

// Commands defines the subcommands and their flags.
type Commands struct {
	JSON bool `name:"json" help:"Write JSON for scripts instead of tables."`

	Check   check   `cmd:"" help:"Check a document without applying it."`
	Diff    diff    `cmd:"" help:"Compare a document with the revision in force."`
	Apply   apply   `cmd:"" help:"Apply a document as the next revision of an environment."`
	Prove   prove   `cmd:"" help:"Record that the document in force answers requests on all daemons."`
	Promote promote `cmd:"" help:"Apply the document proved in one environment to another, byte for byte."`
	History history `cmd:"" help:"List the revisions of an environment."`
	Status  status  `cmd:"" help:"Show the status of daemons."`
	Drain   drain   `cmd:"" help:"Ask a daemon to finish its requests in flight and exit."`
	Explain explain `cmd:"" help:"Show the logged decisions for one request."`
}

// output writes results as tables, or as JSON for scripts.
type output struct {
	out  io.Writer
	json bool
}

// environmentFlags identify an environment on one platform.
type environmentFlags struct {
	Platform    string `required:"" env:"TURMERICWALL_PLATFORM" help:"Base URL of the platform's service."`
	Environment string `required:"" env:"TURMERICWALL_ENVIRONMENT" help:"Environment, such as trial or production."`
}

// operationsFlags list the daemons to call.
type operationsFlags struct {
	Daemons []string `required:"" env:"TURMERICWALL_DAEMONS" help:"Operators' listeners of the daemons, as IP:port."`
}

// Run parses the arguments, runs the command, and returns the exit code.
func Run(arguments []string, out, errOut io.Writer) int {
	commands := &Commands{}
	return twprogram.New(twprogram.Config{
		Name:        "turmericwallctl",
		Description: description,
		Commands:    commands,
		Bind:        func() []any { return []any{&output{out: out, json: commands.JSON}} },
		ExitCode:    exitCodeOf,
		Out:         out,
		Err:         errOut,
	}).Run(arguments)
}

func (e environmentFlags) publisher() *twpublisher.Publisher {
	table := twtable.New(twhttp.New(twhttp.Config{Address: e.Platform}))
	return twpublisher.New(twpublisher.Config{Table: table, Environment: e.Environment})
}

// write prints the value as JSON, or the rows as a table with aligned columns.
func (o *output) write(value any, rows ...[]any) error {
	if o.json {
		encoder := json.NewEncoder(o.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	table := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				_, _ = fmt.Fprint(table, "\t")
			}
			_, _ = fmt.Fprint(table, cell)
		}
		_, _ = fmt.Fprintln(table)
	}
	return table.Flush()
}

// operatorName returns the name of the current user, which the history of an environment records.
func operatorName() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}

// errConditionNotMet marks a command that ran but did not find the state that it asks for, so that scripts can tell
// this from a failure by the exit code.
var errConditionNotMet = errors.New("condition not met")

// exitCodeOf maps a command's error to the exit code.
func exitCodeOf(err error) int {
	switch {
	case errors.Is(err, errConditionNotMet):
		return exitConditionNotMet
	case turmericwall.IsKind(err, turmericwall.KindConflict):
		return exitConflict
	case turmericwall.IsKind(err, turmericwall.KindInvalidDocument), errors.Is(err, os.ErrNotExist):
		return twprogram.ExitUsage
	default:
		return twprogram.ExitFailed
	}
}
