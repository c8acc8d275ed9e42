package front

import (
	"encoding/json"
	"sync/atomic"

	"guavacrank.example/traffic/metric"
	"guavacrank.example/traffic/verdict"
)

// Status is what the handler publishes through expvar.
type Status struct {
	InFlight int `json:"in_flight"`
	// Refused counts requests that were not taken, by code: they belong to no
	// class.
	Refused map[string]int64 `json:"refused"`
	// Services holds the counts and distributions, by service and class.
	Services map[string]map[string]metric.Report `json:"services"`
	// Servers holds this VM's queues, by service and server or zone.
	Servers map[string]map[string]ServerStatus `json:"servers"`
	// Link holds the bytes over the link between regions, by service,
	// direction and priority.
	Link map[string]map[string]map[string]int64 `json:"link"`
}

// ServerStatus is this VM's queue for a server, or for the servers of a zone.
type ServerStatus struct {
	Home        bool `json:"home"` // This VM queues for all VMs.
	Slots       int  `json:"slots"`
	Busy        int  `json:"busy"`
	Queued      int  `json:"queued"`
	Connections int  `json:"connections"`
	BacklogMS   int  `json:"backlog_ms"`
	Ejected     bool `json:"ejected"` // Left out for failures.
}

// Status returns the state at the moment.
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
			Connections: m.pool.Open(), BacklogMS: int(state.Backlog.Milliseconds()), Ejected: !m.seen.Eligible(now),
		}
	}
	for _, g := range s.groups {
		state := g.gate.State()
		all["zone "+g.place()] = ServerStatus{
			Home: g.home == v.snapshot.Self, Slots: state.Slots, Busy: state.Busy, Queued: state.Queued,
			BacklogMS: int(state.Backlog.Milliseconds()),
		}
	}
	return all
}

// String implements expvar.Var: the Status as JSON. The daemon publishes it as
// the member "traffic" of its figures.
func (h *Handler) String() string {
	text, err := json.Marshal(h.Status())
	if err != nil {
		panic("front: " + err.Error()) // A Status holds nothing that fails to encode.
	}
	return string(text)
}
