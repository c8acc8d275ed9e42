package front

import (
	"encoding/json"
	"sync/atomic"

	"guavacrank.example/traffic/metric"
	"guavacrank.example/traffic/verdict"
)

// Status is the state that the handler publishes through expvar.
type Status struct {
	InFlight int `json:"in_flight"`
	// Refused counts refused requests by code. They are not counted in
	// Services, because they have no class.
	Refused map[string]int64 `json:"refused"`
	// Services holds the counts and latency distributions by service and
	// class.
	Services map[string]map[string]metric.Report `json:"services"`
	// Servers holds the state of this VM's queues by service and server or
	// zone.
	Servers map[string]map[string]ServerStatus `json:"servers"`
	// Link holds the bytes sent over the link between regions by service,
	// direction and priority.
	Link map[string]map[string]map[string]int64 `json:"link"`
}

// ServerStatus is this VM's queue for a server, or for the servers of a zone.
type ServerStatus struct {
	Home        bool `json:"home"` // Whether this VM queues the requests of all VMs.
	Slots       int  `json:"slots"`
	Busy        int  `json:"busy"`
	Queued      int  `json:"queued"`
	Connections int  `json:"connections"`
	BacklogMS   int  `json:"backlog_ms"`
	Ejected     bool `json:"ejected"` // Whether the server gets no requests because of failures.
}

// Status returns the current state.
func (h *Handler) Status() Status {
	v := h.current()
	status := Status{
		InFlight: h.InFlight(),
		Refused:  make(map[string]int64),
		Services: h.metrics.Reports(),
		Servers:  make(map[string]map[string]ServerStatus),
		Link:     make(map[string]map[string]map[string]int64),
	}
	h.refusals.Range(func(code, count any) bool {
		status.Refused[string(code.(verdict.Code))] = count.(*atomic.Int64).Load()
		return true
	})
	for name, s := range v.services {
		status.Servers[name] = h.serverStatus(v, s)
		status.Link[name] = map[string]map[string]int64{"out": s.state.out.Bytes(), "in": s.state.in.Bytes()}
	}
	return status
}

func (h *Handler) serverStatus(v *view, s *service) map[string]ServerStatus {
	all := make(map[string]ServerStatus)
	now := h.now()
	for _, m := range s.members {
		state := m.gate.State()
		all[m.name] = ServerStatus{
			Home: m.home == v.snapshot.Self, Slots: state.Slots, Busy: state.Busy, Queued: state.Queued,
			Connections: m.pool.Open(), BacklogMS: int(state.Backlog.Milliseconds()), Ejected: !m.stats.Eligible(now),
		}
	}
	for _, g := range s.groups {
		state := g.gate.State()
		all["zone "+g.zoneName()] = ServerStatus{
			Home: g.home == v.snapshot.Self, Slots: state.Slots, Busy: state.Busy, Queued: state.Queued,
			BacklogMS: int(state.Backlog.Milliseconds()),
		}
	}
	return all
}

// String implements expvar.Var. It returns the Status as JSON, which the
// daemon publishes as the variable "traffic".
func (h *Handler) String() string {
	text, err := json.Marshal(h.Status())
	if err != nil {
		panic("front: " + err.Error()) // Every field of Status can be encoded.
	}
	return string(text)
}
