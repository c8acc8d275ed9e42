package operator

import (
	"time"

	"guavacrank.example/config"
	"guavacrank.example/config/diff"
	"guavacrank.example/daemon/revision"
	"guavacrank.example/event"
)

// Version tells which interface a daemon speaks.
type Version struct {
	Interface int    `json:"interface"` // InterfaceVersion of the daemon.
	Build     string `json:"build"`
}

// Status is the state of the fleet as one VM sees it.
type Status struct {
	VM       string `json:"vm"`
	Region   string `json:"region"`
	Zone     string `json:"zone"`
	Build    string `json:"build"`
	Ready    bool   `json:"ready"`    // Takes callers' requests.
	Stopping bool   `json:"stopping"` // A graceful shutdown is under way.
	// Revision is in force on this VM. FleetRevision is the highest in force
	// anywhere, InForce the number of VMs that have it, out of VMCount.
	Revision      config.Revision `json:"revision"`
	FleetRevision config.Revision `json:"fleet_revision"`
	InForce       int             `json:"in_force"`
	VMCount       int             `json:"vm_count"`
	// StoreAnswers is false while the platform's service can't be reached.
	StoreAnswers bool            `json:"store_answers"`
	VMs          []VMStatus      `json:"vms"`
	Services     []ServiceStatus `json:"services"`
	Servers      []ServerStatus  `json:"servers"`
	Lost         []LostStatus    `json:"lost"`
	// ExpiredExceptions lists the exceptions past their date; they are still in force.
	ExpiredExceptions []ExceptionStatus `json:"expired_exceptions"`
}

// VMStatus is one VM of the fleet.
type VMStatus struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Alive   bool   `json:"alive"`
	Leaving bool   `json:"leaving"`
	// Revision is what the VM has in force, zero if it is not known.
	Revision config.Revision `json:"revision"`
}

// ServiceStatus is one service.
type ServiceStatus struct {
	Name         string `json:"name"`
	DividedByKey bool   `json:"divided_by_key"`
	Units        int    `json:"units"`   // Shards and separate keys.
	Waiting      int    `json:"waiting"` // Units that no server may serve at this moment.
	Planner      string `json:"planner,omitempty"`
}

// ServerStatus is one backend server.
type ServerStatus struct {
	Name     string `json:"name"`
	Service  string `json:"service"`
	Region   string `json:"region"`
	Zone     string `json:"zone"`
	Address  string `json:"address"`
	Draining bool   `json:"draining"`
	// ChecksGrants is false for a server that does not verify who gives it an
	// order: a request that waits in it while it is frozen may run late.
	ChecksGrants bool   `json:"checks_grants"`
	Units        int    `json:"units"`
	Grantor      string `json:"grantor,omitempty"`
	Term         uint64 `json:"term,omitempty"`
}

// LostStatus is what an operator declared lost.
type LostStatus struct {
	Kind   config.LostKind `json:"kind"`
	Name   string          `json:"name"`
	Reason string          `json:"reason"`
}

// ExceptionStatus is an exception past its date.
type ExceptionStatus struct {
	For    string    `json:"for"`
	Reason string    `json:"reason"`
	Until  time.Time `json:"until"`
}

// Owners is who owns what of one service.
type Owners struct {
	Service      string  `json:"service"`
	DividedByKey bool    `json:"divided_by_key"`
	PageVersion  uint64  `json:"page_version"`
	Units        []Owner `json:"units"`
}

// Owner is the owner of one unit.
type Owner struct {
	Unit uint32 `json:"unit"`
	// Key is set for a key that stands apart from its shard, Declared if an
	// operator pinned it.
	Key      string `json:"key,omitempty"`
	Declared bool   `json:"declared,omitempty"`
	Server   string `json:"server"`
	Epoch    uint64 `json:"epoch"`
	// Servable is false while the previous owner must still stop.
	Servable bool   `json:"servable"`
	Grantor  string `json:"grantor"`
	Term     uint64 `json:"term"`
}

// Explanation says who serves one key and why.
type Explanation struct {
	Service      string `json:"service"`
	Key          string `json:"key"`
	DividedByKey bool   `json:"divided_by_key"`
	Owner        Owner  `json:"owner"`
	Address      string `json:"address"` // Of the owning server.
	ChecksGrants bool   `json:"checks_grants"`
	PageVersion  uint64 `json:"page_version"`
	// Cause tells why the key is where it is.
	Cause string `json:"cause"`
	// ChangedBy and PageCause tell who changed the service's page last, and why.
	ChangedBy string `json:"changed_by"`
	PageCause string `json:"page_cause"`
	// Changes are this VM's newest events of the service, newest first.
	Changes []LoggedEvent `json:"changes"`
}

// LoggedEvent is one event of a VM's log.
type LoggedEvent struct {
	// Cursor grows by one for each event of the process, from 1.
	Cursor uint64        `json:"cursor"`
	Time   time.Time     `json:"time"`
	Number event.Number  `json:"number"`
	Name   string        `json:"name"`
	Level  string        `json:"level"`
	Cause  string        `json:"cause"`
	Fields []event.Field `json:"fields,omitempty"`
}

// Events is one part of a VM's log.
type Events struct {
	VM     string        `json:"vm"`
	Events []LoggedEvent `json:"events"`
	// Next is the cursor to ask for next; Missed counts events before the first
	// one that are no longer kept.
	Next   uint64 `json:"next"`
	Missed uint64 `json:"missed"`
}

// History is the kept revisions, newest first.
type History struct {
	Revisions []revision.Summary `json:"revisions"`
}

// ApplyRequest puts a configuration into force, or with DryRun tells what it
// would change.
type ApplyRequest struct {
	ChangeID string          `json:"change_id"`
	Base     config.Revision `json:"base"`
	Author   string          `json:"author"`
	Reason   string          `json:"reason"`
	File     string          `json:"file"`
	YAML     string          `json:"yaml"`
	DryRun   bool            `json:"dry_run"`
}

// RollbackRequest puts the text of an earlier revision into force.
type RollbackRequest struct {
	ChangeID string          `json:"change_id"`
	Base     config.Revision `json:"base"`
	To       config.Revision `json:"to"`
	Author   string          `json:"author"`
	Reason   string          `json:"reason"`
}

// DrainRequest starts or ends the draining of a backend server.
type DrainRequest struct {
	ChangeID string `json:"change_id"`
	Server   string `json:"server"`
	Draining bool   `json:"draining"`
	Author   string `json:"author"`
	Reason   string `json:"reason"`
}

// LostRequest declares something lost.
type LostRequest struct {
	ChangeID string          `json:"change_id"`
	Kind     config.LostKind `json:"kind"`
	Name     string          `json:"name"`
	Author   string          `json:"author"`
	Reason   string          `json:"reason"`
}

// ChangeResponse answers every change of the configuration.
type ChangeResponse struct {
	DryRun bool `json:"dry_run"`
	// Revision was accepted, or is in force with DryRun.
	Revision     config.Revision    `json:"revision"`
	ChangeID     string             `json:"change_id"`
	Changes      []diff.Change      `json:"changes"`
	Consequences []diff.Consequence `json:"consequences"`
}
