// Package twmeasure measures how a daemon's cost grows with the numbers of daemons, engines, accounts, claims and
// waiting calls. Each part runs complete sites in this process, prints its points, and fits a line to each series.
package twmeasure

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"syscall"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Measure runs the measurements on which docs/CAPACITY.md is based.
type Measure struct {
	config Config
}

// Config selects the parts to measure.
type Config struct {
	// Parts names the parts to measure, in order: any of members, engines, placements, document, claims, waiting and
	// overhead.
	Parts []string
	// Length is the time for which each point is measured.
	Length time.Duration
	Output io.Writer
}

// New returns a measurement.
func New(config Config) *Measure { return &Measure{config: config} }

// Run measures the parts and prints their points. It returns an error for an unknown part and for the first part that
// fails.
func (m *Measure) Run(ctx context.Context) error {
	parts := map[string]func(context.Context) error{
		"members": m.measureMembers, "engines": m.measureEngines, "placements": m.measurePlacements,
		"document": m.measureDocument, "claims": m.measureClaims, "waiting": m.measureWaiting,
		"overhead": m.measureOverhead,
	}
	for _, name := range m.config.Parts {
		part, ok := parts[name]
		if !ok {
			return fmt.Errorf("no part %q; use members, engines, placements, document, claims, waiting or overhead", name)
		}
		if err := part(ctx); err != nil {
			return fmt.Errorf("measure %s: %w", name, err)
		}
	}
	return nil
}

// series is one measured quantity over the points of a part: x is the part's size, y the value.
type series struct {
	name string
	unit string
	x    []float64
	y    []float64
}

func (s *series) add(x, y float64) {
	s.x = append(s.x, x)
	s.y = append(s.y, y)
}

// printSeries prints the points of the series as a table, with the fitted line of each and its coefficient of
// determination.
func (m *Measure) printSeries(title, x string, all ...*series) error {
	table := tabwriter.NewWriter(m.config.Output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "%s\n", title)
	_, _ = fmt.Fprintf(table, "%s", x)
	for _, s := range all {
		_, _ = fmt.Fprintf(table, "\t%s, %s", s.name, s.unit)
	}
	_, _ = fmt.Fprintln(table)
	for i := range all[0].x {
		_, _ = fmt.Fprintf(table, "%g", all[0].x[i])
		for _, s := range all {
			_, _ = fmt.Fprintf(table, "\t%.4g", s.y[i])
		}
		_, _ = fmt.Fprintln(table)
	}
	for _, label := range []string{"at zero", "slope", "R squared"} {
		_, _ = fmt.Fprint(table, label)
		for _, s := range all {
			_, _ = fmt.Fprintf(table, "\t%.4g", s.fit(label))
		}
		_, _ = fmt.Fprintln(table)
	}
	_, _ = fmt.Fprintln(table)
	return table.Flush()
}

// fit returns the parameter of the linear regression that the label names.
func (s *series) fit(label string) float64 {
	offset, slope := stat.LinearRegression(s.x, s.y, nil, false)
	switch label {
	case "at zero":
		return offset
	case "slope":
		return slope
	default:
		return stat.RSquared(s.x, s.y, nil, offset, slope)
	}
}

// processorTime returns the processor time that the process has used so far, or 0 if it can't be read.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveMemoryBytes returns the bytes of heap and stacks in use after a garbage collection.
func liveMemoryBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// sleep waits for the span, or returns the error of ctx if that ends first.
func sleep(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
