package front

import (
	"sync"
	"time"

	"guavacrank.example/config"
	"guavacrank.example/traffic/limit"
	"guavacrank.example/traffic/load"
	"guavacrank.example/traffic/queue"
	"guavacrank.example/traffic/retry"
	"guavacrank.example/traffic/route"
	"guavacrank.example/traffic/upstream"
)

// view pairs a snapshot with this VM's own state of its services and servers.
// It is immutable and replaced with the snapshot.
type view struct {
	snapshot *route.Snapshot
	services map[string]*service
	peers    map[string]*peer
}

// service is one service as this VM serves it. What outlives a snapshot is
// behind pointers.
type service struct {
	*route.Service
	settings config.Defaults
	servers  map[*route.Server]*server
	state    *serviceState
}

// serviceState is what outlives snapshots for one service.
type serviceState struct {
	budget *retry.Budget
	units  *load.Units
	keys   *load.Sketch
}

// server is this VM's own state of one backend server.
type server struct {
	name string
	pool *upstream.Pool
	gate *queue.Gate

	mu    sync.Mutex
	limit *limit.Adaptive
	limits
}

// limits are the settings that a server's gate follows.
type limits struct{ queue, floor int }

// frequentKeys is the number of keys that each service's sketch holds.
const frequentKeys = 512

// current returns the view of the newest snapshot.
func (h *Handler) current() *view {
	v := h.view.Load()
	if snapshot := h.options.Routes.Load(); v == nil || v.snapshot != snapshot {
		return h.refresh()
	}
	return v
}

// refresh builds the view of the newest snapshot, once.
func (h *Handler) refresh() *view {
	h.refreshing.Lock()
	defer h.refreshing.Unlock()
	snapshot := h.options.Routes.Load()
	old := h.view.Load()
	if old != nil && old.snapshot == snapshot {
		return old
	}
	next := &view{
		snapshot: snapshot,
		services: make(map[string]*service, len(snapshot.Services)),
		peers:    h.peersOf(snapshot),
	}
	vms := len(next.peers) + 1
	used := make(map[serverID]bool)
	for name, routing := range snapshot.Services {
		next.services[name] = h.serviceOf(routing, snapshot.Self, vms, used)
	}
	h.forget(used)
	h.view.Store(next)
	return next
}

// serverID names a server's state: a server with a new address is another one.
type serverID struct{ service, name, address string }

func (h *Handler) serviceOf(routing *route.Service, self string, vms int, used map[serverID]bool) *service {
	state := h.states[routing.Name]
	if state == nil {
		state = &serviceState{
			budget: retry.NewBudget(),
			units:  &load.Units{},
			keys:   load.NewSketch(frequentKeys),
		}
		h.states[routing.Name] = state
	}
	s := &service{
		Service:  routing,
		settings: settingsOf(routing),
		servers:  make(map[*route.Server]*server, len(routing.Servers)),
		state:    state,
	}
	for _, declared := range routing.Servers {
		id := serverID{routing.Name, declared.Name, declared.Address}
		used[id] = true
		s.servers[declared] = h.serverOf(id, declared, s.settings, self, vms)
	}
	return s
}

func (h *Handler) serverOf(id serverID, declared *route.Server, settings config.Defaults, self string, vms int) *server {
	most := h.shareOf(declared, self, vms)
	held := h.servers[id]
	if held == nil {
		held = &server{
			name:  declared.Name,
			pool:  upstream.NewPool(upstream.Options{Address: declared.Address, Connections: most}),
			gate:  queue.NewGate(h.options.Elapsed, queue.Options{Slots: most}),
			limit: limit.NewAdaptive(most),
		}
		h.servers[id] = held
	}
	held.configure(most, limits{settings.QueueLimit, settings.BulkFloor})
	return held
}

// shareOf returns how many requests this VM may have at the server at once.
func (h *Handler) shareOf(declared *route.Server, self string, vms int) int {
	shares := limit.Divide(declared.Connections, declared.Slots, vms)
	if h.options.Sharing == limit.Home && declared.Home == self {
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

// adapt notes how the server took a request.
func (s *server) adapt(shed bool) {
	s.mu.Lock()
	before := s.limit.Current()
	if shed {
		s.limit.Shed()
	} else {
		s.limit.Succeeded()
	}
	after, l := s.limit.Current(), s.limits
	s.mu.Unlock()
	if after != before {
		s.gate.Configure(after, l.queue, l.floor)
	}
}

// forget closes the pools of servers that are no longer declared.
func (h *Handler) forget(used map[serverID]bool) {
	for id, held := range h.servers {
		if !used[id] {
			held.pool.Close()
			delete(h.servers, id)
		}
	}
}

// Sweep closes connections that were unused for long. The daemon calls it
// about once a second.
func (h *Handler) Sweep(now time.Time) {
	h.refreshing.Lock()
	defer h.refreshing.Unlock()
	for _, held := range h.servers {
		held.pool.CloseIdle(now)
	}
	for _, p := range h.peers {
		p.pool.CloseIdle(now)
	}
}
