// Package failover measures for how long units are unavailable at each kind of
// loss and planned change, on the sizes and delays of both users and on a
// virtual clock.
package failover

import (
	"context"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"guavacrank.example/bench/report"
	"guavacrank.example/control/controltest"
)

// Options configures a run.
type Options struct {
	// Seed of the clocks' rates and of the moments of the losses.
	Seed uint64
	// Trials of each scenario, each with another victim; the worst one counts.
	// Zero means 3.
	Trials int
}

const (
	defaultTrials = 3
	// suspicion is how long the fleet's probes take to notice a lost VM.
	suspicion = 2 * time.Second
	// spread is the delay of a page on its way through watch and relays.
	spread = 50 * time.Millisecond
	// clockError is the greatest rate error of a clock, in parts of a million.
	clockError = 500
	// settleTime covers the start of a fleet.
	settleTime = 5 * time.Second
	// renewPhases spreads the moments of the losses over a renewal interval.
	renewPhases = 250 * time.Millisecond
)

// Targets of issue 4 for the worst unit.
const (
	servedAgain = 2 * time.Second
	// plannedMove is two control round trips between the regions.
	plannedMove = 4 * regionDelay
	// resolution is the time between two checks of what is served; an outage
	// that is shorter than it may be reported as up to two of them.
	resolution = 5 * time.Millisecond
)

// Run measures every scenario on both deployments, which run side by side.
func Run(ctx context.Context, options Options) (report.Report, error) {
	if options.Trials == 0 {
		options.Trials = defaultTrials
	}
	rows := make([][]report.Row, len(deployments))
	group, ctx := errgroup.WithContext(ctx)
	for i, d := range deployments {
		group.Go(func() (err error) {
			rows[i], err = d.run(ctx, options)
			return err
		})
	}
	err := group.Wait()
	return report.Report{Benchmark: "failover", Rows: slices.Concat(rows...)}, err
}

func (d deployment) run(ctx context.Context, options Options) ([]report.Row, error) {
	var rows []report.Row
	for _, s := range scenarios {
		worst := outcome{}
		for trial := range options.Trials {
			if err := ctx.Err(); err != nil {
				return rows, err
			}
			measured, err := measure(d, s, options.Seed, trial)
			if err != nil {
				return rows, err
			}
			worst.add(measured)
		}
		rows = append(rows, worst.rows(d, s)...)
	}
	return rows, nil
}

// outcome is what one scenario cost.
type outcome struct {
	unavailable time.Duration
	moved       int // Units that changed their owner.
	unserved    int // Units without service at the end.
}

func (o *outcome) add(other outcome) {
	o.unavailable = max(o.unavailable, other.unavailable)
	o.moved = max(o.moved, other.moved)
	o.unserved = max(o.unserved, other.unserved)
}

func measure(d deployment, s scenario, seed uint64, trial int) (outcome, error) {
	f := d.fleet(seed + uint64(trial))
	if left := f.Unserved(serviceName); len(left) > 0 {
		return outcome{}, &Error{d.name, s.name, fmt.Sprintf("%d units are not served at the start", len(left))}
	}
	before, _ := f.Store.Page(serviceName)
	f.Run(time.Duration(trial) * renewPhases / defaultTrials)
	f.ResetOutages()
	counted := s.play(&stage{Fleet: f, deployment: d, trial: trial})
	if broken := f.Violations(); len(broken) > 0 {
		return outcome{}, &Error{d.name, s.name, broken[0]}
	}
	after, _ := f.Store.Page(serviceName)
	measured := outcome{unserved: len(f.Unserved(serviceName))}
	for _, unit := range after.Units {
		if before.Unit(unit.ID) == nil || before.Unit(unit.ID).Owner != unit.Owner {
			measured.moved++
		}
		if counted == nil || counted(before.Unit(unit.ID).Owner) {
			measured.unavailable = max(measured.unavailable, f.Outages(serviceName)[unit.ID])
		}
	}
	return measured, nil
}

func (o outcome) rows(d deployment, s scenario) []report.Row {
	name := "failover." + d.name + "." + s.name
	unavailable := report.Row{Name: name + ".unavailable", Value: float64(o.unavailable.Milliseconds()), Unit: "ms"}
	if s.bounded {
		unavailable.Target = float64(s.target.Milliseconds())
		unavailable.Bound = "max"
	}
	return []report.Row{
		unavailable,
		{Name: name + ".moved", Value: float64(o.moved), Unit: "units"},
		{Name: name + ".unserved", Value: float64(o.unserved), Unit: "units", Bound: "max"},
	}
}

// Error is a run that broke an invariant or did not start.
type Error struct {
	Deployment string
	Scenario   string
	Reason     string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("failover: %s, %s: %s", e.Deployment, e.Scenario, e.Reason)
}

// stage is a fleet that serves every unit, and what a scenario picks from.
type stage struct {
	*controltest.Fleet
	deployment deployment
	trial      int
}
