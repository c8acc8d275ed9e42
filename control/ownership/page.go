// Package ownership defines the ownership page, the record of which backend
// server owns each key of a service divided by key. Each such service has one
// page in the platform's store, changed only by compare-and-swap.
//
// A key hashes to a shard; an override isolates one key in a unit of its own.
// Shards and overrides are both ownership units. The page also holds the
// grantor's term of each backend server, so that a single compare-and-swap
// serializes moves of units with changes of grantor.
package ownership

// UnitID identifies an ownership unit. IDs below Page.Shards are shards, the
// others belong to overrides. IDs are never reused.
type UnitID uint32

// Epoch is the version of one unit's ownership. It increases with each change
// of owner and never decreases.
type Epoch uint64

// Term is the version of one backend server's grantor. It increases with each
// change of grantor and never decreases.
type Term uint64

// Page is the ownership record of one service.
type Page struct {
	Service string
	// ChangeID is unique for each write. A writer that got no reply reads the page
	// back and looks for its ChangeID to learn whether the write was applied.
	ChangeID string
	// ChangedBy and Cause record who made the last write and why.
	ChangedBy string
	Cause     string
	Shards    uint32
	NextUnit  UnitID
	// LastTerm is the highest term of all removed servers. A server that is added
	// again starts with a higher term.
	LastTerm  Term
	Servers   []Server
	Units     []Unit
	Overrides []Override
}

// Server is a backend server's entry: the VM that may issue grants to it.
type Server struct {
	Name    string
	Term    Term
	Grantor string // Name of the VM that holds the term.
	// FormerGrantors are the VMs that held an earlier term and, as far as the page
	// records, may still act on it. A unit may leave the server only after each of
	// them has confirmed that it no longer does, or the server has accepted the
	// current term.
	FormerGrantors []string
	// Down is set when the grantor found the server lost. The server is given no
	// units until its grantor reaches it again.
	Down bool
}

// Unit is the ownership of one unit. While Previous is set, the previous owner
// may still serve the unit, so it must not be granted to Owner.
type Unit struct {
	ID       UnitID
	Owner    string
	Epoch    Epoch
	Previous string // Server that must stop first; empty once it has stopped.
}

// Override isolates one key in a unit of its own.
type Override struct {
	Key  string
	Unit UnitID
	// Declared is set if an operator pinned the key to a server.
	Declared bool
}
