// Package overload measures, on a virtual clock, what one server's queue makes
// of more requests than the server can run. The queue is the product's.
package overload

import (
	"context"
	"time"

	"guavacrank.example/bench/report"
	"guavacrank.example/bench/virtual"
	"guavacrank.example/config"
)

// Options configure the benchmark.
type Options struct {
	// Duration is the virtual time of each run; zero means DefaultDuration.
	Duration time.Duration
	// Seed fixes the random source; zero means 1.
	Seed uint64
}

// DefaultDuration is the virtual time of one run.
const DefaultDuration = 2 * time.Minute

const (
	// goodputTarget bounds the goodput at twice the capacity from below,
	// against the goodput at capacity.
	goodputTarget = 0.9
	// floor is the least share of the slots' time for a lower class, in percent.
	floor = 10
	// floorTarget bounds what bulk gets of it: the floor, less what ends late.
	floorTarget = 0.09
	slots       = 6
	queueLimit  = 256
	// warmUp is not measured.
	warmUp = 5 * time.Second
)

// kind is one class of requests in the mix.
type kind struct {
	name     string
	priority config.Priority
	service  time.Duration // Mean, exponentially distributed.
	deadline time.Duration
	share    float64 // Of the offered work.
}

var mix = []kind{
	{"interactive", config.Interactive, 6 * time.Millisecond, 100 * time.Millisecond, 0.6},
	{"patient", config.Patient, 20 * time.Millisecond, 2 * time.Second, 0.2},
	{"bulk", config.Bulk, 60 * time.Millisecond, time.Minute, 0.2},
}

// Run measures the class queue and a plain queue at the capacity and at twice
// the capacity, and at twice the capacity with interactive requests alone.
func Run(ctx context.Context, options Options) (report.Report, error) {
	if options.Duration == 0 {
		options.Duration = DefaultDuration
	}
	if options.Seed == 0 {
		options.Seed = 1
	}
	result := report.Report{Benchmark: "overload"}
	for _, policy := range []policy{classes, plain} {
		at := newRun(options, policy, mix, 1)
		twice := newRun(options, policy, mix, 2)
		result.Rows = append(result.Rows, rows(policy, at, twice)...)
		if err := ctx.Err(); err != nil {
			return result, err
		}
	}
	alone := []kind{{"interactive", config.Interactive, mix[0].service, mix[0].deadline, 1}}
	at, twice := newRun(options, classes, alone, 1), newRun(options, classes, alone, 2)
	result.Rows = append(result.Rows, report.Row{
		Name: "overload.interactive_alone.goodput_ratio", Policy: classes.String(),
		Value: twice.goodput() / at.goodput(), Unit: "x", Target: goodputTarget, Bound: "min",
	})
	return result, nil
}

func rows(p policy, at, twice *run) []report.Row {
	interactive, bulk := &twice.results[0], &twice.results[2]
	all := []report.Row{
		{Name: "overload.goodput_ratio", Value: twice.goodput() / at.goodput(), Unit: "x", Target: goodputTarget, Bound: "min"},
		{Name: "overload.interactive_p99_of_deadline", Value: float64(virtual.Quantile(interactive.latencies, 0.99)) / float64(mix[0].deadline), Unit: "x", Target: 1, Bound: "max"},
		{Name: "overload.bulk_share", Value: bulk.work.Seconds() / twice.capacity(), Unit: "1", Target: floorTarget, Bound: "min"},
		{Name: "overload.interactive_served", Value: share(interactive.good, interactive.offered), Unit: "1"},
		{Name: "overload.patient_served", Value: share(twice.results[1].good, twice.results[1].offered), Unit: "1"},
		{Name: "overload.bulk_served", Value: share(bulk.good, bulk.offered), Unit: "1"},
		{Name: "overload.wasted_share", Value: twice.wasted.Seconds() / twice.capacity(), Unit: "1"},
	}
	for i := range all {
		all[i].Policy = p.String()
		if p != classes {
			all[i].Target, all[i].Bound = 0, ""
		}
	}
	return all
}

func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }
