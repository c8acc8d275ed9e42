package limits

import (
	"time"

	"guavacrank.example/bench/virtual"
)

// simServer is a backend server: it runs requests in its slots and sheds the rest.
type simServer struct {
	clock *virtual.Clock
	zone  int
	slots int
	busy  int
	// sheds counts refusals.
	sheds int
	// connections counts, for each VM, the most requests at once.
	inFlight, connections []int
}

func newSimServer(clock *virtual.Clock, zone, slots, vms int) *simServer {
	return &simServer{clock: clock, zone: zone, slots: slots, inFlight: make([]int, vms), connections: make([]int, vms)}
}

// handle takes one request from a VM over a connection of its own; done is
// called with whether it ran.
func (s *simServer) handle(vm int, delay, service time.Duration, done func(ran bool)) {
	s.inFlight[vm]++
	s.connections[vm] = max(s.connections[vm], s.inFlight[vm])
	finish := func(ran bool) {
		s.clock.After(delay, func() {
			s.inFlight[vm]--
			done(ran)
		})
	}
	s.clock.After(delay, func() {
		if s.busy >= s.slots {
			s.sheds++
			finish(false)
			return
		}
		s.busy++
		s.clock.After(service, func() {
			s.busy--
			finish(true)
		})
	})
}

// open returns the connections that all VMs together keep.
func (s *simServer) open() int {
	total := 0
	for _, count := range s.connections {
		total += count
	}
	return total
}
