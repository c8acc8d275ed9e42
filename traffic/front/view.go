package front

import (
	"time"

	"guavacrank.example/config"
	"guavacrank.example/traffic/link"
	"guavacrank.example/traffic/load"
	"guavacrank.example/traffic/metric"
	"guavacrank.example/traffic/retry"
	"guavacrank.example/traffic/route"
)

// view combines a snapshot with this VM's state for its services and servers.
// It is immutable and replaced with each new snapshot.
type view struct {
	snapshot *route.Snapshot
	services map[string]*service
	peers    map[string]*peer
}

// service is one service in one snapshot. State that is kept across snapshots
// is behind pointers.
type service struct {
	*route.Service
	settings config.Defaults
	// members are the service's servers. groups are the servers of each zone,
	// in a service that is not divided by key.
	members map[*route.Server]*member
	groups  []*group
	metrics map[string]*metric.Class
	state   *serviceState
}

// member is one server in one snapshot.
type member struct {
	*server
	declared *route.Server
	// home is the VM that queues requests to the server; empty if every VM
	// queues its own.
	home string
	// share is the maximum number of concurrent requests, and so of
	// connections, from this VM to the server.
	share int
}

// serviceState is the state of a service that is kept across snapshots.
type serviceState struct {
	budget *retry.Budget
	units  *load.UnitCounters
	keys   *load.Sketch
	// out and in pace the service's bulk traffic over the link between
	// regions.
	out, in *link.Pacer
}

// sketchKeys is the number of keys in the frequency sketch of a service.
const sketchKeys = 512

// current returns the view of the newest snapshot.
func (h *Handler) current() *view {
	v := h.view.Load()
	if snapshot := h.options.Routes.Load(); v == nil || v.snapshot != snapshot {
		return h.refresh()
	}
	return v
}

// refresh builds the view of the newest snapshot, unless another goroutine has
// done so.
func (h *Handler) refresh() *view {
	h.refreshMu.Lock()
	defer h.refreshMu.Unlock()
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
	h.homes = h.homes.WithLocations(snapshot.Locations)
	used := make(map[serverID]bool)
	for name, routing := range snapshot.Services {
		next.services[name] = h.serviceOf(next, routing, used)
	}
	h.closeUnused(used)
	h.view.Store(next)
	return next
}

func (h *Handler) serviceOf(v *view, routing *route.Service, used map[serverID]bool) *service {
	state := h.states[routing.Name]
	if state == nil {
		state = &serviceState{
			budget: retry.NewBudget(),
			units:  &load.UnitCounters{},
			keys:   load.NewSketch(sketchKeys),
			out:    link.NewPacer(),
			in:     link.NewPacer(),
		}
		h.states[routing.Name] = state
	}
	s := &service{
		Service:  routing,
		settings: settingsWithDefaults(routing.Settings),
		members:  make(map[*route.Server]*member, len(routing.Servers)),
		metrics:  make(map[string]*metric.Class, len(routing.Classes)),
		state:    state,
	}
	state.out.SetRate(s.settings.LinkBulkRate)
	state.in.SetRate(s.settings.LinkBulkRate)
	for name := range routing.Classes {
		s.metrics[name] = h.metrics.Class(routing.Name, name)
	}
	for _, declared := range routing.Servers {
		s.members[declared] = h.memberOf(v, s, declared, used)
	}
	if !s.DividedByKey {
		s.groups = h.groupsOf(v, s)
	}
	return s
}

func (h *Handler) memberOf(v *view, s *service, declared *route.Server, used map[serverID]bool) *member {
	id := serverID{s.Name, declared.Name, declared.Address}
	used[id] = true
	m := &member{declared: declared, home: h.homeOf(v, s, declared)}
	m.share = h.shareOf(v, m)
	m.server = h.serverOf(id, m.share)
	settings := s.settings
	if declared.Settings != nil {
		settings = settingsWithDefaults(*declared.Settings)
	}
	m.configure(m.share, limits{settings.QueueLimit, settings.BulkFloor})
	return m
}

// settingsOf returns the settings of a class.
func (s *service) settingsOf(class string) config.Defaults {
	if own, ok := s.ClassSettings[class]; ok {
		return settingsWithDefaults(own)
	}
	return s.settings
}

// homeOf returns the VM that queues requests to a server. For a server that
// does not check grants, the control plane chooses it. For others it is a VM
// in the server's zone: a slot stays idle while a response and the next
// request travel, so a long distance between queue and server reduces
// throughput.
func (h *Handler) homeOf(v *view, s *service, declared *route.Server) string {
	if s.DividedByKey && !declared.ChecksGrants || h.homes.Empty() {
		return declared.Home
	}
	subject := s.Name
	if s.DividedByKey {
		subject += "/" + declared.Name
	}
	return h.homes.HomeVM(subject, declared.Region, declared.Zone)
}

// Sweep closes connections that have been idle for long and rotates the
// histogram windows. The daemon calls it about once a second.
func (h *Handler) Sweep(now time.Time) {
	h.metrics.Rotate(now)
	h.refreshMu.Lock()
	defer h.refreshMu.Unlock()
	for _, s := range h.servers {
		s.pool.CloseIdle(now)
		s.healthPool.CloseIdle(now)
	}
	for _, p := range h.peers {
		p.pool.CloseIdle(now)
	}
}
