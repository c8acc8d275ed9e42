package spread

import (
	"guavacrank.example/fleet/document"
	fleetv1 "guavacrank.example/fleet/gen/fleet/v1"
)

// Peer is what the replication needs to know about one VM, this VM included.
type Peer struct {
	Name   string
	Region string
	Zone   string
	// Reachable VMs receive pushes: they have joined and have not failed.
	Reachable bool
	// CanRelay VMs may forward for others: they are reachable, not suspected
	// and not leaving.
	CanRelay bool
	// StoreFailing means that the VM's calls to the store fail. Such a VM is
	// the relay of its region only if all candidates have this problem.
	StoreFailing bool
}

// Input is an event from outside the machine.
type Input interface{ isInput() }

// Received is a message from another VM.
type Received struct {
	From    string
	Message *fleetv1.ExchangeRequest
}

// FromStore carries documents returned by a watch or list call to the store.
type FromStore struct{ Documents []document.Document }

// Published carries a document that this VM itself wrote.
type Published struct{ Document document.Document }

// PeersChanged carries the current membership sorted by name, this VM included.
type PeersChanged struct{ Peers []Peer }

// InForce is the configuration revision in force on this VM.
type InForce struct{ Revision uint64 }

func (Received) isInput()     {}
func (FromStore) isInput()    {}
func (Published) isInput()    {}
func (PeersChanged) isInput() {}
func (InForce) isInput()      {}

// Outbound is a message to another VM. The network may lose, delay or duplicate
// it.
type Outbound struct {
	To      string
	Message *fleetv1.ExchangeRequest
}

// Ready is the machine's pending output.
type Ready struct {
	Messages []Outbound
	// Changed are the documents whose version increased, oldest change first.
	Changed []document.Document
	// WatchStore means that this VM should watch the store.
	WatchStore bool
}
