package front

import (
	"sync"
	"time"

	"guavacrank.example/traffic/limit"
	"guavacrank.example/traffic/pick"
	"guavacrank.example/traffic/queue"
	"guavacrank.example/traffic/upstream"
)

// serverID identifies the state of a server. A server with a new address gets
// new state.
type serverID struct{ service, name, address string }

// server is this VM's state for one backend server.
type server struct {
	name string
	pool *upstream.Pool
	// healthPool holds the connection for health reports.
	healthPool *upstream.Pool
	// gate admits requests to a server of a service that is divided by key. In
	// other services the gate of the server's group does.
	gate  *queue.Gate
	stats *pick.Server

	mu    sync.Mutex
	limit *limit.Adaptive
	limits
}

// limits are the settings of a gate.
type limits struct{ queue, floor int }

func (h *Handler) serverOf(id serverID, share int) *server {
	s := h.servers[id]
	if s == nil {
		s = &server{
			name:       id.name,
			healthPool: h.newHealthPool(id.address),
			pool:       upstream.NewPool(upstream.Options{Address: id.address, MaxConnections: share, Dial: h.options.Dial}),
			gate:       queue.NewGate(h.now, queue.Options{Slots: share}),
			stats:      pick.NewServer(),
			limit:      limit.NewAdaptive(share),
		}
		h.servers[id] = s
	}
	return s
}

// shareOf returns the maximum number of concurrent requests, and so of
// connections, from this VM to the server.
func (h *Handler) shareOf(v *view, m *member) int {
	shares := limit.Divide(m.declared.Connections, m.declared.Slots, len(v.peers)+1)
	if m.home == v.snapshot.Self && (h.options.Sharing == limit.Home || !m.declared.ChecksGrants) {
		return shares.Home
	}
	return shares.Direct
}

// configure applies new limits.
func (s *server) configure(maxConnections int, l limits) {
	s.mu.Lock()
	s.limit.SetMax(maxConnections)
	s.limits = l
	slots := s.limit.Current()
	s.mu.Unlock()
	s.pool.SetLimit(maxConnections)
	s.gate.Configure(slots, l.queue, l.floor)
}

// adapt adjusts the server's limit after a request, and reports whether the
// limit changed.
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

// close closes the server's idle connections; the others close when their
// requests end.
func (s *server) close() {
	s.pool.Close()
	s.healthPool.Close()
}

// slots returns the server's current concurrency limit.
func (s *server) slots() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit.Current()
}

// closeUnused closes the pools of servers that are no longer declared.
func (h *Handler) closeUnused(used map[serverID]bool) {
	for id, s := range h.servers {
		if !used[id] {
			s.close()
			delete(h.servers, id)
		}
	}
}

// groupID identifies the state of a group.
type groupID struct{ service, region, zone string }

// group is the set of servers of one zone in a service that is not divided by
// key. Any of them may serve a request.
type group struct {
	*groupState
	home    string
	local   bool // Whether the group is in this VM's region.
	region  string
	members []*member
	slots   int // Sum of the declared slots of all members.
}

// groupState is the state of a group that is kept across snapshots.
type groupState struct {
	id   groupID
	gate *queue.Gate
	// stats are the results that this VM observes when it sends through the
	// group's home.
	stats *pick.Server
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
	state := h.groups[id]
	if state == nil {
		state = &groupState{
			id:    id,
			gate:  queue.NewGate(h.now, queue.Options{}),
			stats: pick.NewServer(),
		}
		h.groups[id] = state
	}
	return state
}

// zoneName returns the name of the group in requests between VMs.
func (g *groupState) zoneName() string { return g.id.region + "/" + g.id.zone }

// configure sets the slots of the gate to the sum of the members' limits,
// without ejected members.
func (g *group) configure(now time.Duration, l limits) {
	slots, eligible := 0, 0
	for _, m := range g.members {
		if m.stats.Eligible(now) {
			slots += m.server.slots()
			eligible++
		}
	}
	if 2*eligible < len(g.members) { // Like pick.Choose, use all members if more than half are ejected.
		slots = 0
		for _, m := range g.members {
			slots += m.server.slots()
		}
	}
	g.gate.Configure(slots, l.queue, l.floor)
}

// candidates appends the members as candidates for pick.Choose.
func (g *group) candidates(buffer []pick.Candidate, tried []string) []pick.Candidate {
	for _, m := range g.members {
		buffer = append(buffer, pick.Candidate{
			Server:   m.stats,
			Slots:    m.declared.Slots,
			Limit:    m.server.slots(),
			Local:    true,
			Excluded: contains(tried, m.name),
		})
	}
	return buffer
}

func contains(names []string, name string) bool {
	for _, other := range names {
		if other == name {
			return true
		}
	}
	return false
}
