package front

import (
	"math/rand/v2"
	"slices"
	"time"

	"guavacrank.example/traffic/limit"
	"guavacrank.example/traffic/pick"
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
		return h.chooseGroup(v, s, c)
	}
	unit, ok := s.Lookup(c.key)
	if !ok || unit.Server == nil {
		return target{}, verdict.CodeNoOwner
	}
	owner := s.members[unit.Server]
	if owner == nil {
		return target{}, verdict.CodeNoOwner
	}
	to := target{server: owner.server, unit: unit.ID, epoch: unit.Epoch, crossing: h.elsewhere(owner.declared.Region)}
	if !owner.declared.ChecksGrants {
		return h.throughHome(v, owner, to)
	}
	to.peer = h.queuePeer(v, owner.home, owner.share)
	return to, ""
}

// elsewhere says whether a region is not this VM's.
func (h *Handler) elsewhere(region string) bool {
	return h.options.Region != "" && region != h.options.Region
}

// throughHome routes to a server that does not check grants: only its home may
// send, and only while its right lasts.
func (h *Handler) throughHome(v *view, owner *member, to target) (target, verdict.Code) {
	if owner.home == v.snapshot.Self {
		if h.options.Elapsed() >= owner.declared.HomeUntil {
			return target{}, verdict.CodeNoOwner
		}
		return to, ""
	}
	to.peer = v.peers[owner.home]
	if to.peer == nil {
		return target{}, verdict.CodeNoOwner
	}
	return to, ""
}

// queuePeer returns the VM that queues for a server; nil means that this VM
// sends itself: it is the home, or there is none, or the home does not answer
// and this VM has a share of its own.
func (h *Handler) queuePeer(v *view, home string, share int) *peer {
	if h.options.Sharing != limit.Home || home == v.snapshot.Self {
		return nil
	}
	p := v.peers[home]
	if p == nil || share > 0 && p.avoided(h.now()) {
		return nil
	}
	return p
}

const (
	// homeRefusals is how many groups may refuse a request that would wait
	// there before it waits at the best of them.
	homeRefusals = 2
	// homeMaxWait is the expected wait from which a way to another zone pays.
	homeMaxWait = 1500 * time.Microsecond
)

// chooseGroup chooses a group of servers of a service that is not divided by key.
func (h *Handler) chooseGroup(v *view, s *service, c *call) (target, verdict.Code) {
	if len(s.groups) == 0 {
		return target{}, verdict.CodeNoServer
	}
	c.maxWait = 0
	if len(s.groups) > 1 && len(c.refusedBy) < homeRefusals {
		c.maxWait = homeMaxWait
	}
	var buffer [8]pick.Candidate
	candidates := buffer[:0]
	for _, g := range s.groups {
		if g.home == v.snapshot.Self {
			state := g.gate.State()
			g.seen.ReportBacklog(h.now(), state.Busy+state.Queued)
		}
		candidates = append(candidates, pick.Candidate{
			Server:   g.seen,
			Slots:    g.slots,
			Local:    g.local,
			Excluded: c.maxWait > 0 && slices.Contains(c.refusedBy, g.groupState),
		})
	}
	at := pick.Choose(h.now(), candidates, rand.Uint64())
	if at < 0 || c.maxWait > 0 && !s.groups[at].local && len(c.refusedBy) > 0 {
		// Every group of the region would make it wait: it waits at the best.
		c.maxWait = 0
		for i := range candidates {
			candidates[i].Excluded = false
		}
		at = pick.Choose(h.now(), candidates, rand.Uint64())
	}
	g := s.groups[at]
	share := 0
	for _, m := range g.members {
		share += m.share
	}
	return target{
		group:    g.groupState,
		peer:     h.queuePeer(v, g.home, share),
		crossing: h.elsewhere(g.region),
	}, ""
}

// groupFor returns the group of a state in the newest view, or nil.
func groupFor(s *service, state *groupState) *group {
	for _, g := range s.groups {
		if g.groupState == state {
			return g
		}
	}
	return nil
}

// pickMember chooses a server of a group, preferring those that did not fail
// this request.
func (h *Handler) pickMember(g *group, c *call) *member {
	var buffer [16]pick.Candidate
	candidates := g.candidates(buffer[:0], c.tried)
	at := pick.Choose(h.now(), candidates, rand.Uint64())
	if at < 0 { // Every server failed it.
		c.tried = nil
		at = pick.Choose(h.now(), g.candidates(buffer[:0], nil), rand.Uint64())
	}
	return g.members[at]
}
