package front

import (
	"guavacrank.example/traffic/limit"
	"guavacrank.example/traffic/route"
	"guavacrank.example/traffic/verdict"
)

// choose finds where the snapshot sends the request. The code is empty when it
// found a target; otherwise it says why nobody can take the request now.
func (h *Handler) choose(v *view, c *call) (target, verdict.Code) {
	s := v.services[c.service.Name]
	if s == nil {
		return target{}, verdict.CodeUnknownService
	}
	if !s.DividedByKey {
		return h.pick(v, s, c)
	}
	unit, ok := s.Lookup(c.key)
	if !ok || unit.Server == nil {
		return target{}, verdict.CodeNoOwner
	}
	to := target{server: s.servers[unit.Server], unit: unit.ID, epoch: unit.Epoch}
	if to.server == nil {
		return target{}, verdict.CodeNoOwner
	}
	if !unit.Server.ChecksGrants {
		return h.throughHome(v, unit.Server, to)
	}
	return h.throughAny(v, unit.Server, to), ""
}

// throughHome routes to a server that does not check grants: only its home may
// send, and only while its right lasts.
func (h *Handler) throughHome(v *view, owner *route.Server, to target) (target, verdict.Code) {
	if owner.Home == v.snapshot.Self {
		if h.options.Elapsed() >= owner.HomeUntil {
			return target{}, verdict.CodeNoOwner
		}
		return to, ""
	}
	to.peer = v.peers[owner.Home]
	if to.peer == nil {
		return target{}, verdict.CodeNoOwner
	}
	return to, ""
}

// throughAny routes to a server that checks grants: through its home's queue,
// or direct while the home does not answer and there is a share for it.
func (h *Handler) throughAny(v *view, owner *route.Server, to target) target {
	if h.options.Sharing != limit.Home || owner.Home == v.snapshot.Self {
		return to
	}
	home := v.peers[owner.Home]
	if home == nil {
		return to
	}
	if home.avoided(h.options.Elapsed()) && h.shareOf(owner, v.snapshot.Self, len(v.peers)+1) > 0 {
		return to
	}
	to.peer = home
	return to
}

// pick chooses a server of a service that is not divided by key.
func (h *Handler) pick(v *view, s *service, _ *call) (target, verdict.Code) {
	var best *server
	least := 0
	for _, candidate := range s.Servers {
		if candidate.Draining {
			continue
		}
		held := s.servers[candidate]
		state := held.gate.State()
		if waiting := state.Busy + state.Queued; best == nil || waiting < least {
			best, least = held, waiting
		}
	}
	if best == nil {
		return target{}, verdict.CodeNoServer
	}
	return target{server: best}, ""
}
