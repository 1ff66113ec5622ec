// Package twcommand is the operators' command line.
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

// Exit codes of its own.
const (
	// exitConflict stands for an operator who was second.
	exitConflict = 3
	// exitDiffers stands for a diff that found differences, and a status that is not in order.
	exitDiffers = 4
)

const description = `The operators' command line of turmericwall.

Exit codes: 0 done; 1 failed; 2 wrong flags or an invalid document; 3 another operator was first;
4 a difference, or a state that is not in order.`

// Commands is the command line's grammar.
type Commands struct {
	JSON bool `name:"json" help:"Write JSON for scripts instead of tables."`

	Check   check   `cmd:"" help:"Check a document."`
	Diff    diff    `cmd:"" help:"Compare a document with the one in force."`
	Apply   apply   `cmd:"" help:"Make a document the next revision of an environment."`
	Prove   prove   `cmd:"" help:"Record that the document in force in trial was proved there."`
	Promote promote `cmd:"" help:"Apply the very bytes proved in one environment to another."`
	History history `cmd:"" help:"List the revisions of an environment."`
	Status  status  `cmd:"" help:"Show the state of daemons."`
	Drain   drain   `cmd:"" help:"Ask a daemon to finish what is under way and to end."`
	Explain explain `cmd:"" help:"Show the decisions made for one request."`
}

// output writes results for people or for scripts.
type output struct {
	out  io.Writer
	json bool
}

// environmentFlags name an environment of one platform.
type environmentFlags struct {
	Platform    string `required:"" env:"TURMERICWALL_PLATFORM" help:"Base URL of the platform's service."`
	Environment string `required:"" env:"TURMERICWALL_ENVIRONMENT" help:"Environment, such as trial or production."`
}

// operationsFlags name the daemons.
type operationsFlags struct {
	Daemons []string `required:"" env:"TURMERICWALL_DAEMONS" help:"Operators' listeners of the daemons, as IP:port."`
}

// Run runs the command line and returns the exit code.
func Run(arguments []string, out, errOut io.Writer) int {
	commands := &Commands{}
	return twprogram.New(twprogram.Config{
		Name:        "turmericwallctl",
		Description: description,
		Commands:    commands,
		Bind:        func() []any { return []any{&output{out: out, json: commands.JSON}} },
		CodeOf:      codeOf,
		Out:         out,
		Err:         errOut,
	}).Run(arguments)
}

func (e environmentFlags) publisher() *twpublisher.Publisher {
	table := twtable.New(twhttp.New(twhttp.Config{Address: e.Platform}))
	return twpublisher.New(twpublisher.Config{Table: table, Environment: e.Environment})
}

// write prints a value as JSON, or the rows as a table.
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

func operator() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}

// errDiffers is a result that scripts can tell from a failure.
var errDiffers = errors.New("not in order")

func codeOf(err error) int {
	switch {
	case errors.Is(err, errDiffers):
		return exitDiffers
	case turmericwall.IsKind(err, turmericwall.KindConflict):
		return exitConflict
	case turmericwall.IsKind(err, turmericwall.KindInvalidDocument), errors.Is(err, os.ErrNotExist):
		return twprogram.ExitUsage
	default:
		return twprogram.ExitFailed
	}
}
