package run

import (
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/capacity"
	"guavacrank.example/gateway/peer"
)

const (
	// estimatesIntervalPerVM is the interval between two responses with estimates of the
	// servers' capacity for each daemon, so that the leader's work does not grow with the
	// fleet.
	estimatesIntervalPerVM = 24 * time.Millisecond
	// estimateBytes is the size of one server's estimate in a message.
	estimateBytes = 27
	// maxEstimateBytesPerSec limits the rate of the estimates that the leader sends to all
	// daemons together.
	maxEstimateBytesPerSec = 1 << 20
	// maxEstimatesInterval is the longest interval between two responses with estimates. In a
	// fleet that needs a longer one they would be too old to choose by: each daemon chooses
	// by what it sees alone.
	maxEstimatesInterval = 10 * time.Second
	// estimateInterval is the minimum interval between two estimates of the leader.
	estimateInterval = 200 * time.Millisecond
	// sampleIntervals is the number of report intervals that a sample counts at most.
	sampleIntervals = 2
)

// learning is the state of a daemon that learns the servers' capacity with the others.
type learning struct {
	nextEstimates time.Duration // Earliest next report that asks for estimates.
	estimator     *capacity.Estimator
	// estimatedAt is when the estimates below were made, on the leader.
	estimatedAt time.Duration
	estimates   []capacity.Estimate
	encoded     []byte
}

// start begins a leadership. Nothing is known of the servers then; the other daemons use the
// estimates of the last leader for a while.
func (l *learning) start(now time.Duration) {
	l.estimator = capacity.NewEstimator()
	l.estimatedAt, l.estimates, l.encoded = now, nil, nil
}

// wantsEstimates reports whether the next report asks for estimates.
func (l *loop) wantsEstimates() bool {
	now := l.clock()
	if !l.learns() || now < l.learning.nextEstimates {
		return false
	}
	l.learning.nextEstimates = now + l.estimatesInterval()
	return true
}

// estimatesInterval returns the interval between two responses with estimates.
func (l *loop) estimatesInterval() time.Duration {
	vms := l.vms.Load()
	sent := time.Duration(vms * int64(len(l.servers.rows)) * estimateBytes)
	return max(l.reportInterval(), time.Duration(vms)*estimatesIntervalPerVM, sent*time.Second/maxEstimateBytesPerSec)
}

// learns reports whether the daemons of this fleet learn the servers' capacity together.
func (l *loop) learns() bool { return l.estimatesInterval() <= maxEstimatesInterval }

// takeSamples returns the encoded samples of all servers.
func (l *loop) takeSamples() []byte {
	if !l.learns() {
		return nil
	}
	now, longest := l.clock(), sampleIntervals*l.reportInterval()
	var samples []capacity.Sample
	for _, row := range l.servers.rows {
		if row.target == nil {
			continue
		}
		if sample, relevant := row.target.TakeSample(now, longest); relevant {
			samples = append(samples, sample)
		}
	}
	return capacity.EncodeSamples(samples)
}

// applySamples processes the samples of a report on the leader.
func (l *loop) applySamples(report *peer.Report) {
	if l.learning.estimator == nil || len(report.Samples) == 0 {
		return
	}
	samples, err := capacity.DecodeSamples(report.Samples)
	if err != nil {
		l.log.Event(event.LearnedIgnored, err.Error(), zap.String("peer", report.VM))
		return
	}
	l.estimate() // Samples of servers that it does not know yet would be lost.
	now := l.clock()
	for _, sample := range samples {
		l.learning.estimator.Step(now, sample)
	}
}

// estimate returns the leader's encoded estimates of all servers, at most estimateInterval
// old.
func (l *loop) estimate() []byte {
	s, now := &l.learning, l.clock()
	if s.estimator == nil || now-s.estimatedAt < estimateInterval {
		return s.encoded
	}
	s.estimator.SetServers(now, l.serversToEstimate())
	s.estimatedAt = now
	s.estimates = s.estimator.Estimates(now)
	s.encoded = capacity.EncodeEstimates(s.estimates)
	return s.encoded
}

func (l *loop) serversToEstimate() []capacity.Server {
	servers := make([]capacity.Server, 0, len(l.servers.rows))
	for incarnation, row := range l.servers.rows {
		if row.listed {
			servers = append(servers, capacity.Server{Key: capacity.KeyOf(incarnation), Service: row.Service, Slots: row.Slots})
		}
	}
	return servers
}

// applyEstimates puts a leader's estimates in force.
func (l *loop) applyEstimates(encoded []byte) {
	if len(encoded) == 0 {
		return
	}
	estimates, err := capacity.DecodeEstimates(encoded)
	if err != nil {
		l.log.Event(event.LearnedIgnored, err.Error(), zap.String("peer", l.knownLeader.Leader.VM))
		return
	}
	until := l.clock() + capacity.Validity(l.estimatesInterval())
	byKey := make(map[capacity.ServerKey]capacity.Estimate, len(estimates))
	for _, estimate := range estimates {
		byKey[estimate.Server] = estimate
	}
	for incarnation, row := range l.servers.rows {
		if estimate, found := byKey[capacity.KeyOf(incarnation)]; found && row.target != nil {
			row.target.SetEstimate(until, estimate)
		}
	}
}
