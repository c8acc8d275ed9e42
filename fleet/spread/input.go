package spread

import (
	"guavacrank.example/fleet/document"
	fleetv1 "guavacrank.example/fleet/gen/fleet/v1"
)

// Peer is one VM as spreading sees it, this VM included.
type Peer struct {
	Name   string
	Region string
	Zone   string
	// Reachable VMs get pushes: heard of, and not condemned.
	Reachable bool
	// CanRelay VMs may relay: reachable, not suspected and not leaving.
	CanRelay bool
	// StoreFailing VMs relay for a region only where all others fail too.
	StoreFailing bool
}

// Input is something that happened outside the machine.
type Input interface{ isInput() }

// Received is a message of another VM.
type Received struct {
	From    string
	Message *fleetv1.ExchangeRequest
}

// FromStore brings documents that a watch or a list of the store returned.
type FromStore struct{ Documents []document.Document }

// Published brings a document that this VM itself wrote.
type Published struct{ Document document.Document }

// PeersChanged is the newest membership sorted by name, this VM included.
type PeersChanged struct{ Peers []Peer }

// InForce is the configuration revision that this VM has in force.
type InForce struct{ Revision uint64 }

func (Received) isInput()     {}
func (FromStore) isInput()    {}
func (Published) isInput()    {}
func (PeersChanged) isInput() {}
func (InForce) isInput()      {}

// Outbound is a message to another VM. It may be lost, delayed or repeated.
type Outbound struct {
	To      string
	Message *fleetv1.ExchangeRequest
}

// Ready is everything that the machine wants done.
type Ready struct {
	Messages []Outbound
	// Changed are the documents with a new highest version, oldest first.
	Changed []document.Document
	// WatchStore says that this VM is one of those that watch the store.
	WatchStore bool
}
