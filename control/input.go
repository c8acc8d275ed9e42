package control

import (
	"time"

	"guavacrank.example/backend"
	"guavacrank.example/config"
	"guavacrank.example/control/ownership"
)

// Input is something that happened outside the machine.
type Input interface{ isInput() }

// ConfigurationAccepted brings a configuration revision into force. A lower
// revision than the one in force is ignored.
type ConfigurationAccepted struct {
	Revision      config.Revision
	Configuration *config.Configuration
}

// PageRead is the newest known state of a service's ownership page, read from
// the store or received from a peer. Version zero means that it does not exist.
// Lower versions than the known one are ignored.
type PageRead struct {
	Service string
	// Request is the Request of the PageReadRequest that this read of the store
	// answers. It is zero for a page that came by a watch or from a peer, which
	// may be out of date and confirms nothing.
	Request uint64
	Version uint64
	Page    ownership.Page
}

// WriteOutcome is what is known of a page write.
type WriteOutcome uint8

// Outcomes of a page write.
const (
	WriteUnknown  WriteOutcome = iota // May have taken effect: read back by ChangeID.
	WriteApplied                      // Confirmed by the store.
	WriteConflict                     // Somebody else wrote first; not applied.
	WriteFailed                       // Proved not applied.
)

// PageWritten answers a PageWrite.
type PageWritten struct {
	Service  string
	ChangeID string
	Outcome  WriteOutcome
	Version  uint64 // The new version, with WriteApplied.
}

// GrantAnswered answers a GrantSend. Reached is false when no answer came. Of
// a server that does not check grants only Reached counts.
type GrantAnswered struct {
	Server   string
	Sequence uint64
	Reached  bool
	Answer   backend.GrantAnswer
}

// Member is what this VM knows of one VM of the fleet.
type Member struct {
	Name   string
	Region string
	Zone   string
	// Alive is false when the probes of the fleet suspect the VM.
	Alive   bool
	Leaving bool
}

// MembersChanged is the newest membership, sorted by name, this VM included.
type MembersChanged struct{ Members []Member }

// RoleChanged says whether this VM holds a role (the lease of a planner).
type RoleChanged struct {
	Role string
	Held bool
}

// MessageReceived is a message from another VM's machine.
type MessageReceived struct {
	From    string
	Message Message
}

// UnitLoad is the work of one unit since the last report.
type UnitLoad struct {
	Unit     ownership.UnitID
	Requests uint32
}

// KeyLoad is the work of one frequent key since the last report.
type KeyLoad struct {
	Key      string
	Requests uint32
}

// LoadMeasured is what this VM's own traffic counted for one service.
type LoadMeasured struct {
	Service string
	Period  time.Duration
	Units   []UnitLoad
	HotKeys []KeyLoad
}

// SendsFinished is the statement of this VM's traffic that it has no request in
// flight to Server for the given units, and that it starts none under any
// routing of Generation or later. It matters for servers that do not check
// grants; without it the machine waits until the longest deadline has passed.
type SendsFinished struct {
	Service    string
	Server     string
	Units      []ownership.UnitID
	Generation uint64 // Routing.Generation that traffic had adopted before it counted.
}

// StopRequested starts the graceful hand-over of every term this VM holds.
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
