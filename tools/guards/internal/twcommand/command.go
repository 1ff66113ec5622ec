// Package twcommand is the command line of the guards program.
package twcommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"

	"github.com/turmericwall/turmericwall/tools/guards/internal/twtrial"
)

// patches is the folder of the patches, seen from the root of the tree.
const patches = "tools/guards"

// Run runs the command in the root of the tree and returns its exit code: 1 if a patch isn't as it must be, 2 if that isn't known.
func Run(arguments []string, out, errors io.Writer) int {
	flags := flag.NewFlagSet("guards", flag.ContinueOnError)
	flags.SetOutput(errors)
	check := flags.Bool("check", false, "only check that the patches apply")
	folder := flags.String("folder", "", "where the tree is copied to; the system's folder for temporary files if empty")
	flags.Usage = func() {
		fmt.Fprintln(errors, "usage, in the root of the tree: go run ./tools/guards [-check] [-folder FOLDER] [NAME ...]")
		flags.PrintDefaults()
	}
	if err := flags.Parse(arguments); err != nil {
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	trial, err := twtrial.New(twtrial.Config{Root: ".", Patches: patches, Names: flags.Args(), Folder: *folder, Output: out})
	isSound := false
	if err == nil && *check {
		isSound, err = trial.Check(ctx)
	} else if err == nil {
		isSound, err = trial.Run(ctx)
	}
	switch {
	case err != nil:
		fmt.Fprintln(errors, "guards:", err)
		return 2
	case !isSound:
		return 1
	}
	return 0
}
