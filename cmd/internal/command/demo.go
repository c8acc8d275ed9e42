package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"guavacrank.example/bench/demo"
)

// defaultDemoFile is the configuration of the demo, from the repository's root.
const defaultDemoFile = "examples/verhaegen.yaml"

// demoFlags are the flags of the demo.
type demoFlags struct {
	output *outputFlag
	file   string
	length time.Duration
	load   bool
	faults string
	rate   int
	vms    int
	seed   uint64
	events bool
}

func demoCommand() Command {
	return Command{
		Name:    "demo",
		Summary: "Run the whole system in this process, with stand-ins on loopback ports",
		Examples: []string{
			"guavacrankctl demo                        # until Ctrl-C; prints curl lines to try",
			"guavacrankctl demo -for 10s -load",
			"guavacrankctl demo -for 12s -load -fault server@2s,vm@4s,store@5s-8s,freeze:cat-3@3s-6s",
		},
		Setup: func(flags *flag.FlagSet) Run {
			options := demoFlags{output: addOutput(flags)}
			flags.StringVar(&options.file, "config", defaultDemoFile, "configuration `FILE` to apply; addresses are replaced by loopback ports")
			flags.DurationVar(&options.length, "for", 0, "how long to run (default: until Ctrl-C, with -load 10s)")
			flags.BoolVar(&options.load, "load", false, "drive requests, and judge the outcome by the stand-ins' records")
			flags.StringVar(&options.faults, "fault", "", "`LIST` of KIND[:NAME]@START[-END], KIND being server, vm, store, slow, replies, lapse, stop, cutoff, drain or freeze; needs -load")
			flags.IntVar(&options.rate, "rate", demo.DefaultRate, "requests a second")
			flags.IntVar(&options.vms, "vms", demo.DefaultVMs, "number of entry VMs")
			flags.Uint64Var(&options.seed, "seed", 1, "`number` from which the load draws")
			flags.BoolVar(&options.events, "events", false, "print the daemons' numbered events")
			return func(ctx context.Context, env *Environment, args []string) error {
				if err := arguments(args); err != nil {
					return err
				}
				return options.run(ctx, env)
			}
		},
	}
}

// run runs the demo and prints its summary. A broken promise is a failure.
func (f *demoFlags) run(ctx context.Context, env *Environment) error {
	options, err := f.options(env)
	if err != nil {
		return err
	}
	summary, err := demo.Run(ctx, options)
	return printSummary(env, f.output, summary, err)
}

// printSummary prints the summary of a load, if there was one, and returns the
// error of the run.
func printSummary(env *Environment, output *outputFlag, summary demo.Summary, err error) error {
	if summary.Requests == 0 {
		return err
	}
	printErr := output.print(env.Stdout, summary, func(w io.Writer) { summary.Print(w) })
	return errors.Join(err, printErr)
}

func (f *demoFlags) options(env *Environment) (demo.Options, error) {
	if f.rate <= 0 || f.vms <= 0 || f.length < 0 {
		return demo.Options{}, badUse("-rate, -vms and -for must be positive")
	}
	if f.faults != "" && !f.load {
		return demo.Options{}, badUse("-fault needs -load")
	}
	length := f.length
	if f.load && length == 0 {
		length = demo.DefaultLength
	}
	faults, err := demo.ParseFaults(f.faults, length)
	if err != nil {
		return demo.Options{}, badUse("-fault: %w", err)
	}
	data, err := readFile(env, f.file)
	if err != nil {
		return demo.Options{}, fmt.Errorf("%w: give a configuration with -config", err)
	}
	return demo.Options{
		Name: f.file, Configuration: data, VMs: f.vms, Length: length, Load: f.load,
		LoadOptions: demo.LoadOptions{Rate: f.rate, Seed: f.seed}, Faults: faults, Progress: env.Stderr, Logger: f.logger(env),
	}, nil
}

// logger returns a logger of events on standard error, or nil.
func (f *demoFlags) logger(env *Environment) *zap.Logger {
	if !f.events {
		return nil
	}
	encoder := zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(env.Stderr)), zapcore.InfoLevel))
}
