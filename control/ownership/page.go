// Package ownership is the record of who owns what: one page for each service
// divided by key, changed only by compare-and-swap on the platform's store.
//
// A key hashes to a shard; an override takes one key out of its shard. Shards
// and overrides are ownership units. The page also holds the grantor's term of
// each backend server, so that one compare-and-swap decides between a move and
// a change of grantor.
package ownership

// UnitID names an ownership unit. Units below Page.Shards are shards, the
// others are overrides. Identifiers are never reused.
type UnitID uint32

// Epoch numbers the owners of one unit; it only grows.
type Epoch uint64

// Term numbers the grantors of one backend server; it only grows.
type Term uint64

// Page is the ownership record of one service.
type Page struct {
	Service string
	// ChangeID is unique for each write; it settles lost replies by reading back.
	ChangeID string
	// ChangedBy and Cause explain the last write.
	ChangedBy string
	Cause     string
	Shards    uint32
	NextUnit  UnitID
	// LastTerm is the highest term of the servers that were removed, so that a
	// server that returns to the page starts above it.
	LastTerm  Term
	Servers   []Server
	Units     []Unit
	Overrides []Override
}

// Server is a backend server's entry: who may give it grants.
type Server struct {
	Name    string
	Term    Term
	Grantor string // Name of the VM that holds the term.
	// FormerGrantors are the VMs that held an earlier term and may still act on it, as
	// far as the page knows: each must give its word, or the server must have
	// accepted the present term, before a unit leaves the server.
	FormerGrantors []string
	// Down says that the grantor found the server lost, so that nobody gives it
	// units until its grantor reaches it again.
	Down bool
}

// Unit is the ownership of one unit. Until Previous is cleared the unit may
// not be granted to Owner: the previous owner may still serve it.
type Unit struct {
	ID       UnitID
	Owner    string
	Epoch    Epoch
	Previous string // Server that must stop first; empty when it has stopped.
}

// Override takes one key out of its shard.
type Override struct {
	Key  string
	Unit UnitID
	// Declared says that an operator pinned the key to its owner.
	Declared bool
}
