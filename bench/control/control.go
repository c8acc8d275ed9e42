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
	// VirtualSizes are the fleet sizes of the runs on the virtual clock; nil
	// takes all.
	VirtualSizes []int
	// Changes and FaultRuns are the numbers of measured changes of the
	// configuration, and of runs with a fault; zero means the defaults.
	Changes   int
	FaultRuns int
	// Period is how long each run over TCP is measured; zero means DefaultPeriod.
	Period time.Duration
}

// Defaults of Options.
const (
	DefaultPeriod    = 5 * time.Second
	DefaultChanges   = 200
	DefaultFaultRuns = 20
)

// DefaultSizes returns the fleet sizes that are measured over TCP. More than
// about 130 managers starve each other in one process of ten shared cores:
// they take the delay for silence. Larger fleets run on the virtual clock.
func DefaultSizes() []int { return []int{12, 25, 50, 100} }

// virtualSizes returns the fleet sizes that are measured on the virtual clock.
func virtualSizes() []int { return []int{12, 50, 100, 200, 400} }

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

func (o *Options) setDefaults() {
	if o.Seed == 0 {
		o.Seed = 1
	}
	if o.Sizes == nil {
		o.Sizes = DefaultSizes()
	}
	if o.VirtualSizes == nil {
		o.VirtualSizes = virtualSizes()
	}
	if o.Changes == 0 {
		o.Changes = DefaultChanges
	}
	if o.FaultRuns == 0 {
		o.FaultRuns = DefaultFaultRuns
	}
	if o.Period == 0 {
		o.Period = DefaultPeriod
	}
}

// Run measures everything.
func Run(ctx context.Context, options Options) (report.Report, error) {
	options.setDefaults()
	result := report.Report{Benchmark: "control"}
	for _, site := range []fleettest.Site{fleettest.Verhaegen, fleettest.Chikushi} {
		for _, p := range policies() {
			result.Rows = append(result.Rows, timeToInForce(site, p, options)...)
			if err := ctx.Err(); err != nil {
				return result, err
			}
		}
	}
	result.Rows = append(result.Rows, virtualCosts(options.VirtualSizes)...)
	if len(options.Sizes) == 0 {
		return result, nil
	}
	result.Rows = append(result.Rows, machineTime(options.VirtualSizes)...)
	rows, err := managerCosts(ctx, options)
	result.Rows = append(result.Rows, rows...)
	return result, err
}

// slopeRow gives the growth of a figure for each VM more in the fleet.
func slopeRow(name, policy, unit string, sizes []int, values []float64) report.Row {
	last := len(sizes) - 1
	slope := 0.0
	if last > 0 {
		slope = (values[last] - values[0]) / float64(sizes[last]-sizes[0])
	}
	return report.Row{Name: name + ".slope", Policy: policy, Value: slope, Unit: unit + " per VM"}
}

func sizedName(name string, size int) string { return fmt.Sprintf("%s.%d", name, size) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
