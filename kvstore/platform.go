// Package kvstore defines the interface to the platform's services: a key-value
// store with compare-and-swap, leases and watches, and a list of VMs that lags
// behind the actual state.
//
// Package memstore is an in-memory implementation with fault injection. Package
// httpstore serves a Store over HTTP and provides the client.
package kvstore

import (
	"context"
	"time"
)

// Version is the store-wide revision at which a key was last changed. It grows
// with every applied change of any key; zero means that a key does not exist.
type Version uint64

// Era counts how often a store was restored from an earlier copy of itself. A
// restored store has lost changes that it had acknowledged, and gives their versions
// and lease IDs out again, so that neither can be compared across eras. Zero means that
// the store names no era.
type Era uint64

// Position is a state of a store: a version in an era.
type Position struct {
	Era     Era     `json:"era,omitempty"`
	Version Version `json:"version"`
}

// Before reports whether p is an earlier position than other. Positions are ordered by
// era, then by version.
func (p Position) Before(other Position) bool {
	if p.Era != other.Era {
		return p.Era < other.Era
	}
	return p.Version < other.Version
}

// Lease is a lease that a store granted.
type Lease struct {
	ID  LeaseID
	TTL time.Duration
	// Era is the store's era when it granted the lease.
	Era Era
}

// LeaseID identifies a lease; zero means no lease.
type LeaseID uint64

// MaxValueBytes is the size of the largest value that the service accepts.
const MaxValueBytes = 1 << 20

// Entry is a key with its value and version.
type Entry struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value"`
	Version Version `json:"version"`
	Lease   LeaseID `json:"lease,omitempty"`
	// Era is the store's era when the entry was read.
	Era Era `json:"era,omitempty"`
	// Deleted marks a deleted key; only watches return such entries.
	Deleted bool `json:"deleted,omitempty"`
}

// VM is an entry of the platform's VM list.
type VM struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Peer    string `json:"peer"` // IP:port of the listener for peers.
	Leaving bool   `json:"leaving"`
}

// Store is the platform's key-value service. Each method call counts once
// against the service's rate limit, however long a watch waits. Every error is
// an *Error.
type Store interface {
	// Get returns one entry, or fails with KindNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose key starts with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes value if the key's version equals expected (zero:
	// the key must not exist) and returns the new version. After an error
	// with OutcomeUnknown the write may have taken effect: put a unique
	// identifier into the value and read the key back to find out.
	CompareAndSwap(ctx context.Context, key string, expected Version, value []byte, lease LeaseID) (Version, error)
	// Delete deletes the key if its version equals expected.
	Delete(ctx context.Context, key string, expected Version) error
	// Watch waits until a key under prefix has changed since the given version
	// and returns the latest state of each changed key. It returns no entries
	// if nothing changes within wait.
	Watch(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Entry, error)
	// GrantLease creates a lease that expires unless KeepAlive is called within
	// ttl.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease for its full ttl, or fails with KindNotFound.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// VMs returns the platform's VM list, sorted by name. The list lags behind
	// the actual state.
	VMs(ctx context.Context) ([]VM, error)
}
