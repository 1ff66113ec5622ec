package twcompare

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	pictureWidth  = 16 * vg.Centimeter
	pictureHeight = 10 * vg.Centimeter
)

// drawGoodput writes a plot of the goodput of each policy, as a share of the offered requests, against the level of
// load.
func drawGoodput(path, deployment string, rows []row) error {
	p := plot.New()
	p.Title.Text = "Goodput within both targets, " + deployment
	p.X.Label.Text = "offered load, times capacity"
	p.Y.Label.Text = "good, % of offered"
	p.Y.Min, p.Y.Max = 0, 105
	p.Legend.Top = false
	lines := make(map[string]plotter.XYs)
	var order []string
	for _, r := range rows {
		if lines[r.policy] == nil {
			order = append(order, r.policy)
		}
		lines[r.policy] = append(lines[r.policy], plotter.XY{X: r.level, Y: 100 * r.good})
	}
	var series []any
	for _, policy := range order {
		series = append(series, policy, lines[policy])
	}
	if err := plotutil.AddLinePoints(p, series...); err != nil {
		return fmt.Errorf("plot the policies: %w", err)
	}
	if err := p.Save(pictureWidth, pictureHeight, path); err != nil {
		return fmt.Errorf("write the picture, check --folder: %w", err)
	}
	return nil
}
