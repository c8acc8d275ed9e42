// Package control measures what the fleet's own protocol costs and how fast
// documents are in force: on a virtual clock with the operators' delays
// (virtual.go), and with real managers over TCP in one process (managers.go).
// Baselines are "every VM watches the store" and "plain gossip".
package control

import (
	"context"
	"fmt"
	"time"

	"guavacrank.example/bench/report"
	"guavacrank.example/fleet/fleettest"
	"guavacrank.example/fleet/spread"
)

// Options configure the benchmark.
type Options struct {
	// Seed fixes the random source; zero means 1.
	Seed uint64
	// Sizes are the fleet sizes of the runs over TCP; nil takes DefaultSizes,
	// empty leaves these runs out.
	Sizes []int
	// Period is how long each run over TCP is measured; zero means DefaultPeriod.
	Period time.Duration
}

// DefaultPeriod is how long each run over TCP is measured.
const DefaultPeriod = 5 * time.Second

// DefaultSizes returns the fleet sizes that are measured.
func DefaultSizes() []int { return []int{12, 50, 100, 200} }

// Targets of the users' second letter and of issue 6.
const (
	healthyTarget   = 1000.0 // Milliseconds from apply to in force on all VMs.
	faultTarget     = 6000.0 // The same with one relay, or the link, lost and returned.
	bytesTarget     = 3000.0 // Bytes a second that one daemon sends and receives.
	processorTarget = 2.9    // Percent of one core.
	memoryTarget    = 256.0  // Megabytes.
	// storeTargetPerZone is in calls a second for each availability zone.
	storeTargetPerZone = 2.0
	zones              = 4
)

const fleetSize = 12

// policy is one way of spreading with its name.
type policy struct {
	name  string
	value spread.Policy
}

func policies() []policy {
	return []policy{
		{name: "tree", value: spread.Tree},
		{name: "store-only", value: spread.StoreOnly},
		{name: "gossip", value: spread.Gossip},
	}
}

// Run measures everything.
func Run(ctx context.Context, options Options) (report.Report, error) {
	if options.Seed == 0 {
		options.Seed = 1
	}
	if options.Sizes == nil {
		options.Sizes = DefaultSizes()
	}
	if options.Period == 0 {
		options.Period = DefaultPeriod
	}
	result := report.Report{Benchmark: "control"}
	for _, site := range []fleettest.Site{fleettest.Verhaegen, fleettest.Chikushi} {
		for _, p := range policies() {
			result.Rows = append(result.Rows, timeToInForce(site, p, options.Seed)...)
			if err := ctx.Err(); err != nil {
				return result, err
			}
		}
	}
	result.Rows = append(result.Rows, virtualCosts()...)
	if len(options.Sizes) == 0 {
		return result, nil
	}
	rows, err := managerCosts(ctx, options)
	result.Rows = append(result.Rows, rows...)
	return result, err
}

// slopeRow gives the growth of a figure for each VM more in the fleet.
func slopeRow(name, policy, unit string, sizes []int, values []float64) report.Row {
	last := len(sizes) - 1
	slope := (values[last] - values[0]) / float64(sizes[last]-sizes[0])
	return report.Row{Name: name + ".slope", Policy: policy, Value: slope, Unit: unit + " per VM"}
}

func sizedName(name string, size int) string { return fmt.Sprintf("%s.%d", name, size) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
