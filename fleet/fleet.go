// Package fleet connects the daemons of one fleet. It replicates versioned
// documents (the configuration, the ownership pages and the roles) from the
// platform's store to every VM, delivers small direct messages, and detects
// which VMs are reachable.
//
// The decisions are made by pure state machines that take the time as an
// argument: spread (document replication) and membership (failure detection),
// combined by node. Manager owns the goroutines, the connections and the store
// watch. docs/design/spreading.md describes the protocol and the alternatives
// considered.
package fleet

import (
	"net/netip"
	"time"

	"guavacrank.example/event"
	"guavacrank.example/fleet/document"
	"guavacrank.example/fleet/membership"
	"guavacrank.example/fleet/spread"
	"guavacrank.example/kvstore"
)

// Document is one key of the store at a version. A higher version always
// replaces a lower one; a VM never returns to a lower version.
type Document = document.Document

// Member is what this VM knows about one VM of the fleet.
type Member = membership.Member

// Status says how many VMs have the highest revision in force, aggregated over
// the fleet.
type Status = spread.Status

// LaggingVM is a VM whose revision is below the highest revision in force.
type LaggingVM = spread.LaggingVM

// InForce is the configuration revision in force on this VM.
type InForce = spread.InForce

// Listener receives changes. Its methods are called one at a time on the
// manager's goroutine and must not block. They may call Publish, Send, Report,
// Leave, Members, Document and Ready.
type Listener interface {
	// DocumentChanged is called with each higher version of a document.
	DocumentChanged(Document)
	// MembersChanged is called with all members sorted by name, this VM
	// included.
	MembersChanged([]Member)
	// MessageReceived is called with each direct message from another VM.
	MessageReceived(from, kind string, payload []byte)
}

// Clock returns the elapsed time of this VM, including time in suspend.
type Clock func() time.Duration

// Options configures a Manager.
type Options struct {
	// Self is this VM; Self.Peer is the IP:port of its fleet listener.
	Self kvstore.VM
	// Store is the platform's store.
	Store kvstore.Store
	// Listener receives changes.
	Listener Listener
	// Token is the secret shared by all VMs of the fleet; peers without it are
	// refused.
	Token string
	// Seeds are IP:port addresses of other VMs' fleet listeners, used if the
	// platform's VM list can't be read. May be empty.
	Seeds []string
	// Clock is the time source; nil means the VM's boot-time clock.
	Clock Clock
	// Policy is spread.Tree in production; the others are baselines for
	// comparison.
	Policy spread.Policy
	// OnEvent receives numbered events; nil discards them.
	OnEvent func(event.Event)
}

// Error reports an invalid option.
type Error struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *Error) Error() string { return "fleet: " + e.Field + ": " + e.Reason }

// check returns an *Error for the first invalid option.
func (o Options) check() error {
	switch {
	case o.Self.Name == "":
		return &Error{Field: "Self.Name", Reason: "must not be empty"}
	case o.Self.Region == "" || o.Self.Zone == "":
		return &Error{Field: "Self", Reason: "region and availability zone must not be empty"}
	case o.Store == nil:
		return &Error{Field: "Store", Reason: "must be set"}
	case o.Listener == nil:
		return &Error{Field: "Listener", Reason: "must be set"}
	case o.Token == "":
		return &Error{Field: "Token", Reason: "must not be empty"}
	}
	if _, err := netip.ParseAddrPort(o.Self.Peer); err != nil {
		return &Error{Field: "Self.Peer", Reason: err.Error()}
	}
	for _, seed := range o.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			return &Error{Field: "Seeds", Reason: err.Error()}
		}
	}
	return nil
}
