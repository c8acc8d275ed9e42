package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"path/filepath"
	"time"

	"guavacrank.example/platform/soak"
)

// errViolations says that a soak found broken promises.
var errViolations = errors.New("promises were broken; the logs are kept")

func soakCommand() Command {
	return Command{
		Name:    "soak",
		Summary: "Run gateway processes under random faults and check what callers and backend servers see",
		Examples: []string{
			"guavacrankctl soak -command target/guavacrankd -seed 7",
			"guavacrankctl soak -command target/guavacrankd -seed 1 -seeds 50 -for 15s",
		},
		Setup: func(flags *flag.FlagSet) Run {
			options := soak.Options{}
			output := addOutput(flags)
			flags.StringVar(&options.Command, "command", "target/guavacrankd", "`path` of the gateway's program")
			flags.StringVar(&options.Directory, "dir", "soak-logs", "`folder` for the logs and settings of the processes, one folder for each seed")
			flags.Uint64Var(&options.Seed, "seed", 1, "`number` of the first plan")
			seeds := flags.Int("seeds", 1, "`number` of plans, one after the other")
			flags.DurationVar(&options.Duration, "for", 15*time.Second, "time of the faults of each plan")
			flags.StringVar(&options.FaultName, "faults", "", "inject only faults whose name contains this `text`, for example \"restored\"")
			flags.IntVar(&options.Processes, "processes", 4, "number of gateways")
			return func(ctx context.Context, env *Environment, args []string) error {
				if err := arguments(args); err != nil {
					return err
				}
				return runSoak(ctx, env, options, *seeds, output)
			}
		},
	}
}

// runSoak plays the seeds and prints each report.
func runSoak(ctx context.Context, env *Environment, options soak.Options, seeds int, output *outputFlag) error {
	folder, broken := options.Directory, false
	for range seeds {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		options.Directory = filepath.Join(folder, fmt.Sprint(options.Seed))
		report, err := soak.Run(options)
		if err != nil {
			return fmt.Errorf("seed %d: %w", options.Seed, err)
		}
		err = output.print(env.Stdout, report, func(w io.Writer) {
			fmt.Fprintln(w, report)
			for _, violation := range report.Violations {
				fmt.Fprintln(w, "  "+violation)
			}
		})
		if err != nil {
			return err
		}
		broken = broken || len(report.Violations) > 0
		options.Seed++
	}
	if broken {
		return errViolations
	}
	return nil
}
