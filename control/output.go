package control

import (
	"guavacrank.example/backend"
	"guavacrank.example/control/ownership"
	"guavacrank.example/event"
)

// Ready holds the actions that the machine requests. The caller carries them
// out in any order and feeds the results back as inputs.
type Ready struct {
	Reads    []PageReadRequest
	Writes   []PageWrite
	Grants   []GrantRequest
	Messages []Outbound
	// RoutingChanged tells the caller to publish Machine.Routing.
	RoutingChanged bool
	Events         []event.Event
	// TermsReleased is true once every term has been handed over after a
	// StopRequested.
	TermsReleased bool
}

// PageReadRequest requests a read of a page from the store, answered by
// PageRead with the same Request. If the read fails, no input is fed back.
type PageReadRequest struct {
	Service string
	Request uint64
}

// PageWrite requests a compare-and-swap of a page, answered by PageWritten.
type PageWrite struct {
	Service  string
	Expected uint64
	Page     ownership.Page
}

// GrantRequest requests that an order is sent to a backend server, answered by
// GrantAnswered. For a server that does not check grants it only probes whether
// the server answers: the caller may use the health path instead of the grant
// path.
type GrantRequest struct {
	Server       string
	Address      string
	ChecksGrants bool
	Order        backend.GrantOrder
}

// Outbound is a message to another VM. It may be lost, delayed or duplicated.
type Outbound struct {
	To      string
	Message Message
}

// Message is what the machines of two VMs send to each other directly. Exactly
// one field is set.
type Message struct {
	UnitStopped     *UnitStopped     `json:"stopped,omitempty"`
	TermQuery       *TermQuery       `json:"query,omitempty"`
	TermReleased    *TermReleased    `json:"released,omitempty"`
	Load            *LoadMeasured    `json:"load,omitempty"`
	LoadQuery       *LoadQuery       `json:"load_query,omitempty"`
	Heartbeat       *Heartbeat       `json:"heartbeat,omitempty"`
	HandoverRequest *HandoverRequest `json:"hand_over,omitempty"`
	PageNotice      *PageNotice      `json:"notice,omitempty"`
}

// Heartbeat is sent by a grantor to the VMs that are next in line for its
// terms. Final announces that no more follow, so that their absence does not
// indicate a failure.
type Heartbeat struct {
	Final bool `json:"last,omitempty"`
}

// HandoverRequest is sent by a grantor that wants to give up a term: the
// receiver takes the next term of Server, above Term, while the sender still
// renews its grants.
type HandoverRequest struct {
	Service string         `json:"service"`
	Server  string         `json:"server"`
	Term    ownership.Term `json:"term"`
}

// PageNotice reports that the store confirmed Version of a service's page,
// which affects the receiver.
type PageNotice struct {
	Service string `json:"service"`
	Version uint64 `json:"version"`
}

// LoadQuery is the planner's request for the load that the receiver measured.
type LoadQuery struct {
	Service string `json:"service"`
}

// UnitStopped is the grantor's confirmation that Server will never again serve
// Unit at an epoch below Epoch.
type UnitStopped struct {
	Service string           `json:"service"`
	Unit    ownership.UnitID `json:"unit"`
	Epoch   ownership.Epoch  `json:"epoch"`
	Server  string           `json:"server"`
}

// TermQuery asks a former grantor of Server to stop acting on any term below
// Term.
type TermQuery struct {
	Service string         `json:"service"`
	Server  string         `json:"server"`
	Term    ownership.Term `json:"term"`
}

// TermReleased is a former grantor's confirmation that it acts on no term below
// Term. GrantLifetimeMs is the longest time, in milliseconds, for which its
// last grant may still be valid at the server, or its last request may still
// run there; zero means that none is left.
type TermReleased struct {
	Service         string         `json:"service"`
	Server          string         `json:"server"`
	Term            ownership.Term `json:"term"`
	GrantLifetimeMs int64          `json:"grant_life_ms"`
}
