// Package tick measures what the control plane of one VM costs this machine:
// processor time of its ticks and inputs, and memory, by the number of backend
// servers and shards of the fleet.
package tick

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"guavacrank.example/bench/report"
)

// Options configures a run.
type Options struct {
	// Sizes to measure; nil means all.
	Sizes []Size
}

// Size is a fleet of 12 VMs; the one that is measured holds a twelfth of the terms.
type Size struct {
	Servers int
	Shards  int
}

// Sizes are today's size and steps to a thousand servers and a million shards.
var Sizes = []Size{
	{Servers: 40, Shards: 256},
	{Servers: 100, Shards: 100_000},
	{Servers: 1000, Shards: 100_000},
	{Servers: 1000, Shards: 1_000_000},
}

const (
	vms = 12
	// measuredTime is the virtual time over which ticks are measured.
	measuredTime = 5 * time.Second
	// coreTarget is the part of a core that control may take, in percent.
	coreTarget = 2.9
	// memoryTarget is the memory that a daemon may take for control, in MB.
	memoryTarget = 256
	megabyte     = 1 << 20
	percent      = 100
)

// Run measures each size.
func Run(ctx context.Context, options Options) (report.Report, error) {
	result := report.Report{Benchmark: "tick"}
	sizes := options.Sizes
	if sizes == nil {
		sizes = Sizes
	}
	for _, size := range sizes {
		if err := ctx.Err(); err != nil {
			return result, err
		}
		result.Rows = append(result.Rows, measure(size)...)
	}
	return result, nil
}

func measure(size Size) []report.Row {
	before := heap()
	v := newVM(size)
	started := time.Now()
	v.start()
	start := time.Since(started)
	v.busy, v.ticks = 0, 0
	v.run(measuredTime)
	memory := max(0, heap()-before)
	runtime.KeepAlive(v)
	name := fmt.Sprintf("tick.%d-servers.%d-shards", size.Servers, size.Shards)
	return []report.Row{
		{Name: name + ".time", Value: float64(v.busy.Microseconds()) / float64(v.ticks), Unit: "us for each tick"},
		{Name: name + ".core", Value: percent * v.busy.Seconds() / measuredTime.Seconds(), Unit: "% of a core", Target: coreTarget, Bound: "max"},
		{Name: name + ".start", Value: float64(start.Milliseconds()), Unit: "ms"},
		{Name: name + ".memory", Value: float64(memory) / megabyte, Unit: "MB", Target: memoryTarget, Bound: "max"},
		{Name: name + ".memory-per-shard", Value: float64(memory) / float64(size.Shards), Unit: "B"},
	}
}

func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
