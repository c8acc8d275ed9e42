// Package traffic measures what the router adds to a request, against a plain
// net/http relay on the same machine in the same run.
package traffic

import (
	"context"
	"net"
	"net/http"
	"sort"
	"strconv"
	"time"

	"guavacrank.example/bench/report"
	"guavacrank.example/config"
	"guavacrank.example/traffic/front"
	"guavacrank.example/traffic/route"
)

// Options configure the benchmark.
type Options struct {
	// Rounds is how often each way is measured; zero means DefaultRounds.
	Rounds int
	// RoundTime is the length of one measurement; zero means DefaultRoundTime.
	RoundTime time.Duration
	// Callers is the number of callers at once whose memory is measured; zero
	// means DefaultCallers.
	Callers int
}

// Defaults of Options.
const (
	DefaultRounds    = 5
	DefaultRoundTime = 400 * time.Millisecond
	// DefaultCallers keeps both ends of each connection, which stand in one
	// process here, below a limit of 20000 descriptors.
	DefaultCallers = 9_800
)

const (
	// latencyTarget bounds the router's p50 against the relay's.
	latencyTarget = 2.0
	// throughputTarget bounds the router's requests for each second of
	// processor time from below, against the relay's.
	throughputTarget = 0.8
	callers          = 8
	slots            = 64
	answerBytes      = 512
)

// Run measures the direct call, the relay, and the router.
func Run(ctx context.Context, options Options) (report.Report, error) {
	if options.Rounds == 0 {
		options.Rounds = DefaultRounds
	}
	if options.RoundTime == 0 {
		options.RoundTime = DefaultRoundTime
	}
	if options.Callers == 0 {
		options.Callers = DefaultCallers
	}
	ways, stop, err := startWays()
	if err != nil {
		return report.Report{}, err
	}
	defer stop()
	samples := make([][]sample, len(ways))
	for range options.Rounds {
		for i, w := range ways {
			s, err := measure(ctx, w.url, options.RoundTime)
			if err != nil {
				return report.Report{}, err
			}
			samples[i] = append(samples[i], s)
		}
	}
	r := result(ways, samples)
	held, err := memory(options.Callers)
	if err != nil {
		return r, err
	}
	r.Rows = append(r.Rows,
		report.Row{Name: "traffic.memory_per_request", Policy: "router", Value: held.bytesEach / 1024, Unit: "KiB"},
		report.Row{Name: "traffic.answers_lost", Policy: "router", Value: float64(held.lost), Unit: "answers", Bound: "max"},
	)
	return r, nil
}

// way is one way to the server.
type way struct {
	name string
	url  string
}

// startWays starts a backend server, the relay, and the router.
func startWays() ([]way, func(), error) {
	var servers []*http.Server
	stop := func() {
		for _, server := range servers {
			server.Close()
		}
	}
	serve := func(handler http.Handler) (string, error) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		server := &http.Server{Handler: handler}
		servers = append(servers, server)
		go server.Serve(listener)
		return listener.Addr().String(), nil
	}
	backend, err := serve(answering())
	if err != nil {
		return nil, stop, err
	}
	plain, err := serve(newRelay(backend))
	if err != nil {
		return nil, stop, err
	}
	home := newRouter("a", backend, "", 0)
	router, err := serve(home)
	if err != nil {
		return nil, stop, err
	}
	peer, err := serve(home.PeerHandler())
	if err != nil {
		return nil, stop, err
	}
	other, err := serve(newRouter("b", backend, peer, 0))
	if err != nil {
		return nil, stop, err
	}
	return []way{
		{"direct", "http://" + backend + "/key"},
		{"relay", "http://" + plain + "/key"},
		{"router", "http://" + router + front.CallerPrefix + "cards/key"},
		{"router-and-home", "http://" + other + front.CallerPrefix + "cards/key"},
	}, stop, nil
}

// answering is the backend server's handler.
func answering() http.Handler {
	body := make([]byte, answerBytes)
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.Write(body)
	})
}

// newRouter returns the router of a VM with one service, one shard and one
// server, whose home is VM "a".
func newRouter(self, address, home string, queueLimit int) *front.Handler {
	server := &route.Server{
		Name: "s1", Address: address, Slots: slots, Connections: 4 * slots,
		ChecksGrants: true, Home: "a",
	}
	routes := route.NewPublisher()
	peers := map[string]string{}
	if home != "" {
		peers["a"] = home
	}
	routes.Publish(&route.Snapshot{Self: self, Peers: peers, Services: map[string]*route.Service{"cards": {
		Name: "cards", DividedByKey: true, Shards: 1,
		Classes:      map[string]config.Class{"look": {Name: "look", Idempotent: true, Deadline: time.Minute}},
		DefaultClass: "look",
		Units:        []route.Unit{{ID: 0, Epoch: 1, Server: server}},
		Servers:      []*route.Server{server},
		Settings:     config.Defaults{QueueLimit: queueLimit},
	}}})
	return front.New(front.Options{Routes: routes})
}

// result compares the ways by the median of the rounds.
func result(ways []way, samples [][]sample) report.Report {
	r := report.Report{Benchmark: "traffic"}
	for i, w := range ways {
		r.Rows = append(r.Rows,
			report.Row{Name: "traffic.p50", Policy: w.name, Value: median(samples[i], sample.p50), Unit: "us"},
			report.Row{Name: "traffic.p99", Policy: w.name, Value: median(samples[i], sample.p99), Unit: "us"},
			report.Row{Name: "traffic.cpu_per_request", Policy: w.name, Value: median(samples[i], sample.cpuPerRequest), Unit: "us"},
			report.Row{Name: "traffic.requests_per_second", Policy: w.name, Value: median(samples[i], sample.throughput), Unit: "1/s"},
		)
	}
	direct, relay, router, twoHops := samples[0], samples[1], samples[2], samples[3]
	added := func(of []sample) float64 {
		return median(of, sample.cpuPerRequest) - median(direct, sample.cpuPerRequest)
	}
	r.Rows = append(r.Rows,
		report.Row{Name: "traffic.p50_ratio", Policy: "router/relay", Value: median(router, sample.p50) / median(relay, sample.p50), Unit: "x", Target: latencyTarget, Bound: "max"},
		report.Row{Name: "traffic.throughput_per_core_ratio", Policy: "router/relay", Value: added(relay) / added(router), Unit: "x", Target: throughputTarget, Bound: "min"},
		report.Row{Name: "traffic.p50_ratio", Policy: "router-and-home/relay", Value: median(twoHops, sample.p50) / median(relay, sample.p50), Unit: "x"},
		report.Row{Name: "traffic.throughput_per_core_ratio", Policy: "router-and-home/relay", Value: added(relay) / added(twoHops), Unit: "x"},
	)
	return r
}

func median(samples []sample, of func(sample) float64) float64 {
	values := make([]float64, 0, len(samples))
	for _, s := range samples {
		values = append(values, of(s))
	}
	sort.Float64s(values)
	return values[len(values)/2]
}
