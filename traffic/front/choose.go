package front

import (
	"math/rand/v2"
	"slices"
	"time"

	"guavacrank.example/traffic/limit"
	"guavacrank.example/traffic/pick"
	"guavacrank.example/traffic/verdict"
)

// choose returns the target of the request according to the snapshot. If there
// is none at present, it returns a code with the reason instead.
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
	to := target{server: owner.server, unit: unit.ID, epoch: unit.Epoch, crossRegion: h.otherRegion(owner.declared.Region)}
	if !owner.declared.ChecksGrants {
		return h.viaHome(v, owner, to)
	}
	to.peer = h.homePeer(v, owner.home, owner.share)
	return to, ""
}

// otherRegion reports whether a region is not the one of this VM.
func (h *Handler) otherRegion(region string) bool {
	return h.options.Region != "" && region != h.options.Region
}

// viaHome routes to a server that does not check grants. Only its home may
// send to it, and only until HomeUntil.
func (h *Handler) viaHome(v *view, owner *member, to target) (target, verdict.Code) {
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

// homePeer returns the VM whose queue admits requests to a server. It returns
// nil if this VM sends the request itself: when it is the home, when there is
// no home, or when the home is unreachable and this VM has a share of the
// server's connections.
func (h *Handler) homePeer(v *view, home string, share int) *peer {
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
	// maxBusyGroups is the number of groups that may refuse a request because
	// it would wait. After that it waits in the queue of the best group.
	maxBusyGroups = 2
	// maxGroupWait is the expected wait above which it is worthwhile to send
	// the request to another zone.
	maxGroupWait = 1500 * time.Microsecond
)

// chooseGroup chooses a group of servers in a service that is not divided by
// key.
func (h *Handler) chooseGroup(v *view, s *service, c *call) (target, verdict.Code) {
	if len(s.groups) == 0 {
		return target{}, verdict.CodeNoServer
	}
	c.maxWait = 0
	if len(s.groups) > 1 && len(c.busyGroups) < maxBusyGroups {
		c.maxWait = maxGroupWait
	}
	var buffer [8]pick.Candidate
	candidates := buffer[:0]
	for _, g := range s.groups {
		if g.home == v.snapshot.Self {
			state := g.gate.State()
			g.stats.ReportBacklog(h.now(), state.Busy+state.Queued)
		}
		candidates = append(candidates, pick.Candidate{
			Server:   g.stats,
			Slots:    g.slots,
			Local:    g.local,
			Excluded: c.maxWait > 0 && slices.Contains(c.busyGroups, g.groupState),
		})
	}
	at := pick.Choose(h.now(), candidates, rand.Uint64())
	if at < 0 || c.maxWait > 0 && !s.groups[at].local && len(c.busyGroups) > 0 {
		// The request would wait in every group of the region, so it waits in
		// the best of all groups.
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
		group:       g.groupState,
		peer:        h.homePeer(v, g.home, share),
		crossRegion: h.otherRegion(g.region),
	}, ""
}

// groupFor returns the group with the given state, or nil.
func groupFor(s *service, state *groupState) *group {
	for _, g := range s.groups {
		if g.groupState == state {
			return g
		}
	}
	return nil
}

// pickMember chooses a server of a group. It prefers servers that have not
// failed this request.
func (h *Handler) pickMember(g *group, c *call) *member {
	var buffer [16]pick.Candidate
	candidates := g.candidates(buffer[:0], c.failedServers)
	at := pick.Choose(h.now(), candidates, rand.Uint64())
	if at < 0 { // All servers have failed this request.
		c.failedServers = nil
		at = pick.Choose(h.now(), g.candidates(buffer[:0], nil), rand.Uint64())
	}
	return g.members[at]
}
