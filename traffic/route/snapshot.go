// Package route holds the immutable routing state of the fleet that request
// handling reads.
//
// Control publishes a new Snapshot through an atomic pointer at each change;
// traffic goroutines never share a lock with control.
package route

import (
	"time"

	"guavacrank.example/config"
)

// Snapshot is one immutable routing state. It must not be changed once published.
type Snapshot struct {
	Revision config.Revision
	// Self is the name of this VM.
	Self     string
	Services map[string]*Service
	// Peers maps VM names to their IP:port for forwarded requests.
	Peers map[string]string
	// Locations holds the location of each VM that accepts forwarded requests, this
	// one included; draining VMs are not in it.
	Locations map[string]Location
}

// Location is where a VM runs.
type Location struct{ Region, Zone string }

// Service is the routing of one service.
type Service struct {
	Name         string
	DividedByKey bool
	Shards       uint32
	// PageVersion is the store's version of the ownership page, zero without one.
	PageVersion uint64
	Classes     map[string]config.Class
	// DefaultClass names the class of requests that name none: the first declared.
	DefaultClass string
	// Units is indexed by shard; Overrides is looked up first.
	Units     []Unit
	Overrides map[string]Unit
	// Servers are all servers of the service, sorted by name.
	Servers []*Server
	// Settings are the defaults with the exceptions that apply to the service.
	Settings config.Defaults
	// ClassSettings holds the settings of classes that have exceptions of their own.
	ClassSettings map[string]config.Defaults
}

// Unit is the routing of one ownership unit.
type Unit struct {
	ID    uint32
	Epoch uint64
	// Server is nil while the unit has no owner that may serve it.
	Server *Server
}

// Server is the routing of one backend server.
type Server struct {
	Name         string
	Address      string
	Region       string
	Zone         string
	Slots        int
	Connections  int
	ChecksGrants bool
	Draining     bool
	// Home is the VM whose queue admits requests to the server; empty if unknown.
	Home string
	// HomeUntil is the time, on the clock of package elapsed, until which this VM
	// may send to a server that does not check grants.
	HomeUntil time.Duration
	// Settings is set for a server that has exceptions of its own.
	Settings *config.Defaults
}
