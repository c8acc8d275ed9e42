package control

import (
	"guavacrank.example/backend"
	"guavacrank.example/control/ownership"
	"guavacrank.example/event"
)

// Ready is everything that the machine wants done. The caller carries it out
// in any order and feeds the answers back as inputs.
type Ready struct {
	Reads    []PageReadRequest
	Writes   []PageWrite
	Grants   []GrantRequest
	Messages []Outbound
	// RoutingChanged asks the caller to publish Machine.Routing.
	RoutingChanged bool
	Events         []event.Event
	// TermsReleased is true once a requested stop has handed over every term.
	TermsReleased bool
}

// PageReadRequest asks for a fresh read of a page from the store, answered by
// PageRead with the same Request. Nothing is fed back when the read fails.
type PageReadRequest struct {
	Service string
	Request uint64
}

// PageWrite asks for a compare-and-swap of a page, answered by PageWritten.
type PageWrite struct {
	Service  string
	Expected uint64
	Page     ownership.Page
}

// GrantRequest asks for an order to a backend server, answered by GrantAnswered.
// Of a server that does not check grants only whether it answers at all is
// asked: the caller may use the health path instead of the grant path.
type GrantRequest struct {
	Server       string
	Address      string
	ChecksGrants bool
	Order        backend.GrantOrder
}

// Outbound is a message to another VM. It may be lost, delayed or repeated.
type Outbound struct {
	To      string
	Message Message
}

// Message is what the machines of two VMs say to each other directly. Exactly
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

// Heartbeat is what a grantor sends to the VM that is next to hold its terms.
// Last says that no more follow, so that silence is no sign of a loss.
type Heartbeat struct {
	Final bool `json:"last,omitempty"`
}

// HandoverRequest is the request of a grantor that is leaving: the receiver takes the
// term above Term of Server while the sender still renews.
type HandoverRequest struct {
	Service string         `json:"service"`
	Server  string         `json:"server"`
	Term    ownership.Term `json:"term"`
}

// PageNotice says that the store confirmed Version of a service's page, which
// concerns the receiver.
type PageNotice struct {
	Service string `json:"service"`
	Version uint64 `json:"version"`
}

// LoadQuery is the planner's request for the load that the receiver measured.
type LoadQuery struct {
	Service string `json:"service"`
}

// UnitStopped is the grantor's confirmation that Server will never again serve Unit at an
// epoch below Epoch.
type UnitStopped struct {
	Service string           `json:"service"`
	Unit    ownership.UnitID `json:"unit"`
	Epoch   ownership.Epoch  `json:"epoch"`
	Server  string           `json:"server"`
}

// TermQuery asks the former grantor of Server to stop acting on any term below Term.
type TermQuery struct {
	Service string         `json:"service"`
	Server  string         `json:"server"`
	Term    ownership.Term `json:"term"`
}

// TermReleased is the former grantor's confirmation that it acts on no term below Term.
// GrantLife is the longest time, in milliseconds, that its last grant may
// still be valid at the server; zero with Sent false means it never sent one.
type TermReleased struct {
	Service         string         `json:"service"`
	Server          string         `json:"server"`
	Term            ownership.Term `json:"term"`
	GrantLifetimeMs int64          `json:"grant_life_ms"`
}
