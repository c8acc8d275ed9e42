// Package limits measures, on a virtual clock, ways in which 12 VMs share a
// server's slots and connections without talking on each request. The queue,
// the limits and the choice of a server are those of the product; servers,
// network and callers are small fakes.
package limits

import (
	"context"
	"time"

	"guavacrank.example/bench/report"
	"guavacrank.example/bench/virtual"
	"guavacrank.example/traffic/limit"
)

// Options configure the benchmark.
type Options struct {
	// Requests is the number of requests of each run; zero means DefaultRequests.
	Requests int
	// Seed fixes the random source; zero means 1.
	Seed uint64
}

// DefaultRequests is the number of requests of one run.
const DefaultRequests = 60_000

const (
	// waitTarget bounds the p99 wait against one ideal shared queue.
	waitTarget = 1.5
	// loadShare is the share of the slots that the callers keep busy.
	loadShare = 0.8
)

// Site is an operator's sizes, from the users' brief.
type Site struct {
	Name        string
	Servers     int // Of the service that is not divided by key.
	Slots       int
	Connections int
	// Between is the one-way delay between availability zones of one region.
	Between time.Duration
}

const (
	// VMs is the number of entry VMs; they stand in Zones availability zones,
	// half of them in each of two regions.
	VMs   = 12
	Zones = 4
	// Within is the one-way delay inside an availability zone.
	Within = 100 * time.Microsecond
	// Across is the one-way delay between regions.
	Across = 12 * time.Millisecond
	// Service is the mean time of a request at a server.
	Service = 6 * time.Millisecond
)

// Sites are the sizes of today.
var Sites = []Site{
	{Name: "verhaegen", Servers: 10, Slots: 6, Connections: 130, Between: time.Millisecond},
	{Name: "chikushi", Servers: 10, Slots: 4, Connections: 55, Between: 500 * time.Microsecond},
}

// zoneOf returns the zone of a VM or of a server by its number.
func zoneOf(number int) int { return number % Zones }

// delay returns the one-way delay between two zones; zones 0 and 1 are the
// first region, 2 and 3 the second.
func (s Site) delay(a, b int) time.Duration {
	switch {
	case a == b:
		return Within
	case a/2 == b/2:
		return s.Between
	default:
		return Across
	}
}

// Run measures every way on every site.
func Run(ctx context.Context, options Options) (report.Report, error) {
	if options.Requests == 0 {
		options.Requests = DefaultRequests
	}
	if options.Seed == 0 {
		options.Seed = 1
	}
	result := report.Report{Benchmark: "limits"}
	for _, site := range Sites {
		result.Rows = append(result.Rows, keyed(site, options)...)
		result.Rows = append(result.Rows, unkeyed(site, options)...)
		if err := ctx.Err(); err != nil {
			return result, err
		}
	}
	return result, nil
}

// measurement is the result of one run.
type measurement struct {
	waits       []time.Duration
	connections int // At one server, over all VMs; the greatest of all servers.
	sheds       int
	requests    int
}

// asker sends one request that arrived at a VM and calls done when its answer
// is back there, with the least time that the network takes for it.
type asker func(vm int, service time.Duration, done func(network time.Duration))

// arrivals lets callers send requests at the given load to some of the VMs.
func arrivals(clock *virtual.Clock, slots, requests int, vms []int, ask asker) []time.Duration {
	interval := time.Duration(float64(Service) / (loadShare * float64(slots)))
	waits := make([]time.Duration, 0, requests)
	var next func(left int)
	next = func(left int) {
		if left == 0 {
			return
		}
		began, service := clock.Now(), clock.Exponential(Service)
		ask(vms[clock.Random().IntN(len(vms))], service, func(network time.Duration) {
			waits = append(waits, clock.Now()-began-service-network)
		})
		clock.After(clock.Exponential(interval), func() { next(left - 1) })
	}
	next(requests)
	clock.Run()
	return waits
}

// bound says whether the rows of a policy carry the targets.
type bound bool

const (
	baseline bound = false
	chosen   bound = true
)

func rows(prefix string, site Site, policy string, m, ideal measurement, b bound) []report.Row {
	p99, best := virtual.Quantile(m.waits, 0.99), virtual.Quantile(ideal.waits, 0.99)
	ratio := report.Row{Name: prefix + ".wait_p99_ratio", Policy: policy, Value: float64(p99) / float64(best), Unit: "x"}
	open := report.Row{Name: prefix + ".connections", Policy: policy, Value: float64(m.connections), Unit: "connections"}
	if b == chosen {
		ratio.Target, ratio.Bound = waitTarget, "max"
		open.Target, open.Bound = float64(site.Connections), "max"
	}
	return []report.Row{
		ratio,
		{Name: prefix + ".wait_p99", Policy: policy, Value: float64(p99) / float64(time.Millisecond), Unit: "ms"},
		{Name: prefix + ".wait_mean", Policy: policy, Value: float64(mean(m.waits)) / float64(time.Millisecond), Unit: "ms"},
		open,
		{Name: prefix + ".sheds_per_request", Policy: policy, Value: float64(m.sheds) / float64(m.requests), Unit: "1"},
	}
}

func mean(values []time.Duration) time.Duration {
	var sum time.Duration
	for _, value := range values {
		sum += value
	}
	return sum / time.Duration(max(len(values), 1))
}

// shares is how the product divides the site's connections.
func (s Site) shares() limit.Shares { return limit.Divide(s.Connections, s.Slots, VMs) }
