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

// Server is a fake backend server. One that checks grants uses the fence
// package that is published for backend servers.
type Server struct {
	fleet  *Fleet
	Config config.Server
	clock  hostClock
	// Lost makes the server unresponsive: it neither answers nor runs requests.
	Lost      bool
	frozen    bool
	buffered  []func()
	bootCount int
	fence     *fence.Fence
	// granted holds the units of the newest accepted grant.
	granted map[ownership.UnitID]ownership.Epoch
	active  []activeRequest
}

// activeRequest is a request that the server is running.
type activeRequest struct {
	unit  ownership.UnitID
	epoch ownership.Epoch
	end   time.Duration
}

func (s *Server) bootID() string { return s.Config.Name + "#" + strconv.Itoa(s.bootCount) }

func (s *Server) localMillis() int64 {
	return s.clock.read(s.fleet.clock.now).Milliseconds()
}

// Restart replaces the server's process by a new one without any state.
func (s *Server) Restart() {
	s.bootCount++
	s.fence = fence.New(s.bootID())
	s.granted = nil
	s.active = nil
	s.buffered = nil
	s.Lost = false
	s.frozen = false
}

// Freeze suspends the server. Messages that arrive are buffered until Thaw.
func (s *Server) Freeze() { s.frozen = true }

// Thaw resumes a frozen server and delivers the buffered messages.
func (s *Server) Thaw() {
	s.frozen = false
	buffered := s.buffered
	s.buffered = nil
	for _, process := range buffered {
		process()
	}
}

func (s *Server) receive(vm *VM, send control.GrantRequest) {
	if s.Lost {
		return
	}
	process := func() {
		answer := s.handleGrant(send.Order)
		s.fleet.deliver(s.Config.Name, vm.Name, func() {
			vm.step(control.GrantAnswered{
				Server: send.Server, Sequence: send.Order.Sequence, Reached: true, Answer: answer,
			})
		})
	}
	if s.frozen {
		s.buffered = append(s.buffered, process)
		return
	}
	process()
}

func (s *Server) handleGrant(order backend.GrantOrder) backend.GrantAnswer {
	if !s.Config.ChecksGrants {
		return backend.GrantAnswer{}
	}
	s.endRequests()
	answer := s.fence.Step(order, s.localMillis())
	if answer.Result == backend.GrantAccepted && order.Full {
		s.granted = make(map[ownership.UnitID]ownership.Epoch, len(order.Units))
		for _, unit := range order.Units {
			s.granted[ownership.UnitID(unit.Unit)] = ownership.Epoch(unit.Epoch)
		}
	}
	return answer
}

// beginRequest starts a request for a unit, if the server may run one, as
// routed traffic would.
func (s *Server) beginRequest(id ownership.UnitID, length time.Duration) {
	epoch, granted := s.servable()[id]
	if granted && !s.frozen && s.fence.Begin(uint32(id), uint64(epoch), s.localMillis()) {
		s.active = append(s.active, activeRequest{id, epoch, s.fleet.clock.now + length})
	}
}

// endRequests ends the requests that are complete, or all of them if the server
// is lost or its grant has expired.
func (s *Server) endRequests() {
	expired := s.Lost || !s.fence.Valid(s.localMillis())
	s.active = slices.DeleteFunc(s.active, func(r activeRequest) bool {
		done := expired || r.end <= s.fleet.clock.now
		if done {
			s.fence.End(uint32(r.unit), uint64(r.epoch))
		}
		return done
	})
}

// servable returns the units for which the server would run requests now, with
// their epochs.
func (s *Server) servable() map[ownership.UnitID]ownership.Epoch {
	if s.Lost || !s.Config.ChecksGrants || !s.fence.Valid(s.localMillis()) {
		return nil
	}
	return s.granted
}

// activeEpochs returns, for each unit with active requests, the lowest epoch at
// which one of them started.
func (s *Server) activeEpochs() map[ownership.UnitID]ownership.Epoch {
	if len(s.active) == 0 {
		return nil
	}
	s.endRequests()
	lowest := make(map[ownership.UnitID]ownership.Epoch)
	for _, r := range s.active {
		if epoch, known := lowest[r.unit]; !known || r.epoch < epoch {
			lowest[r.unit] = r.epoch
		}
	}
	return lowest
}
