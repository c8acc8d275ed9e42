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
	Grants   []GrantSend
	Messages []Outbound
	// RoutingChanged asks the caller to publish Machine.Routing.
	RoutingChanged bool
	Events         []event.Event
	// Released is true once a requested stop has handed over every term.
	Released bool
}

// PageReadRequest asks for a fresh read of a page from the store, answered by PageRead.
type PageReadRequest struct{ Service string }

// PageWrite asks for a compare-and-swap of a page, answered by PageWritten.
type PageWrite struct {
	Service  string
	Expected uint64
	Page     ownership.Page
}

// GrantSend asks for an order to a backend server, answered by GrantAnswered.
type GrantSend struct {
	Server  string
	Address string
	Order   backend.GrantOrder
}

// Outbound is a message to another VM. It may be lost, delayed or repeated.
type Outbound struct {
	To      string
	Message Message
}

// Message is what the machines of two VMs say to each other directly. Exactly
// one field is set.
type Message struct {
	Stopped  *Stopped      `json:"stopped,omitempty"`
	Query    *TermQuery    `json:"query,omitempty"`
	Released *TermReleased `json:"released,omitempty"`
	Load     *LoadMeasured `json:"load,omitempty"`
}

// Stopped is the grantor's word that Server will never again serve Unit at an
// epoch below Epoch.
type Stopped struct {
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

// TermReleased is the former grantor's word that it acts on no term below Term.
// GrantLife is the longest time, in milliseconds, that its last grant may
// still be valid at the server; zero with Sent false means it never sent one.
type TermReleased struct {
	Service   string         `json:"service"`
	Server    string         `json:"server"`
	Term      ownership.Term `json:"term"`
	GrantLife int64          `json:"grant_life_ms"`
}
