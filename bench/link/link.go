// Package link measures, on a virtual clock, what bulk over the narrow link
// between regions does to interactive answers, for ways of holding bulk back.
//
// One way follows an idea of Abhigyan, Chandra and Ganguly, "A Bandwidth Aware
// Topology Generation Mechanism for Peer-to-Peer based Publish-Subscribe
// Systems": the receiving side watches the rate and, once it exceeds a limit,
// gives each sender a limit in proportion to its rate, again and again.
package link

import (
	"context"
	"fmt"
	"time"

	"guavacrank.example/bench/report"
	"guavacrank.example/bench/virtual"
)

// Options configure the benchmark.
type Options struct {
	// Duration is the virtual time of each run; zero means DefaultDuration.
	Duration time.Duration
	// Seed fixes the random source; zero means 1.
	Seed uint64
}

// DefaultDuration is the virtual time of one run.
const DefaultDuration = time.Minute

const (
	// delayTarget bounds the interactive p99 with bulk against that without.
	delayTarget = 1.1
	// rate is the link's, in bytes a second: 30 Mbit/s.
	rate = 30_000_000 / 8
	// budget is the share of the link for bulk.
	budget = 0.6
	// senders is the number of VMs that can send over the link.
	senders     = 6
	oneWay      = 12 * time.Millisecond
	service     = 6 * time.Millisecond
	answerBytes = 4 << 10
	// interactiveShare is the part of the link that interactive answers fill.
	interactiveShare = 0.2
	// chunk is the number of bytes that a sender hands to the link at once.
	chunk = 4 << 10
	// window is what TCP lets an unpaced sender have under way.
	window = 256 << 10
	// period is how often the receiver sets the senders' limits.
	period = 100 * time.Millisecond
)

// Run measures every way with few and with all senders active.
func Run(ctx context.Context, options Options) (report.Report, error) {
	if options.Duration == 0 {
		options.Duration = DefaultDuration
	}
	if options.Seed == 0 {
		options.Seed = 1
	}
	result := report.Report{Benchmark: "link"}
	quiet := newRun(options, unpaced, 0)
	best := virtual.Quantile(quiet.latencies, 0.99)
	for _, active := range []int{1, senders} {
		for _, p := range []policy{unpaced, paced, receiver} {
			r := newRun(options, p, active)
			result.Rows = append(result.Rows, rows(p, active, r, best)...)
			if err := ctx.Err(); err != nil {
				return result, err
			}
		}
	}
	return result, nil
}

func rows(p policy, active int, r *run, best time.Duration) []report.Row {
	prefix := fmt.Sprintf("link.senders_%d", active)
	p99 := virtual.Quantile(r.latencies, 0.99)
	ratio := report.Row{Name: prefix + ".interactive_p99_ratio", Policy: p.String(), Value: float64(p99) / float64(best), Unit: "x"}
	if p == paced {
		ratio.Target, ratio.Bound = delayTarget, "max"
	}
	return []report.Row{
		ratio,
		{Name: prefix + ".interactive_p99", Policy: p.String(), Value: float64(p99) / float64(time.Millisecond), Unit: "ms"},
		{Name: prefix + ".bulk_share", Policy: p.String(), Value: float64(r.bulkBytes) / rate / r.until.Seconds(), Unit: "1"},
	}
}
