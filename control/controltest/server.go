package controltest

import (
	"slices"
	"strconv"
	"time"

	"guavacrank.example/backend"
	"guavacrank.example/backend/fence"
	"guavacrank.example/config"
	"guavacrank.example/control"
	"guavacrank.example/control/ownership"
)

// Server is a fake backend server. One that checks grants runs the published
// fence.
type Server struct {
	fleet  *Fleet
	Config config.Server
	clock  hostClock
	// Lost makes the server answer nothing and run nothing.
	Lost     bool
	frozen   bool
	buffered []func()
	boots    int
	fence    *fence.Fence
	// granted are the units of the newest accepted set.
	granted map[ownership.UnitID]ownership.Epoch
	runs    []run
}

// run is a request in flight.
type run struct {
	unit  ownership.UnitID
	epoch ownership.Epoch
	ends  time.Duration
}

func (s *Server) boot() string { return s.Config.Name + "#" + strconv.Itoa(s.boots) }

func (s *Server) milliseconds() int64 {
	return s.clock.read(s.fleet.clock.now).Milliseconds()
}

// Restart ends the server's process and starts another that knows nothing.
func (s *Server) Restart() {
	s.boots++
	s.fence = fence.New(s.boot())
	s.granted = nil
	s.runs = nil
	s.buffered = nil
	s.Lost = false
	s.frozen = false
}

// Freeze stops the server; what arrives waits until Thaw.
func (s *Server) Freeze() { s.frozen = true }

// Thaw lets a frozen server go on.
func (s *Server) Thaw() {
	s.frozen = false
	waiting := s.buffered
	s.buffered = nil
	for _, run := range waiting {
		run()
	}
}

func (s *Server) receive(vm *VM, send control.GrantRequest) {
	if s.Lost {
		return
	}
	handle := func() {
		answer := s.decide(send.Order)
		s.fleet.travel(s.Config.Name, vm.Name, func() {
			vm.step(control.GrantAnswered{
				Server: send.Server, Sequence: send.Order.Sequence, Reached: true, Answer: answer,
			})
		})
	}
	if s.frozen {
		s.buffered = append(s.buffered, handle)
		return
	}
	handle()
}

func (s *Server) decide(order backend.GrantOrder) backend.GrantAnswer {
	if !s.Config.ChecksGrants {
		return backend.GrantAnswer{}
	}
	s.endRuns()
	answer := s.fence.Step(order, s.milliseconds())
	if answer.Result == backend.GrantAccepted && order.Full {
		s.granted = make(map[ownership.UnitID]ownership.Epoch, len(order.Units))
		for _, unit := range order.Units {
			s.granted[ownership.UnitID(unit.Unit)] = ownership.Epoch(unit.Epoch)
		}
	}
	return answer
}

// work begins a run of a unit, as traffic would.
func (s *Server) work(id ownership.UnitID, length time.Duration) {
	epoch, held := s.held()[id]
	if held && !s.frozen && s.fence.Begin(uint32(id), uint64(epoch), s.milliseconds()) {
		s.runs = append(s.runs, run{id, epoch, s.fleet.clock.now + length})
	}
}

// endRuns ends the runs that are over, and cancels all when the grant has lapsed.
func (s *Server) endRuns() {
	lapsed := s.Lost || !s.fence.Valid(s.milliseconds())
	s.runs = slices.DeleteFunc(s.runs, func(r run) bool {
		over := lapsed || r.ends <= s.fleet.clock.now
		if over {
			s.fence.End(uint32(r.unit), uint64(r.epoch))
		}
		return over
	})
}

// held returns the units for which the server would run requests, with their
// epochs.
func (s *Server) held() map[ownership.UnitID]ownership.Epoch {
	if s.Lost || !s.Config.ChecksGrants || !s.fence.Valid(s.milliseconds()) {
		return nil
	}
	return s.granted
}

// running returns the lowest epoch at which each unit has a run in flight.
func (s *Server) running() map[ownership.UnitID]ownership.Epoch {
	if len(s.runs) == 0 {
		return nil
	}
	s.endRuns()
	lowest := make(map[ownership.UnitID]ownership.Epoch)
	for _, r := range s.runs {
		if epoch, known := lowest[r.unit]; !known || r.epoch < epoch {
			lowest[r.unit] = r.epoch
		}
	}
	return lowest
}
