package balance

import (
	"sync/atomic"
	"time"

	"guavacrank.example/gateway/admission"
	"guavacrank.example/gateway/capacity"
)

// learned is the newest estimate of a server, which holds in full until a time.
type learned struct {
	estimate capacity.Estimate
	until    time.Duration
}

// estimates holds the newest estimate. It is safe for concurrent use.
type estimates struct {
	newest atomic.Pointer[learned]
}

// SetEstimate puts an estimate of the server in force, which holds in full until the given
// time and with falling confidence for some seconds more.
func (s *Server) SetEstimate(until time.Duration, estimate capacity.Estimate) {
	s.estimates.newest.Store(&learned{estimate, until})
}

// Estimate returns what all VMs together know of the server, and whether that is recent
// enough to be used.
func (s *Server) Estimate(now time.Duration) (capacity.Estimate, bool) {
	newest := s.estimates.newest.Load()
	if newest == nil {
		return capacity.Estimate{}, false
	}
	return newest.estimate.Aged(now - newest.until)
}

// SumEstimates returns what the servers with an estimate take together.
func SumEstimates(now time.Duration, servers []*Server) capacity.Sum {
	var sum capacity.Sum
	for _, server := range servers {
		if estimate, ok := server.Estimate(now); ok {
			sum.Add(estimate)
		}
	}
	return sum
}

// RoomOf returns the room at those of the servers that are allowed, as far as they have an
// estimate.
func RoomOf(now time.Duration, servers []*Server, allowed func(*Server) bool) admission.Room {
	var room admission.Room
	for _, server := range servers {
		estimate, ok := server.Estimate(now)
		if !ok || !allowed(server) {
			continue
		}
		room.Throughput += estimate.Throughput()
		room.Demand += estimate.Demand
		room.InSystem += estimate.InSystem
		room.Slots += server.Slots
	}
	return room
}

// Withhold counts a request that this VM refused for want of room at the server.
func (s *Server) Withhold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.meter.Withhold()
}

// TakeSample returns what this VM saw of the server since the last call, as that of the
// longest time if it was longer, and whether it says anything.
func (s *Server) TakeSample(now, longest time.Duration) (capacity.Sample, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sample, relevant := s.meter.Take(now, longest)
	sample.Server = capacity.KeyOf(s.Incarnation())
	return sample, relevant
}

// transit returns the time that a request and its response spend between regions.
func (s *Server) transit() time.Duration {
	if s.Distance == OtherRegion {
		return regionRTT
	}
	return 0
}

// endingOf returns how a request with the result ended as the server's capacity goes.
func endingOf(result Result) capacity.Ending {
	switch result {
	case Succeeded:
		return capacity.Served
	case Refused, NotOwner, Replaced, Unreachable:
		return capacity.Refused
	case Canceled:
		return capacity.Canceled
	default:
		return capacity.Failed
	}
}
