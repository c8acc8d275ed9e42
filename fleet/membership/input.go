package membership

import (
	"guavacrank.example/event"
	"guavacrank.example/fleet/document"
	fleetv1 "guavacrank.example/fleet/gen/fleet/v1"
	"guavacrank.example/kvstore"
)

// Member is what this VM knows about one VM of the fleet.
type Member struct {
	Name   string
	Region string
	Zone   string
	Peer   string // IP:port of the fleet listener.
	// Alive is false if the VM has never announced itself, or if a single
	// observer suspects it. Wrong suspicions happen, so acting on them must be
	// cheap.
	Alive bool
	// Failed is true if at least two observers report that the VM is
	// unreachable.
	Failed bool
	// Leaving is announced by the VM itself or marked in the platform's list.
	Leaving bool
	// Joined is true if the VM has announced itself.
	Joined bool
	// Suspected is true if at least one observer reports that the VM is
	// unreachable.
	Suspected bool
	// StoreFailing means that the VM reports that its calls to the store fail.
	StoreFailing bool
}

// Input is an event from outside the machine.
type Input interface{ isInput() }

// Listed carries the platform's VM list, which may lag.
type Listed struct{ VMs []kvstore.VM }

// Received reports a message of any kind from another VM.
type Received struct {
	From    string
	Message *fleetv1.ExchangeRequest
}

// RecordChanged carries a new version of a document under member/.
type RecordChanged struct{ Document document.Document }

// ZoneReachability says whether an availability zone of another region is
// reachable.
type ZoneReachability struct {
	Region, Zone string
	Reachable    bool
}

// StoreFailing says whether this VM's calls to the store fail.
type StoreFailing struct{ Failing bool }

// Leave makes the machine announce that this VM is stopping.
type Leave struct{}

func (Listed) isInput()           {}
func (Received) isInput()         {}
func (RecordChanged) isInput()    {}
func (ZoneReachability) isInput() {}
func (StoreFailing) isInput()     {}
func (Leave) isInput()            {}

// Outbound is a message to another VM. The network may lose, delay or duplicate
// it.
type Outbound struct {
	To      string
	Message *fleetv1.ExchangeRequest
}

// Ready is the machine's pending output.
type Ready struct {
	Messages []Outbound
	// Publish are documents under member/ to push to all VMs.
	Publish []document.Document
	// MembersChanged means that the caller should read Members again.
	MembersChanged bool
	Events         []event.Event
}
