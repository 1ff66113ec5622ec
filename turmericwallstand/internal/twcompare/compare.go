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

// Compare runs policies in turn, so that a drift of the machine's speed meets all of them alike.
type Compare struct {
	config Config
}

// Config says what is compared.
type Config struct {
	Deployment string
	Policies   []string
	Levels     []float64
	Seeds      int
	// Length is how long requests arrive in each run.
	Length       time.Duration
	Fault        string
	RetryRefused bool
	// From names runs on record, to tabulate and draw again instead of running.
	From string
	// Folder receives the runs as JSON and the picture; empty writes none.
	Folder string
	Output io.Writer
	// Log receives the daemons' logs.
	Log io.Writer
}

// New returns a comparison.
func New(config Config) *Compare { return &Compare{config: config} }

// Run makes all runs and prints the table.
func (c *Compare) Run(ctx context.Context) error {
	runs, err := c.runs(ctx)
	if err != nil {
		return err
	}
	if len(runs) == 0 {
		return fmt.Errorf("no runs: give at least one policy, level and seed")
	}
	rows := tabulate(runs)
	if err := c.print(rows); err != nil {
		return err
	}
	return c.write(runs, rows)
}

// runs makes the runs, or reads those on record.
func (c *Compare) runs(ctx context.Context) ([]Run, error) {
	var runs []Run
	if c.config.From != "" {
		encoded, err := os.ReadFile(c.config.From)
		if err != nil {
			return nil, fmt.Errorf("read the runs on record: %w", err)
		}
		if err := json.Unmarshal(encoded, &runs); err != nil {
			return nil, fmt.Errorf("decode the runs on record: %w", err)
		}
		for i := range runs {
			c.noteRecovery(&runs[i])
		}
		return runs, nil
	}
	for seed := range c.config.Seeds {
		for _, level := range c.config.Levels {
			for _, policy := range c.config.Policies {
				r, err := c.run(ctx, policy, level, uint64(seed+1))
				if err != nil {
					return nil, fmt.Errorf("run %s at %.1f: %w", policy, level, err)
				}
				runs = append(runs, r)
			}
		}
	}
	return runs, nil
}

// row is the mean over the seeds of one policy at one level.
type row struct {
	policy     string
	level      float64
	runs       int
	offered    float64
	good       float64
	goodLow    float64
	goodHigh   float64
	worth      float64
	wasted     float64
	first      float64
	gap        float64
	refused    float64
	failed     float64
	wrong      float64
	deferrable float64
	recovery   float64
	cameBack   float64
	served     float64
	starved    float64
}

type rowKey struct {
	policy string
	level  float64
}

func tabulate(runs []Run) []row {
	byKey := make(map[rowKey]*row)
	var order []rowKey
	for _, r := range runs {
		key := rowKey{r.Policy, r.Level}
		if byKey[key] == nil {
			byKey[key] = &row{policy: r.Policy, level: r.Level, goodLow: 1, starved: 1}
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
	w.first += s.FirstTokenMillis
	w.gap += s.GapMillis
	w.refused += float64(s.Refused)
	w.failed += float64(s.Failed)
	w.wrong += float64(s.Wrong)
	w.deferrable += float64(s.DeferrableAnswered) / float64(max(1, s.Deferrable))
	w.recovery += float64(r.RecoverySeconds)
	w.cameBack += float64(s.Retried)
	w.served += float64(s.RetriesServed)
	for _, k := range s.ByWork {
		w.starved = min(w.starved, float64(k.Good)/float64(max(1, k.Offered)))
	}
}

func (w *row) mean() row {
	n := float64(w.runs)
	m := *w
	for _, f := range []*float64{
		&m.offered, &m.good, &m.worth, &m.wasted, &m.first, &m.gap, &m.refused, &m.failed, &m.wrong, &m.deferrable, &m.recovery, &m.cameBack, &m.served,
	} {
		*f /= n
	}
	return m
}

func (c *Compare) print(rows []row) error {
	table := tabwriter.NewWriter(c.config.Output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "deployment %s, fault %q, %s of arrivals, %d seeds\n", c.config.Deployment, c.config.Fault, c.config.Length, rows[0].runs)
	_, _ = fmt.Fprintln(table, "level\tpolicy\toffered\tgood\t(min-max)\tworth\tworst kind\twasted prefill\tfirst p95 ms\tgap p95 ms\trefused\tfailed\twrong\tdeferrable\trecovery s\tserved on return")
	for _, r := range rows {
		_, _ = fmt.Fprintf(table, "%.1f\t%s\t%.0f\t%.1f%%\t%.1f-%.1f\t%.1f%%\t%.0f%%\t%.2f%%\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f%%\t%.1f\t%.0f of %.0f\n",
			r.level, r.policy, r.offered, 100*r.good, 100*r.goodLow, 100*r.goodHigh, 100*r.worth, 100*r.starved, 100*r.wasted,
			r.first, r.gap, r.refused, r.failed, r.wrong, 100*r.deferrable, r.recovery, r.served, r.cameBack)
	}
	return table.Flush()
}

const filePermission = 0o644

func (c *Compare) write(runs []Run, rows []row) error {
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
		return fmt.Errorf("write the runs, check the folder: %w", err)
	}
	return draw(filepath.Join(c.config.Folder, name+".png"), c.config.Deployment, rows)
}
