package control

import (
	"time"

	"guavacrank.example/config"
	"guavacrank.example/control/ownership"
)

// Routing is what the traffic layer needs to send requests to owners.
type Routing struct {
	// Generation increases with each change; SendsFinished refers to it.
	Generation uint64
	Revision   config.Revision
	// Services are the services divided by key, sorted by name.
	Services []ServiceRouting
}

// ServiceRouting is the routing of one service divided by key.
type ServiceRouting struct {
	Name string
	// PageVersion is zero while no ownership page is known; Units is then empty.
	PageVersion uint64
	Shards      uint32
	Units       []UnitRouting // Sorted by ID.
	Overrides   []ownership.Override
	Servers     []ServerRouting // Sorted by name.
}

// UnitRouting is the owner of one unit.
type UnitRouting struct {
	ID    ownership.UnitID
	Owner string
	Epoch ownership.Epoch
	// Servable is false while the previous owner has not stopped, or the owner
	// is known to be lost or may get no new work, so that a request would be
	// refused or time out.
	Servable bool
}

// ServerRouting names the VM that admits requests to a backend server.
type ServerRouting struct {
	Name string
	Home string
	Term ownership.Term
	// HomeUntil is the time, on the clock passed to Step and Tick, until which
	// this VM may send to a server that does not check grants. It is zero if
	// this VM is not the server's home or must first confirm that it still is.
	HomeUntil time.Duration
}
