package front

import (
	"sync"
	"time"

	"guavacrank.example/traffic/limit"
	"guavacrank.example/traffic/pick"
	"guavacrank.example/traffic/queue"
	"guavacrank.example/traffic/upstream"
)

// serverID names a server's state: a server with a new address is another one.
type serverID struct{ service, name, address string }

// server is this VM's own state of one backend server.
type server struct {
	name string
	pool *upstream.Pool
	// reports is the connection for the server's own reports.
	reports *upstream.Pool
	// gate admits requests to a server of a service divided by key. In other
	// services the gate of the server's group does.
	gate *queue.Gate
	seen *pick.Server

	mu    sync.Mutex
	limit *limit.Adaptive
	limits
}

// limits are the settings that a gate follows.
type limits struct{ queue, floor int }

func (h *Handler) serverOf(id serverID, share int) *server {
	held := h.servers[id]
	if held == nil {
		held = &server{
			name:    id.name,
			reports: newReports(id.address),
			pool:    upstream.NewPool(upstream.Options{Address: id.address, MaxConnections: share}),
			gate:    queue.NewGate(h.now, queue.Options{Slots: share}),
			seen:    pick.NewServer(),
			limit:   limit.NewAdaptive(share),
		}
		h.servers[id] = held
	}
	return held
}

// shareOf returns how many requests this VM may have at the server at once.
func (h *Handler) shareOf(v *view, m *member) int {
	shares := limit.Divide(m.declared.Connections, m.declared.Slots, len(v.peers)+1)
	if m.home == v.snapshot.Self && (h.options.Sharing == limit.Home || !m.declared.ChecksGrants) {
		return shares.Home
	}
	return shares.Direct
}

// configure brings new limits into force.
func (s *server) configure(most int, l limits) {
	s.mu.Lock()
	s.limit.SetMax(most)
	s.limits = l
	slots := s.limit.Current()
	s.mu.Unlock()
	s.pool.SetLimit(most)
	s.gate.Configure(slots, l.queue, l.floor)
}

// adapt notes how the server took a request, and returns whether its limit changed.
func (s *server) adapt(shed bool) bool {
	s.mu.Lock()
	before := s.limit.Current()
	if shed {
		s.limit.RecordShed()
	} else {
		s.limit.RecordSuccess()
	}
	after, l := s.limit.Current(), s.limits
	s.mu.Unlock()
	if after == before {
		return false
	}
	s.gate.Configure(after, l.queue, l.floor)
	return true
}

// close closes the server's connections as they become idle.
func (s *server) close() {
	s.pool.Close()
	s.reports.Close()
}

// slots returns the server's limit at the moment.
func (s *server) slots() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit.Current()
}

// forget closes the pools of servers that are no longer declared.
func (h *Handler) forget(used map[serverID]bool) {
	for id, held := range h.servers {
		if !used[id] {
			held.close()
			delete(h.servers, id)
		}
	}
}

// groupID names a group's state.
type groupID struct{ service, region, zone string }

// group is the servers of one zone in a service that is not divided by key:
// any of them may serve a request.
type group struct {
	*groupState
	home    string
	local   bool // In this VM's region.
	region  string
	members []*member
	slots   int // Declared, of all members.
}

// groupState is what outlives snapshots for a group.
type groupState struct {
	id   groupID
	gate *queue.Gate
	// seen is what this VM sees of the group when it sends through the home.
	seen *pick.Server
}

func (h *Handler) groupsOf(v *view, s *service) []*group {
	var groups []*group
	index := make(map[groupID]*group)
	for _, declared := range s.Servers {
		if declared.Draining {
			continue
		}
		id := groupID{s.Name, declared.Region, declared.Zone}
		g := index[id]
		if g == nil {
			g = &group{
				groupState: h.groupOf(id),
				home:       s.members[declared].home,
				region:     declared.Region,
				local:      h.options.Region == "" || declared.Region == h.options.Region,
			}
			index[id] = g
			groups = append(groups, g)
		}
		g.members = append(g.members, s.members[declared])
		g.slots += declared.Slots
	}
	for _, g := range groups {
		g.configure(h.now(), limits{s.settings.QueueLimit * len(g.members), s.settings.BulkFloor})
	}
	return groups
}

func (h *Handler) groupOf(id groupID) *groupState {
	held := h.groups[id]
	if held == nil {
		held = &groupState{
			id:   id,
			gate: queue.NewGate(h.now, queue.Options{}),
			seen: pick.NewServer(),
		}
		h.groups[id] = held
	}
	return held
}

// place names the group's zone between VMs.
func (g *groupState) place() string { return g.id.region + "/" + g.id.zone }

// configure sets the gate to the limits of the members that work.
func (g *group) configure(now time.Duration, l limits) {
	slots, well := 0, 0
	for _, m := range g.members {
		if m.seen.Eligible(now) {
			slots += m.server.slots()
			well++
		}
	}
	if 2*well < len(g.members) { // As pick.Choose: then all are in use.
		slots = 0
		for _, m := range g.members {
			slots += m.server.slots()
		}
	}
	g.gate.Configure(slots, l.queue, l.floor)
}

// candidates lists the members for a choice.
func (g *group) candidates(buffer []pick.Candidate, tried []string) []pick.Candidate {
	for _, m := range g.members {
		buffer = append(buffer, pick.Candidate{
			Server:   m.seen,
			Slots:    m.declared.Slots,
			Limit:    m.server.slots(),
			Local:    true,
			Excluded: contains(tried, m.name),
		})
	}
	return buffer
}

func contains(names []string, name string) bool {
	for _, held := range names {
		if held == name {
			return true
		}
	}
	return false
}
