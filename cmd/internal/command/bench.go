package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"
	"strings"

	"guavacrank.example/bench/plot"
	"guavacrank.example/bench/report"
	"guavacrank.example/bench/suite"
)

// allBenchmarks names every benchmark together.
const allBenchmarks = "all"

func benchCommand() Command {
	return Command{
		Name:      "bench",
		Arguments: "NAME|all",
		Summary:   "Measure, and compare with the stated targets: " + strings.Join(benchmarkNames(), ", "),
		Examples: []string{
			"guavacrankctl bench placement",
			"guavacrankctl bench all -output json",
			"guavacrankctl bench placement -plot plots",
		},
		Setup: func(flags *flag.FlagSet) Run {
			output := addOutput(flags)
			options := benchOptions{output: output}
			flags.Uint64Var(&options.seed, "seed", 1, "`number` from which the benchmarks draw")
			flags.StringVar(&options.plots, "plot", "", "`directory` for SVG plots of the figures")
			return func(ctx context.Context, env *Environment, args []string) error {
				return runBenchmarks(ctx, env, args, options)
			}
		},
	}
}

// benchOptions are the flags of bench.
type benchOptions struct {
	output *outputFlag
	seed   uint64
	plots  string // Directory; empty: none.
}

func benchmarkNames() []string {
	var names []string
	for _, benchmark := range suite.All() {
		names = append(names, benchmark.Name)
	}
	return names
}

// runBenchmarks runs what the argument names and prints the reports. It fails
// if a target was missed.
func runBenchmarks(ctx context.Context, env *Environment, args []string, options benchOptions) error {
	if err := arguments(args, "NAME"); err != nil {
		return err
	}
	chosen := chooseBenchmarks(args[0])
	if len(chosen) == 0 {
		return badUse("no benchmark %q; there are %s and all", args[0], strings.Join(benchmarkNames(), ", "))
	}
	var reports []report.Report
	missed := 0
	for i, benchmark := range chosen {
		fmt.Fprintf(env.Stderr, "bench %s (%d of %d)\n", benchmark.Name, i+1, len(chosen))
		result, err := benchmark.Run(ctx, options.seed)
		if err != nil {
			return fmt.Errorf("bench %s: %w", benchmark.Name, err)
		}
		reports = append(reports, result)
		missed += len(result.Missed())
	}
	if err := options.output.print(env.Stdout, reports, func(w io.Writer) { printReports(w, reports) }); err != nil {
		return err
	}
	if err := drawPlots(env, options.plots, reports); err != nil {
		return err
	}
	if missed > 0 {
		return fmt.Errorf("%d targets missed", missed)
	}
	return nil
}

// drawPlots draws the reports into a directory, if one was given.
func drawPlots(env *Environment, dir string, reports []report.Report) error {
	if dir == "" {
		return nil
	}
	files, err := plot.Write(dir, reports)
	for _, file := range files {
		fmt.Fprintln(env.Stderr, "plot", file)
	}
	return err
}

func chooseBenchmarks(name string) []suite.Benchmark {
	var chosen []suite.Benchmark
	for _, benchmark := range suite.All() {
		if name == allBenchmarks || name == benchmark.Name {
			chosen = append(chosen, benchmark)
		}
	}
	return chosen
}

func printReports(w io.Writer, reports []report.Report) {
	row(w, "NAME", "POLICY", "VALUE", "UNIT", "TARGET", "MET")
	for _, result := range reports {
		for _, figure := range result.Rows {
			row(w, figure.Name, figure.Policy, formatFigure(figure.Value), figure.Unit, formatTarget(figure), formatMet(figure))
		}
	}
}

func formatFigure(value float64) string {
	const digits = 4
	return strconv.FormatFloat(value, 'g', digits, 64)
}

func formatTarget(figure report.Row) string {
	switch figure.Bound {
	case "max":
		return "<= " + formatFigure(figure.Target)
	case "min":
		return ">= " + formatFigure(figure.Target)
	default:
		return ""
	}
}

func formatMet(figure report.Row) string {
	switch {
	case figure.Bound == "":
		return ""
	case figure.Met():
		return "yes"
	default:
		return "MISSED"
	}
}
