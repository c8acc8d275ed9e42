package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"strings"

	"guavacrank.example/gateway/explore"
)

// errRuleBroken says that a schedule breaks a rule.
var errRuleBroken = errors.New("a schedule breaks a rule")

// gcPercent lets garbage grow to this percentage of what is in use: nearly everything that a
// search allocates lives for one step.
const gcPercent = 400

// megabyte is the unit of the flag -memory.
const megabyte = 1 << 20

func exploreCommand() Command {
	return Command{
		Name:    "explore",
		Summary: "Search the orders of events of a small fleet for one that breaks a rule of ownership",
		Examples: []string{
			"guavacrankctl explore -faults 2 -states 5000000",
			"guavacrankctl explore -faults 3 -for 1h -seed 7 -schedule broken.txt",
			"guavacrankctl explore -play broken.txt",
		},
		Setup: func(flags *flag.FlagSet) Run {
			bounds := explore.DefaultBounds()
			output := addOutput(flags)
			flags.IntVar(&bounds.VMs, "vms", bounds.VMs, "`number` of VMs that may lead, up to 3")
			flags.IntVar(&bounds.Servers, "servers", bounds.Servers, "`number` of backend servers, up to 3")
			flags.IntVar(&bounds.Daemons, "daemons", bounds.Daemons, "`number` of daemons that only report to leaders, up to 30; 0 leaves out majorities")
			flags.IntVar(&bounds.Faults, "faults", bounds.Faults, "greatest `number` of faults in a schedule")
			flags.IntVar(&bounds.Share, "share", bounds.Share, "follow one of this `number` of faults, except the first and the last one of a schedule")
			flags.DurationVar(&bounds.Depth, "depth", bounds.Depth, "longest virtual time of a schedule")
			flags.IntVar(&bounds.States, "states", bounds.States, "greatest `number` of states")
			memory := flags.Int("memory", bounds.MemoryBytes/megabyte, "`megabytes` for remembering states")
			flags.DurationVar(&bounds.Time, "for", 0, "longest time of the search; 0 means no limit")
			flags.Uint64Var(&bounds.Seed, "seed", bounds.Seed, "`number` that chooses the order of the search")
			rules := flags.String("rules", ruleNames(bounds.Rules), "rules to check, as a `list` with commas")
			schedule := flags.String("schedule", "", "`file` for the schedule that breaks a rule (default: standard error)")
			play := flags.String("play", "", "play the schedule in this `file` in place of a search")
			return func(ctx context.Context, env *Environment, args []string) error {
				if err := arguments(args); err != nil {
					return err
				}
				if *play != "" {
					return playSchedule(env, *play)
				}
				bounds.MemoryBytes = *memory * megabyte
				bounds.Rules = parseRules(*rules)
				return runExplore(ctx, env, bounds, *schedule, output)
			}
		},
	}
}

// ruleNames returns the names of rules as the flag takes them.
func ruleNames(rules []explore.Rule) string {
	var names []string
	for _, rule := range rules {
		names = append(names, string(rule))
	}
	return strings.Join(names, ",")
}

func parseRules(names string) []explore.Rule {
	var rules []explore.Rule
	for name := range strings.SplitSeq(names, ",") {
		rules = append(rules, explore.Rule(name))
	}
	return rules
}

// runExplore searches and prints the result.
func runExplore(ctx context.Context, env *Environment, bounds explore.Bounds, schedule string, output *outputFlag) error {
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	result, err := explore.Explore(ctx, bounds, func(r explore.Result) {
		fmt.Fprintf(env.Stderr, "%.0f s: %d faults, %d states, %d steps, longest schedule %d, %.0f %% of the states allowed, %.0f %% of steps led to states visited before\n",
			r.Seconds, r.Faults, r.States, r.Steps, r.MaxSteps, percent(r.States, bounds.States), percent(r.Revisits, r.Steps))
	})
	var bad *explore.BoundError
	if errors.As(err, &bad) {
		return badUse("explore: %w", err)
	}
	if err != nil {
		return err
	}
	err = output.print(env.Stdout, result, func(w io.Writer) { printExplored(w, result) })
	if err != nil || result.Schedule == nil {
		return err
	}
	if err := writeSchedule(env, schedule, result.Schedule); err != nil {
		return err
	}
	return errRuleBroken
}

func percent(part, all int) float64 { return 100 * float64(part) / float64(max(all, 1)) }

func printExplored(w io.Writer, r explore.Result) {
	row(w, "verdict", r.Verdict)
	row(w, "faults", r.Faults)
	row(w, "states", r.States)
	row(w, "steps", r.Steps)
	row(w, "steps a second", fmt.Sprintf("%.0f", r.StepsRate))
	row(w, "seconds", fmt.Sprintf("%.1f", r.Seconds))
	if r.Violation != nil {
		row(w, "broken", r.Violation)
	}
}

// writeSchedule writes a schedule to a file, or to standard error.
func writeSchedule(env *Environment, name string, schedule *explore.Schedule) error {
	if name == "" {
		return schedule.Write(env.Stderr)
	}
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(schedule.Write(file), file.Close())
}

// playSchedule plays a schedule from a file and prints what happens.
func playSchedule(env *Environment, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	schedule, err := explore.Read(file)
	if err != nil {
		return badUse("%s: %w", name, err)
	}
	if err := schedule.Write(env.Stdout); err != nil {
		return err
	}
	broken, err := schedule.Play()
	if err != nil || broken == nil {
		return err
	}
	return errRuleBroken
}
