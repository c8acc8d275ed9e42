package capacity

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// recentTime and lastingTime are the time constants of the two windows of a server:
	// one follows changes, the other averages out the differences between requests.
	recentTime  = 1200 * time.Millisecond
	lastingTime = 4 * time.Second
	// priorResponses is the number of responses as which the mean of a service's servers
	// counts for each of them.
	priorResponses = 2.0
	// changeDeviations is the number of standard deviations between the windows at which
	// a server has changed its speed.
	changeDeviations = 2.5
	// slowFactor is how much slower than the mean a server is that is judged by its
	// recent window alone. While it gets few requests, it is taken for a usual one again
	// soon, and so gets some to show whether it has recovered.
	slowFactor = 1.5
	// targetUtilization is the part of its slots that a server can keep in use without long
	// queues.
	targetUtilization = 0.8
	// confidentResponses is the number of responses that gives a confidence of one half.
	confidentResponses = 2.0
)

// Server is what an Estimator needs to know of a server.
type Server struct {
	Key     ServerKey
	Service string
	Slots   int
}

// Estimator pools the samples of all VMs on the leader. It is not safe for concurrent use.
type Estimator struct {
	servers map[ServerKey]*serverState
}

// serverState is what the estimator knows of one server.
type serverState struct {
	Server
	updatedAt       time.Duration
	recent, lasting window
}

// NewEstimator returns an estimator without servers.
func NewEstimator() *Estimator { return &Estimator{servers: make(map[ServerKey]*serverState)} }

// SetServers sets the servers to estimate. What is known of those that remain is kept.
func (e *Estimator) SetServers(now time.Duration, servers []Server) {
	kept := make(map[ServerKey]*serverState, len(servers))
	for _, server := range servers {
		state := e.servers[server.Key]
		if state == nil {
			state = &serverState{updatedAt: now, recent: window{time: recentTime}, lasting: window{time: lastingTime}}
		}
		state.Server = server
		state.Slots = max(server.Slots, 1)
		kept[server.Key] = state
	}
	e.servers = kept
}

// Step processes a VM's sample of a server. Samples of unknown servers are ignored.
func (e *Estimator) Step(now time.Duration, sample Sample) {
	state := e.servers[sample.Server]
	if state == nil {
		return
	}
	state.advance(now)
	state.recent.add(sample)
	state.lasting.add(sample)
}

// advance lets time pass.
func (s *serverState) advance(now time.Duration) {
	elapsed := now - s.updatedAt
	if elapsed <= 0 {
		return
	}
	s.updatedAt = now
	s.recent.advance(elapsed)
	s.lasting.advance(elapsed)
}

// Estimates returns the estimates of all servers of the services of which any server has
// responded, sorted by key.
func (e *Estimator) Estimates(now time.Duration) []Estimate {
	states := slices.SortedFunc(maps.Values(e.servers), func(a, b *serverState) int { return cmp.Compare(a.Key, b.Key) })
	for _, state := range states {
		state.advance(now)
	}
	means := meanResponseTimes(states)
	var estimates []Estimate
	for _, state := range states {
		if mean := means[state.Service]; mean > 0 {
			estimates = append(estimates, state.estimate(mean))
		}
	}
	return estimates
}

// meanResponseTimes returns the mean response time of the servers of each service, in
// seconds. Each server counts with its usual one, so that a few very slow servers or an
// uneven division of the requests have little effect.
func meanResponseTimes(states []*serverState) map[string]float64 {
	logs, weights := make(map[string]float64), make(map[string]float64)
	for _, state := range states {
		if w := state.lasting; w.served > 0 && w.busy > 0 {
			weight := w.served / (w.served + confidentResponses)
			logs[state.Service] += weight * math.Log(w.busy/w.served)
			weights[state.Service] += weight
		}
	}
	for service, weight := range weights {
		logs[service] = math.Exp(logs[service] / weight)
	}
	return logs
}

// estimate returns the estimate of a server among those with the given mean response time.
func (s *serverState) estimate(mean float64) Estimate {
	s.noteChange(mean)
	w := &s.lasting
	if s.lasting.responseTime(mean) > slowFactor*mean {
		w = &s.recent
	}
	serviceTime := UnqueuedTime(w.responseTime(mean), w.perSecond(w.served), s.Slots)
	failures := s.recent.failures()
	return Estimate{
		Server:      s.Key,
		ServiceTime: time.Duration(serviceTime * float64(time.Second)),
		Rate:        targetUtilization * float64(s.Slots) / serviceTime * max(1-failures, minSuccess),
		Arrival:     s.recent.perSecond(s.recent.sent),
		Demand:      s.recent.perSecond(s.recent.sent + s.recent.withheld),
		InSystem:    s.recent.perSecond(s.recent.busy),
		Failures:    failures,
		Confidence:  max(w.served/(w.served+confidentResponses), minConfidence),
	}
}

// noteChange forgets what was before a change of the server's speed. While requests are in
// flight, a server of constant speed ends them at a constant rate: their number in the
// recent window deviates from what the lasting one lets expect only by chance.
func (s *serverState) noteChange(mean float64) {
	expected := s.recent.busy / s.lasting.responseTime(mean)
	deviation := math.Abs(s.recent.served-expected) / math.Sqrt(max(expected, s.recent.served, 1))
	if deviation > changeDeviations {
		s.lasting.become(s.recent)
	}
}
