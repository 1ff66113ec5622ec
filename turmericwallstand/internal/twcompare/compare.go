package twcompare

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"text/tabwriter"
	"time"
)

// Compare runs the policies alternately, so that a change of the machine's speed affects all of them alike.
type Compare struct {
	config Config
}

// Config sets the policies to compare, and the load and fault of the runs.
type Config struct {
	Deployment string
	Policies   []string
	// Levels are the levels of offered load, as multiples of the capacity.
	Levels []float64
	// Seeds is the number of runs of each policy at each level.
	Seeds int
	// Length is the time during which requests arrive in each run.
	Length time.Duration
	// Fault is the fault in the middle of each run.
	Fault string
	// RetryRefused sends each refused request once more, at the retry time that the refusal states.
	RetryRefused bool
	// From is a file of recorded runs, to tabulate and draw again instead of running.
	From string
	// Folder is the folder for the runs as JSON and for the picture; empty writes neither.
	Folder string
	Output io.Writer
	// Log receives the daemons' logs.
	Log io.Writer
}

// New returns a comparison.
func New(config Config) *Compare { return &Compare{config: config} }

// Run makes all runs or reads the recorded ones, prints the table, and writes the files if there is a folder.
func (c *Compare) Run(ctx context.Context) error {
	runs, err := c.collectRuns(ctx)
	if err != nil {
		return err
	}
	if len(runs) == 0 {
		return fmt.Errorf("no runs: give at least one policy, one level and one seed")
	}
	rows := tabulate(runs)
	if err := c.printTable(rows); err != nil {
		return err
	}
	return c.writeFiles(runs, rows)
}

// collectRuns makes the runs, or reads the recorded ones and evaluates their recovery again.
func (c *Compare) collectRuns(ctx context.Context) ([]Run, error) {
	var runs []Run
	if c.config.From != "" {
		encoded, err := os.ReadFile(c.config.From)
		if err != nil {
			return nil, fmt.Errorf("read the recorded runs, check --from: %w", err)
		}
		if err := json.Unmarshal(encoded, &runs); err != nil {
			return nil, fmt.Errorf("decode the recorded runs, check --from: %w", err)
		}
		for i := range runs {
			c.setRecovery(&runs[i])
		}
		return runs, nil
	}
	for seed := range c.config.Seeds {
		for _, level := range c.config.Levels {
			for _, policy := range c.config.Policies {
				r, err := c.run(ctx, policy, level, uint64(seed+1))
				if err != nil {
					return nil, fmt.Errorf("run policy %s at level %.1f: %w", policy, level, err)
				}
				runs = append(runs, r)
			}
		}
	}
	return runs, nil
}

// row sums the runs of one policy at one level, or is their mean over the seeds. Good, worth, wasted, deferrable and
// worstKind are shares; goodLow and goodHigh are the extremes over the seeds, and worstKind is the lowest share of good
// requests of any kind of work.
type row struct {
	policy           string
	level            float64
	runs             int
	offered          float64
	good             float64
	goodLow          float64
	goodHigh         float64
	worth            float64
	wasted           float64
	firstTokenMillis float64
	gapMillis        float64
	refused          float64
	failed           float64
	wrong            float64
	deferrable       float64
	recovery         float64
	retried          float64
	retriesServed    float64
	worstKind        float64
}

type rowKey struct {
	policy string
	level  float64
}

// tabulate returns a row for each policy and level, ordered by level.
func tabulate(runs []Run) []row {
	byKey := make(map[rowKey]*row)
	var order []rowKey
	for _, r := range runs {
		key := rowKey{r.Policy, r.Level}
		if byKey[key] == nil {
			byKey[key] = &row{policy: r.Policy, level: r.Level, goodLow: 1, worstKind: 1}
			order = append(order, key)
		}
		byKey[key].add(r)
	}
	sort.SliceStable(order, func(i, j int) bool { return order[i].level < order[j].level })
	rows := make([]row, 0, len(order))
	for _, key := range order {
		rows = append(rows, byKey[key].mean())
	}
	return rows
}

func (w *row) add(r Run) {
	s := r.Summary
	share := float64(s.Good) / float64(max(1, s.Offered))
	w.runs++
	w.offered += float64(s.Offered)
	w.good += share
	w.goodLow, w.goodHigh = min(w.goodLow, share), max(w.goodHigh, share)
	w.worth += s.GoodWorth / max(1, s.OfferedWorth)
	w.wasted += float64(r.WastedTokens) / float64(max(1, r.ComputedTokens))
	w.firstTokenMillis += s.FirstTokenMillis
	w.gapMillis += s.GapMillis
	w.refused += float64(s.Refused)
	w.failed += float64(s.Failed)
	w.wrong += float64(s.Wrong)
	w.deferrable += float64(s.DeferrableAnswered) / float64(max(1, s.Deferrable))
	w.recovery += float64(r.RecoverySeconds)
	w.retried += float64(s.Retried)
	w.retriesServed += float64(s.RetriesServed)
	for _, k := range s.ByWork {
		w.worstKind = min(w.worstKind, float64(k.Good)/float64(max(1, k.Offered)))
	}
}

// mean returns the row with its sums divided by the number of runs.
func (w *row) mean() row {
	n := float64(w.runs)
	m := *w
	for _, f := range []*float64{
		&m.offered, &m.good, &m.worth, &m.wasted, &m.firstTokenMillis, &m.gapMillis,
		&m.refused, &m.failed, &m.wrong, &m.deferrable, &m.recovery, &m.retried, &m.retriesServed,
	} {
		*f /= n
	}
	return m
}

func (c *Compare) printTable(rows []row) error {
	table := tabwriter.NewWriter(c.config.Output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "deployment %s, fault %q, %s of arrivals, %d seeds\n", c.config.Deployment, c.config.Fault, c.config.Length, rows[0].runs)
	_, _ = fmt.Fprintln(table, "level\tpolicy\toffered\tgood\t(min-max)\tworth\tworst kind\twasted prefill\tfirst p95 ms\tgap p95 ms\trefused\tfailed\twrong\tdeferrable\trecovery s\tserved on return")
	for _, r := range rows {
		_, _ = fmt.Fprintf(table, "%.1f\t%s\t%.0f\t%.1f%%\t%.1f-%.1f\t%.1f%%\t%.0f%%\t%.2f%%\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f%%\t%.1f\t%.0f of %.0f\n",
			r.level, r.policy, r.offered, 100*r.good, 100*r.goodLow, 100*r.goodHigh, 100*r.worth,
			100*r.worstKind, 100*r.wasted, r.firstTokenMillis, r.gapMillis, r.refused, r.failed, r.wrong,
			100*r.deferrable, r.recovery, r.retriesServed, r.retried)
	}
	return table.Flush()
}

const filePermission = 0o644

func (c *Compare) writeFiles(runs []Run, rows []row) error {
	if c.config.Folder == "" {
		return nil
	}
	encoded, err := json.MarshalIndent(runs, "", " ")
	if err != nil {
		return fmt.Errorf("encode the runs: %w", err)
	}
	name := c.config.Deployment
	if c.config.Fault != FaultNone {
		name += "-" + c.config.Fault
	}
	if err := os.WriteFile(filepath.Join(c.config.Folder, name+".json"), encoded, filePermission); err != nil {
		return fmt.Errorf("write the runs, check --folder: %w", err)
	}
	return drawGoodput(filepath.Join(c.config.Folder, name+".png"), c.config.Deployment, rows)
}
