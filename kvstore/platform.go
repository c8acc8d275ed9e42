// Package kvstore is the interface to the platform's services: the small
// key-value service with compare-and-swap, leases and watches, and the lagging
// list of VMs.
//
// Sub-packages: memstore is the in-memory stand-in with fault injection,
// httpstore serves a Store over HTTP and is the client of that protocol.
package kvstore

import (
	"context"
	"time"
)

// Version numbers the changes of a store. It grows with every applied change
// of any key; zero means that a key does not exist.
type Version uint64

// LeaseID identifies a lease; zero means "no lease".
type LeaseID uint64

// MaxValueBytes is the largest value that the service accepts.
const MaxValueBytes = 1 << 20

// Entry is one key with its value at a version.
type Entry struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value"`
	Version Version `json:"version"`
	Lease   LeaseID `json:"lease,omitempty"`
	// Deleted marks a removal; only watches report it.
	Deleted bool `json:"deleted,omitempty"`
}

// VM is one row of the platform's lagging list of VMs.
type VM struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Peer    string `json:"peer"` // IP:port of the fleet listener.
	Leaving bool   `json:"leaving"`
}

// Store is the platform's key-value service. Each call counts as one call at
// the service, a waiting watch too. Every error is an *Error.
type Store interface {
	// Get returns one entry, or an error of KindNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose key starts with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// CompareAndSwap writes value if the key's version equals expected (zero:
	// the key must not exist) and returns the new version. After an error
	// whose Outcome is OutcomeUnknown the change may have taken effect: read
	// it back by a unique identifier inside the value.
	CompareAndSwap(ctx context.Context, key string, expected Version, value []byte, lease LeaseID) (Version, error)
	// Delete removes the key if its version equals expected.
	Delete(ctx context.Context, key string, expected Version) error
	// Watch waits until a key under prefix changes after the given version,
	// and returns the newest state of each changed key. It returns no entries
	// when wait has passed.
	Watch(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Entry, error)
	// GrantLease creates a lease that lapses after ttl without KeepAlive.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends a lease by its ttl, or fails with KindNotFound.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease; its keys are removed.
	Revoke(ctx context.Context, lease LeaseID) error
	// VMs returns the platform's lagging list of VMs, sorted by name.
	VMs(ctx context.Context) ([]VM, error)
}
