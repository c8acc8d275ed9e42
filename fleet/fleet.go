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
	"time"

	"guavacrank.example/event"
	"guavacrank.example/platform"
)

// Document is one key of the store at a version. A higher version always
// replaces a lower one; a VM never goes back.
type Document struct {
	Key     string
	Version uint64
	Value   []byte
	// Deleted marks a removal at Version; Value is then empty.
	Deleted bool
}

// Member is what this VM knows of one VM of the fleet.
type Member struct {
	Name   string
	Region string
	Zone   string
	Peer   string // IP:port of the fleet listener.
	// Alive is false when the VM was never heard, or when one observer
	// suspects it. A wrong suspicion is possible and must be cheap.
	Alive bool
	// Condemned is true when at least two observers agree that the VM is silent.
	Condemned bool
	// Leaving is the VM's own word, or that of the platform's list.
	Leaving bool
}

// InForce is what this VM has in force.
type InForce struct {
	Revision uint64 // The configuration's revision.
}

// Lagging is one VM that does not have the newest revision in force.
type Lagging struct {
	Name     string
	Revision uint64 // Zero: nothing in force, or not heard.
}

// Status is the fleet's state as any VM sees it, added up along the tree.
type Status struct {
	Revision uint64 // Highest revision in force anywhere.
	InForce  int    // VMs that have Revision in force.
	Total    int    // VMs of the fleet, those that do not answer included.
	Lagging  []Lagging
}

// Listener is told what changed. The calls come one at a time from the
// manager's goroutine and must not block or call back into the manager, but
// for Publish, Send, Report and the read-only methods.
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
	Self platform.VM
	// Store is the platform's service.
	Store platform.Store
	// Listener is told what changed.
	Listener Listener
	// Token is shared by all VMs of the fleet; peers without it are refused.
	Token string
	// Seeds are IP:port addresses of other VMs' fleet listeners, tried when
	// the platform's list can't be read. May be empty.
	Seeds []string
	// Clock is nil for the VM's own clock.
	Clock Clock
	// OnEvent receives numbered events; nil discards them.
	OnEvent func(event.Event)
}
