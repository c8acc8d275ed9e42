package control

import (
	"time"

	"guavacrank.example/config"
	"guavacrank.example/control/ownership"
)

// Routing is what traffic needs to send requests to owners.
type Routing struct {
	// Generation grows with each change; SendsFinished names it.
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
	// Servable is false while the previous owner must still stop, or the owner
	// is known to be lost, so that a request would be refused or wait in vain.
	Servable bool
}

// ServerRouting says which VM admits requests to a backend server.
type ServerRouting struct {
	Name string
	Home string
	Term ownership.Term
	// HomeUntil is the time, on the clock given to Step and Tick, until which
	// this VM may send to a server that does not check grants. It is zero when
	// this VM is not the home or must first re-confirm that it is.
	HomeUntil time.Duration
}
