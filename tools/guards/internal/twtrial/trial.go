// Package twtrial takes guards out of a copy of the tree, and runs the test that each is for.
//
// A test that passes without its guard has been disarmed. One that fails with it shows nothing, so that each test is run on the code as it
// is first.
package twtrial

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
)

// The verdicts on a patch. Only the first two are as they must be.
const (
	verdictApplies      = "applies"
	verdictFails        = "fails as it must"
	verdictPasses       = "STILL PASSES"
	verdictFailsAnyway  = "DOES NOT PASS WITH THE GUARD"
	verdictOtherReason  = "FAILS FOR ANOTHER REASON"
	verdictDoesNotApply = "DOES NOT APPLY"
	verdictNotCompiled  = "DOES NOT COMPILE"
	verdictNotRun       = "TEST NOT RUN TO ITS END"
)

// Config configures a Trial.
type Config struct {
	// Root is the tree, a git work tree, and Patches the folder of the patches.
	Root, Patches string
	// Names are those of the patches to try; all of them if there are none.
	Names []string
	// Folder is where the tree is copied to; the system's folder for temporary files if it is empty.
	Folder string
	// Output receives the table, and the output of tests that aren't as they must be.
	Output io.Writer
}

// Trial tries patches.
type Trial struct {
	config  Config
	patches []patch
}

// New reads the patches.
func New(config Config) (*Trial, error) {
	patches, err := readPatches(config.Patches, config.Names)
	if err != nil {
		return nil, err
	}
	return &Trial{config: config, patches: patches}, nil
}

// Check reports whether all patches apply to the tree.
func (t *Trial) Check(ctx context.Context) (bool, error) {
	return t.report(func(p patch) (string, error) {
		output, err := runIn(ctx, t.config.Root, "git", "apply", "--check", p.path)
		if err != nil {
			_, _ = fmt.Fprintf(t.config.Output, "%s\n", output)
			return verdictDoesNotApply, ctx.Err()
		}
		return verdictApplies, nil
	})
}

// Run reports whether the test of each patch fails with it, and passes without.
func (t *Trial) Run(ctx context.Context) (isSound bool, err error) {
	folder, err := os.MkdirTemp(t.config.Folder, "guards")
	if err != nil {
		return false, fmt.Errorf("make a folder for the copy: %w", err)
	}
	defer func() { err = errors.Join(err, os.RemoveAll(folder)) }()
	c, err := newTree(ctx, t.config.Root, folder)
	if err != nil {
		return false, err
	}
	// Tests are run with their guards first, all of them: several patches may name one test.
	passes := make(map[string]bool)
	for _, p := range t.patches {
		if _, ok := passes[p.test.key()]; ok {
			continue
		}
		verdict, output, err := c.runTest(ctx, p.test)
		if err != nil {
			return false, err
		}
		passes[p.test.key()] = verdict == verdictPasses
		if verdict != verdictPasses {
			_, _ = fmt.Fprintf(t.config.Output, "%s, as the code is:\n%s\n", p.test.key(), output)
		}
	}
	return t.report(func(p patch) (string, error) {
		if !passes[p.test.key()] {
			return verdictFailsAnyway, nil
		}
		verdict, output, err := c.try(ctx, p)
		if verdict != verdictFails {
			_, _ = fmt.Fprintf(t.config.Output, "%s:\n%s\n", p.name, output)
		}
		return verdict, err
	})
}

// report judges each patch, writes the table, and reports whether all are as they must be.
func (t *Trial) report(judge func(p patch) (string, error)) (bool, error) {
	counts := make(map[string]int)
	table := tabwriter.NewWriter(t.config.Output, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "patch\tresult\ttest\tguard\n")
	for _, p := range t.patches {
		verdict, err := judge(p)
		if err != nil {
			return false, fmt.Errorf("try %s: %w", p.name, err)
		}
		counts[verdict]++
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", p.name, verdict, p.test.key(), p.guard)
	}
	err := table.Flush()
	sound := counts[verdictApplies] + counts[verdictFails]
	_, _ = fmt.Fprintf(t.config.Output, "%d of %d as they must be\n", sound, len(t.patches))
	return sound == len(t.patches), err
}
