package control

import (
	"time"

	"guavacrank.example/backend"
	"guavacrank.example/config"
	"guavacrank.example/control/ownership"
)

// Input is an external event that the machine reacts to.
type Input interface{ isInput() }

// ConfigurationAccepted puts a configuration revision into force. A revision
// not higher than the one in force is ignored.
type ConfigurationAccepted struct {
	Revision      config.Revision
	Configuration *config.Configuration
}

// PageRead is the newest known state of a service's ownership page, read from
// the store or received from a peer. Version zero means that the page does not
// exist. Versions lower than the known one are ignored.
type PageRead struct {
	Service string
	// Request is the Request of the PageReadRequest that this store read
	// answers. It is zero for a page that came from a watch or a peer; such a
	// page may be outdated and does not confirm anything.
	Request uint64
	Version uint64
	Page    ownership.Page
}

// WriteOutcome is the known result of a page write.
type WriteOutcome uint8

// Outcomes of a page write.
const (
	WriteUnknown  WriteOutcome = iota // May have been applied; resolved by reading the page and comparing ChangeID.
	WriteApplied                      // Confirmed by the store.
	WriteConflict                     // Another VM wrote first; not applied.
	WriteFailed                       // Known not to have been applied.
)

// PageWritten answers a PageWrite.
type PageWritten struct {
	Service  string
	ChangeID string
	Outcome  WriteOutcome
	Version  uint64 // The new version, if Outcome is WriteApplied.
}

// GrantAnswered is the result of a GrantRequest. Reached is false if no answer
// came. For a server that does not check grants only Reached is used.
type GrantAnswered struct {
	Server   string
	Sequence uint64
	Reached  bool
	Answer   backend.GrantAnswer
}

// Member is what this VM knows about one VM of the fleet.
type Member struct {
	Name   string
	Region string
	Zone   string
	// Alive is false while the fleet's failure detector suspects the VM.
	Alive   bool
	Leaving bool
}

// MembersChanged is the current membership, including this VM.
type MembersChanged struct{ Members []Member }

// RoleChanged reports whether this VM holds a role, such as the lease of a
// planner.
type RoleChanged struct {
	Role string
	Held bool
}

// MessageReceived is a message from the machine of another VM.
type MessageReceived struct {
	From    string
	Message Message
}

// UnitLoad is the number of requests for one unit since the last report.
type UnitLoad struct {
	Unit     ownership.UnitID
	Requests uint32
}

// KeyLoad is the number of requests for one frequent key since the last report.
type KeyLoad struct {
	Key      string
	Requests uint32
}

// LoadMeasured is the load of one service as counted by this VM's traffic
// layer.
type LoadMeasured struct {
	Service string
	Period  time.Duration
	Units   []UnitLoad
	HotKeys []KeyLoad
}

// SendsFinished reports that this VM's traffic layer has no request in flight
// to Server for the given units, and starts none under any routing of
// Generation or later. It matters for servers that do not check grants; without
// it the machine waits until the longest deadline has passed.
type SendsFinished struct {
	Service    string
	Server     string
	Units      []ownership.UnitID
	Generation uint64 // The Routing.Generation that the traffic layer had adopted before it counted.
}

// StopRequested starts the graceful handover of every term that this VM holds.
type StopRequested struct{}

func (ConfigurationAccepted) isInput() {}
func (PageRead) isInput()              {}
func (PageWritten) isInput()           {}
func (GrantAnswered) isInput()         {}
func (MembersChanged) isInput()        {}
func (RoleChanged) isInput()           {}
func (MessageReceived) isInput()       {}
func (LoadMeasured) isInput()          {}
func (SendsFinished) isInput()         {}
func (StopRequested) isInput()         {}
