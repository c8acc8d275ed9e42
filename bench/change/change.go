// Package change measures what one change of the configuration costs: the
// parsing in each daemon, the bytes of its delta and the calls of the store, by
// the number of backend servers in the file.
package change

import (
	"context"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"guavacrank.example/bench/report"
	"guavacrank.example/config"
	"guavacrank.example/config/edit"
	"guavacrank.example/daemon/revision"
	"guavacrank.example/fleet/document"
	"guavacrank.example/kvstore"
	"guavacrank.example/kvstore/memstore"
)

// Options configures a run.
type Options struct {
	// Servers are the sizes to measure; nil means Sizes.
	Servers []int
}

// Sizes are today's number of backend servers and steps beyond it.
var Sizes = []int{40, 400, 4000}

const (
	// changesPerSecond is 82,000 changes a day.
	changesPerSecond = 82_000.0 / 86_400
	// coreTarget is the part of a core that control may take, in percent.
	coreTarget = 2.9
	// bytesTarget is what a daemon may receive and send for control, in bytes a second.
	bytesTarget = 3000
	// writesTarget and readsTarget are a tenth of the rates that the store takes.
	writesTarget = 30
	readsTarget  = 200
	// largestTarget is the largest file for which coreTarget must hold.
	largestTarget = 400
	// parses is the number of parses that are timed.
	parses  = 10
	percent = 100
)

// Run measures each size.
func Run(ctx context.Context, options Options) (report.Report, error) {
	result := report.Report{Benchmark: "change"}
	sizes := options.Servers
	if sizes == nil {
		sizes = Sizes
	}
	for _, servers := range sizes {
		rows, err := measure(ctx, servers)
		if err != nil {
			return result, err
		}
		result.Rows = append(result.Rows, rows...)
	}
	return result, nil
}

// measure applies a file and then drains one server of it.
func measure(ctx context.Context, servers int) ([]report.Row, error) {
	var written []kvstore.Entry
	store := memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
	keeper := revision.New(revision.Options{
		Store:     store,
		OnWritten: func(entry kvstore.Entry) { written = append(written, entry) },
	})
	whole := revision.Change{ChangeID: "whole", Author: "bench", Reason: "first", File: "bench", YAML: fileOf(servers)}
	if _, err := keeper.Apply(ctx, whole); err != nil {
		return nil, err
	}
	before := store.Counts()
	drain := func(text string) (string, error) { return edit.SetDraining(text, "s-1", true) }
	record, err := keeper.Edit(ctx, revision.Change{ChangeID: "drain", Author: "bench", Reason: "drain"}, drain)
	if err != nil {
		return nil, err
	}
	after := store.Counts()
	elapsed, err := parseTime(record.YAML)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("change.%d-servers", servers)
	core := report.Row{Name: name + ".core", Value: percent * changesPerSecond * elapsed.Seconds(), Unit: "% of a core at 82,000 a day"}
	if servers <= largestTarget {
		core.Target, core.Bound = coreTarget, "max"
	}
	return []report.Row{
		{Name: name + ".file", Value: float64(len(record.YAML)), Unit: "B"},
		{Name: name + ".parse", Value: float64(elapsed.Microseconds()), Unit: "us"},
		core,
		bounded(name+".delta", changesPerSecond*deltaBytes(written), "B/s at 82,000 a day", bytesTarget),
		bounded(name+".writes", changesPerSecond*float64(after.Writes()-before.Writes()), "store writes/s at 82,000 a day", writesTarget),
		bounded(name+".reads", changesPerSecond*float64(after.Reads()-before.Reads()), "store reads/s at 82,000 a day", readsTarget),
	}, nil
}

// bounded returns a row that must not exceed its target.
func bounded(name string, value float64, unit string, target float64) report.Row {
	return report.Row{Name: name, Value: value, Unit: unit, Target: target, Bound: "max"}
}

// parseTime returns the mean time of one parse.
func parseTime(text string) (time.Duration, error) {
	started := time.Now()
	for range parses {
		if _, err := config.ParseConfiguration("bench", []byte(text)); err != nil {
			return 0, err
		}
	}
	return time.Since(started) / parses, nil
}

// deltaBytes returns the size on the wire of the last record against the one before.
func deltaBytes(written []kvstore.Entry) float64 {
	last := len(written) - 1
	return float64(proto.Size(document.Encode(documentOf(written[last]), documentOf(written[last-1]))))
}

func documentOf(entry kvstore.Entry) document.Document {
	return document.Document{Key: entry.Key, Version: uint64(entry.Version), Value: entry.Value}
}

// fileOf returns a configuration of one service with the given number of servers.
func fileOf(servers int) string {
	const addressesPerBlock = 250
	var text strings.Builder
	text.WriteString("services:\n  - name: s\n    divided_by_key: true\n    shards: 256\n    classes:\n")
	text.WriteString("      - {name: q, idempotent: true, priority: bulk, deadline: 1s}\nservers:\n")
	for i := range servers {
		fmt.Fprintf(&text, "  - {name: s-%d, service: s, address: \"10.0.%d.%d:8080\", region: r, zone: z, slots: 6, connections: 130, checks_grants: true}\n",
			i, i/addressesPerBlock, 1+i%addressesPerBlock)
	}
	return text.String()
}
