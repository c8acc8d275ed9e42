// Package plot draws the reports of benchmarks as SVG files.
//
// Each group of rows with the same unit and the same first two parts of their
// names becomes one file: bars for each figure, one colour for each policy.
package plot

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"

	"guavacrank.example/bench/report"
)

const (
	width    = 24 * vg.Centimeter
	height   = 12 * vg.Centimeter
	barWidth = 8 * vg.Millimeter
	// labelAngle tilts the figures' names so that they do not overlap, in radians.
	labelAngle = 0.35
	// legendRoom raises the y axis above the highest bar, for the legend.
	legendRoom = 1.25
	// unnamedPolicy labels rows without a policy.
	unnamedPolicy = "measured"
)

// chart is one file: figures on the x axis, a bar for each policy.
type chart struct {
	group    string
	unit     string
	figures  []string
	policies []string
	values   map[string]map[string]float64 // By policy, then figure.
}

// Write draws the reports into dir, which is created if it is missing, and
// returns the names of the files.
func Write(dir string, reports []report.Report) ([]string, error) {
	const dirMode = 0o755
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, err
	}
	var files []string
	for _, c := range charts(reports) {
		file := filepath.Join(dir, fileName(c))
		if err := draw(c, file); err != nil {
			return files, fmt.Errorf("plot %s: %w", file, err)
		}
		files = append(files, file)
	}
	return files, nil
}

func fileName(c *chart) string {
	unit := strings.NewReplacer("/", "-per-", " ", "-", "%", "percent").Replace(c.unit)
	return strings.ReplaceAll(c.group, ".", "-") + "-" + unit + ".svg"
}

// charts groups the rows, in the order of their first appearance.
func charts(reports []report.Report) []*chart {
	var all []*chart
	for _, result := range reports {
		for _, row := range result.Rows {
			group, figure := split(row.Name)
			c := find(&all, group, row.Unit)
			c.add(figure, row)
		}
	}
	return all
}

// groupParts is the number of leading parts of a dotted name that form its group.
const groupParts = 2

// split parts a dotted name into its group and its figure.
func split(name string) (group, figure string) {
	parts := strings.Split(name, ".")
	if len(parts) <= groupParts {
		return parts[0], name
	}
	return strings.Join(parts[:groupParts], "."), strings.Join(parts[groupParts:], ".")
}

func find(all *[]*chart, group, unit string) *chart {
	for _, c := range *all {
		if c.group == group && c.unit == unit {
			return c
		}
	}
	c := &chart{group: group, unit: unit, values: make(map[string]map[string]float64)}
	*all = append(*all, c)
	return c
}

func (c *chart) add(figure string, row report.Row) {
	policy := row.Policy
	if policy == "" {
		policy = unnamedPolicy
	}
	if !slices.Contains(c.figures, figure) {
		c.figures = append(c.figures, figure)
	}
	if c.values[policy] == nil {
		c.policies = append(c.policies, policy)
		c.values[policy] = make(map[string]float64)
	}
	c.values[policy][figure] = row.Value
}

func draw(c *chart, file string) error {
	p := plot.New()
	p.Title.Text = c.group
	p.Y.Label.Text = c.unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.NominalX(c.figures...)
	p.X.Tick.Label.Rotation = labelAngle
	p.X.Tick.Label.XAlign = text.XRight
	p.X.Tick.Label.YAlign = text.YTop
	for i, policy := range c.policies {
		bars, err := plotter.NewBarChart(c.valuesOf(policy), barWidth)
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * (vg.Length(i) - vg.Length(len(c.policies)-1)/2)
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.Y.Max *= legendRoom
	return p.Save(width, height, file)
}

// valuesOf returns a policy's values in the order of the figures, zero where
// it has none.
func (c *chart) valuesOf(policy string) plotter.Values {
	values := make(plotter.Values, 0, len(c.figures))
	for _, figure := range c.figures {
		values = append(values, c.values[policy][figure])
	}
	return values
}
