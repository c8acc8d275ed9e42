// Package fleet is what the daemons of one fleet say to each other. It
// replicates versioned documents (the configuration, the ownership pages and
// the roles) from the platform's store to every VM, carries small direct
// messages, and tells which VMs answer.
//
// The decisions are pure state machines on a virtual clock: spread (who gets
// which document from whom) and membership (who answers), put together by
// node. Manager owns the goroutines, the connections and the store's watch.
// docs/design/spreading.md gives the rules and what was weighed.
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
// replaces a lower one; a VM never goes back.
type Document = document.Document

// Member is what this VM knows of one VM of the fleet.
type Member = membership.Member

// Status is the fleet's state as any VM sees it, added up along the tree.
type Status = spread.Status

// LaggingVM is one VM that does not have the newest revision in force.
type LaggingVM = spread.LaggingVM

// InForce is what this VM has in force.
type InForce = spread.InForce

// Listener is told what changed. The calls come one at a time from the
// manager's goroutine and must not block. They may call Publish, Send, Report,
// Leave, Members, Document and Ready.
type Listener interface {
	// DocumentChanged brings a higher version of a document.
	DocumentChanged(Document)
	// MembersChanged brings all members sorted by name, this VM included.
	MembersChanged([]Member)
	// MessageReceived brings a direct message of another VM.
	MessageReceived(from, kind string, payload []byte)
}

// Clock returns the elapsed time of this VM, time in suspend included.
type Clock func() time.Duration

// Options configures a Manager.
type Options struct {
	// Self is this VM; Self.Peer is the IP:port of its fleet listener.
	Self kvstore.VM
	// Store is the platform's service.
	Store kvstore.Store
	// Listener is told what changed.
	Listener Listener
	// Token is shared by all VMs of the fleet; peers without it are refused.
	Token string
	// Seeds are IP:port addresses of other VMs' fleet listeners, tried when
	// the platform's list can't be read. May be empty.
	Seeds []string
	// Clock is nil for the VM's own clock.
	Clock Clock
	// Policy is spread.Tree; the others are baselines for comparison.
	Policy spread.Policy
	// OnEvent receives numbered events; nil discards them.
	OnEvent func(event.Event)
}

// Error is a fault in the options.
type Error struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *Error) Error() string { return "fleet: " + e.Field + ": " + e.Reason }

// check returns an *Error for the first option that can't work.
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
