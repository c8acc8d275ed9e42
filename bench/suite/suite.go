// Package suite lists the benchmarks that guavacrankctl bench runs.
package suite

import (
	"context"

	"guavacrank.example/bench/change"
	"guavacrank.example/bench/control"
	"guavacrank.example/bench/failover"
	"guavacrank.example/bench/limits"
	"guavacrank.example/bench/link"
	"guavacrank.example/bench/overload"
	"guavacrank.example/bench/placement"
	"guavacrank.example/bench/report"
	"guavacrank.example/bench/tick"
	"guavacrank.example/bench/traffic"
)

// Benchmark is one row of the list.
type Benchmark struct {
	Name string
	// Summary says in one line what is measured.
	Summary string
	// Run runs the benchmark. The same seed gives the same figures, but for
	// benchmarks that measure this machine's time.
	Run func(ctx context.Context, seed uint64) (report.Report, error)
}

// All returns every benchmark. A new one is one row here.
func All() []Benchmark {
	return []Benchmark{
		{
			Name:    "placement",
			Summary: "imbalance and churn of the placement policies, on a virtual clock",
			Run: func(ctx context.Context, seed uint64) (report.Report, error) {
				return placement.Run(ctx, placement.Options{Seed: seed})
			},
		},
		{
			Name:    "control",
			Summary: "time to in force, bytes, processor time and store calls of the fleet's protocol by its size",
			Run: func(ctx context.Context, seed uint64) (report.Report, error) {
				return control.Run(ctx, control.Options{Seed: seed})
			},
		},
		{
			Name:    "failover",
			Summary: "unavailable time at each kind of loss and planned change, on a virtual clock",
			Run: func(ctx context.Context, seed uint64) (report.Report, error) {
				return failover.Run(ctx, failover.Options{Seed: seed})
			},
		},
		{
			Name:    "limits",
			Summary: "ways of sharing a server's slots and connections among 12 VMs, on a virtual clock",
			Run: func(ctx context.Context, seed uint64) (report.Report, error) {
				return limits.Run(ctx, limits.Options{Seed: seed})
			},
		},
		{
			Name:    "overload",
			Summary: "goodput, latency and floors at twice the capacity, on a virtual clock",
			Run: func(ctx context.Context, seed uint64) (report.Report, error) {
				return overload.Run(ctx, overload.Options{Seed: seed})
			},
		},
		{
			Name:    "link",
			Summary: "interactive answers beside bulk over the link between regions, on a virtual clock",
			Run: func(ctx context.Context, seed uint64) (report.Report, error) {
				return link.Run(ctx, link.Options{Seed: seed})
			},
		},
		{
			Name:    "change",
			Summary: "parsing, delta and store calls of one change of the configuration, on this machine",
			Run: func(ctx context.Context, _ uint64) (report.Report, error) {
				return change.Run(ctx, change.Options{})
			},
		},
		{
			Name:    "traffic",
			Summary: "latency and processor time of the router against a plain relay, on this machine",
			Run: func(ctx context.Context, _ uint64) (report.Report, error) {
				return traffic.Run(ctx, traffic.Options{})
			},
		},
		{
			Name:    "tick",
			Summary: "processor time and memory of one VM's control plane by servers and shards, on this machine",
			Run: func(ctx context.Context, _ uint64) (report.Report, error) {
				return tick.Run(ctx, tick.Options{})
			},
		},
	}
}
