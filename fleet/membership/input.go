package membership

import (
	"guavacrank.example/event"
	"guavacrank.example/fleet/document"
	fleetv1 "guavacrank.example/fleet/gen/fleet/v1"
	"guavacrank.example/kvstore"
)

// Member is what this VM knows of one VM of the fleet.
type Member struct {
	Name   string
	Region string
	Zone   string
	Peer   string // IP:port of the fleet listener.
	// Alive is false when the VM was never heard, or when one observer
	// suspects it. A wrong suspicion is possible and must be cheap.
	Alive bool
	// Failed is true when at least two observers agree that the VM is silent.
	Failed bool
	// Leaving is the VM's own word, or that of the platform's list.
	Leaving bool
	// Joined is true when the VM has announced itself.
	Joined bool
	// Suspected is true when at least one observer says that the VM is silent.
	Suspected bool
	// StoreFailing is the VM's own word that its calls to the store fail.
	StoreFailing bool
}

// Input is something that happened outside the machine.
type Input interface{ isInput() }

// Listed is the platform's lagging list.
type Listed struct{ VMs []kvstore.VM }

// Received says that a message of a VM arrived; Message may be of any kind.
type Received struct {
	From    string
	Message *fleetv1.ExchangeRequest
}

// RecordChanged brings a new version of a document under member/.
type RecordChanged struct{ Document document.Document }

// ZoneReachability says whether an availability zone of another region is heard.
type ZoneReachability struct {
	Region, Zone string
	Reachable    bool
}

// StoreFailing says whether this VM's calls to the store fail.
type StoreFailing struct{ Failing bool }

// Leave announces that this VM is stopping.
type Leave struct{}

func (Listed) isInput()           {}
func (Received) isInput()         {}
func (RecordChanged) isInput()    {}
func (ZoneReachability) isInput() {}
func (StoreFailing) isInput()     {}
func (Leave) isInput()            {}

// Outbound is a message to another VM. It may be lost, delayed or repeated.
type Outbound struct {
	To      string
	Message *fleetv1.ExchangeRequest
}

// Ready is everything that the machine wants done.
type Ready struct {
	Messages []Outbound
	// Publish are documents under member/ to be pushed to all VMs.
	Publish []document.Document
	// MembersChanged asks the caller to read Members again.
	MembersChanged bool
	Events         []event.Event
}
