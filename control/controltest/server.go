package controltest

import (
	"strconv"

	"guavacrank.example/backend"
	"guavacrank.example/config"
	"guavacrank.example/control"
	"guavacrank.example/control/ownership"
)

// Server is a fake backend server. One that checks grants keeps the fence of
// the published protocol.
type Server struct {
	fleet  *Fleet
	Config config.Server
	clock  hostClock
	// Lost makes the server answer nothing and run nothing.
	Lost     bool
	frozen   bool
	buffered []func()
	boots    int
	fence    fence
}

// fence is the state of a server that checks grants.
type fence struct {
	term, version, sequence uint64
	digest                  uint64
	held                    bool
	units                   map[ownership.UnitID]ownership.Epoch
	expires                 int64
}

func (s *Server) boot() string { return s.Config.Name + "#" + strconv.Itoa(s.boots) }

func (s *Server) milliseconds() int64 {
	return s.clock.read(s.fleet.clock.now).Milliseconds()
}

// Restart ends the server's process and starts another that knows nothing.
func (s *Server) Restart() {
	s.boots++
	s.fence = fence{}
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

func (s *Server) receive(vm *VM, send control.GrantSend) {
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
	answer := backend.GrantAnswer{Boot: s.boot(), Clock: s.milliseconds(), HighestTerm: s.fence.term}
	answer.Result = s.fence.decide(order, answer)
	answer.HighestTerm = s.fence.term
	return answer
}

func (f *fence) decide(order backend.GrantOrder, now backend.GrantAnswer) backend.GrantResult {
	switch {
	case order.Boot == "":
		return backend.GrantHello
	case order.Boot != now.Boot:
		return backend.GrantWrongBoot
	case order.Term < f.term:
		return backend.GrantStaleTerm
	case order.Term == f.term && (order.PageVersion < f.version || order.PageVersion == f.version && order.Sequence < f.sequence):
		return backend.GrantStale
	case order.ExpiresAt <= now.Clock:
		return backend.GrantExpired
	case !order.Full && (!f.held || order.Digest != f.digest):
		return backend.GrantNeedFull
	}
	f.term, f.version, f.sequence = order.Term, order.PageVersion, order.Sequence
	f.expires = order.ExpiresAt
	if order.Full {
		f.held = true
		f.digest = order.Digest
		f.units = make(map[ownership.UnitID]ownership.Epoch, len(order.Units))
		for _, unit := range order.Units {
			f.units[ownership.UnitID(unit.Unit)] = ownership.Epoch(unit.Epoch)
		}
	}
	return backend.GrantAccepted
}

// held returns the units for which the server would run requests, with their
// epochs.
func (s *Server) held() map[ownership.UnitID]ownership.Epoch {
	if s.Lost || !s.Config.ChecksGrants || s.milliseconds() >= s.fence.expires {
		return nil
	}
	return s.fence.units
}
