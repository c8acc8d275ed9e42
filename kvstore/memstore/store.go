// Package memstore is an in-memory kvstore.Store with fault injection, call
// counters and rate limits, for tests, benchmarks and the demo.
package memstore

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"guavacrank.example/kvstore"
	"guavacrank.example/kvstore/clock"
)

// Defaults of Options.
const (
	// DefaultWritesPerSecond limits write calls.
	DefaultWritesPerSecond = 400
	// DefaultReadsPerSecond limits read calls; a watch counts as one call.
	DefaultReadsPerSecond = 2000
	// maxTombstones limits the number of tombstones kept for deleted keys. A
	// watch from a version whose later tombstones were dropped fails with
	// KindHistoryGone.
	maxTombstones = 1 << 16
)

// Options configures a Store. Zero values take the defaults.
type Options struct {
	// Clock is used for leases, delays, rate limits and watches; the default is
	// clock.System.
	Clock clock.Clock
	// WritesPerSecond and ReadsPerSecond are rate limits; the burst size equals
	// the rate. Negative means no limit.
	WritesPerSecond int
	ReadsPerSecond  int
	// OnChange is called for every change in order, including those whose reply
	// is lost. It must not call the store. May be nil.
	OnChange func(kvstore.Entry)
}

// Store is an in-memory kvstore.Store. It is safe for concurrent use.
type Store struct {
	clock    clock.Clock
	onChange func(kvstore.Entry)

	mu      sync.Mutex
	version kvstore.Version
	entries map[string]*record
	leases  map[kvstore.LeaseID]*lease
	lastID  kvstore.LeaseID
	// nextExpiry is a lower bound of the earliest lease expiry.
	nextExpiry time.Duration
	watchers   map[*watcher]struct{}
	// compacted is the highest version whose tombstone was dropped.
	compacted  kvstore.Version
	tombstones []tombstone
	vms        []vmList
	faults     Faults
	counts     Counts
	writes     *rate.Limiter
	reads      *rate.Limiter
}

// record is the latest state of a key; a deleted key has Deleted set.
type record struct {
	kvstore.Entry
	// missed hides the change from watches (WatchMisses).
	missed bool
}

type tombstone struct {
	key     string
	version kvstore.Version
}

var _ kvstore.Store = (*Store)(nil)

// New returns an empty store.
func New(options Options) *Store {
	if options.Clock == nil {
		options.Clock = clock.System()
	}
	return &Store{
		clock:      options.Clock,
		onChange:   options.OnChange,
		entries:    make(map[string]*record),
		leases:     make(map[kvstore.LeaseID]*lease),
		nextExpiry: noExpiry,
		watchers:   make(map[*watcher]struct{}),
		writes:     newLimiter(options.WritesPerSecond, DefaultWritesPerSecond),
		reads:      newLimiter(options.ReadsPerSecond, DefaultReadsPerSecond),
	}
}

func newLimiter(perSecond, fallback int) *rate.Limiter {
	switch {
	case perSecond < 0:
		return rate.NewLimiter(rate.Inf, 0)
	case perSecond == 0:
		perSecond = fallback
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// put writes a key, attaches it to the lease and wakes its watches.
func (s *Store) put(key string, value []byte, leaseID kvstore.LeaseID) kvstore.Version {
	s.detach(key)
	entry := kvstore.Entry{Key: key, Value: value, Lease: leaseID}
	if held, ok := s.leases[leaseID]; ok {
		held.keys[key] = struct{}{}
	}
	return s.commit(entry)
}

// remove deletes a key and keeps a tombstone for watches.
func (s *Store) remove(key string) {
	s.detach(key)
	version := s.commit(kvstore.Entry{Key: key, Deleted: true})
	s.tombstones = append(s.tombstones, tombstone{key: key, version: version})
	s.compact()
}

func (s *Store) commit(entry kvstore.Entry) kvstore.Version {
	s.version++
	entry.Version = s.version
	missed := s.faults.Watch == WatchMisses
	s.entries[entry.Key] = &record{Entry: entry, missed: missed}
	if !missed {
		s.wake(entry.Key)
	}
	if s.onChange != nil {
		s.onChange(entry)
	}
	return s.version
}

// detach detaches a key from its lease.
func (s *Store) detach(key string) {
	old, ok := s.entries[key]
	if !ok {
		return
	}
	if held, ok := s.leases[old.Lease]; ok {
		delete(held.keys, key)
	}
}

// compact drops the oldest tombstones beyond maxTombstones.
func (s *Store) compact() {
	for len(s.tombstones) > maxTombstones {
		oldest := s.tombstones[0]
		s.tombstones = s.tombstones[1:]
		if current, ok := s.entries[oldest.key]; ok && current.Version == oldest.version {
			delete(s.entries, oldest.key)
		}
		s.compacted = oldest.version
	}
}

// limiterTime returns the store's time in the form that the rate limiters take.
func (s *Store) limiterTime() time.Time { return time.Unix(0, int64(s.clock.Now())) }
