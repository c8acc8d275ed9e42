// Package oncetest is a small fake of the store that idempotency records need,
// whose calls can fail before or after their effect.
package oncetest

import (
	"context"
	"sync"
	"time"

	"guavacrank.example/kvstore"
)

// Store is a store of versioned values in memory.
type Store struct {
	mu           sync.Mutex
	version      kvstore.Version
	entries      map[string]kvstore.Entry
	leases       kvstore.LeaseID
	down         bool
	lose         int
	readsFailing bool
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{entries: map[string]kvstore.Entry{}} }

// SetDown makes every call fail without effect while down is set.
func (s *Store) SetDown(down bool) { s.set(func() { s.down = down }) }

// LoseReplies makes the given number of next writes take effect without a reply.
func (s *Store) LoseReplies(changes int) { s.set(func() { s.lose = changes }) }

// SetReadsFailing makes every read fail while failing is set.
func (s *Store) SetReadsFailing(failing bool) { s.set(func() { s.readsFailing = failing }) }

// Leases returns how many leases were granted.
func (s *Store) Leases() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.leases)
}

func (s *Store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *Store) fail(op, key string, kind kvstore.Kind, outcome kvstore.Outcome) error {
	return &kvstore.Error{Op: op, Key: key, Kind: kind, Outcome: outcome}
}

// Get implements once.Store.
func (s *Store) Get(_ context.Context, key string) (kvstore.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.readsFailing {
		return kvstore.Entry{}, s.fail("get", key, kvstore.KindUnavailable, kvstore.OutcomeNotApplied)
	}
	entry, ok := s.entries[key]
	if !ok {
		return kvstore.Entry{}, s.fail("get", key, kvstore.KindNotFound, kvstore.OutcomeNotApplied)
	}
	return entry, nil
}

// CompareAndSwap implements once.Store.
func (s *Store) CompareAndSwap(_ context.Context, key string, expected kvstore.Version, value []byte, lease kvstore.LeaseID) (kvstore.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, s.fail("cas", key, kvstore.KindUnavailable, kvstore.OutcomeNotApplied)
	}
	if lease > s.leases {
		return 0, s.fail("cas", key, kvstore.KindNotFound, kvstore.OutcomeNotApplied)
	}
	if s.entries[key].Version != expected {
		return 0, s.fail("cas", key, kvstore.KindConflict, kvstore.OutcomeNotApplied)
	}
	s.version++
	s.entries[key] = kvstore.Entry{Key: key, Value: value, Version: s.version, Lease: lease}
	if s.lose > 0 {
		s.lose--
		return 0, s.fail("cas", key, kvstore.KindUnavailable, kvstore.OutcomeUnknown)
	}
	return s.version, nil
}

// Delete implements once.Store.
func (s *Store) Delete(_ context.Context, key string, expected kvstore.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return s.fail("delete", key, kvstore.KindUnavailable, kvstore.OutcomeNotApplied)
	}
	if s.entries[key].Version != expected {
		return s.fail("delete", key, kvstore.KindConflict, kvstore.OutcomeNotApplied)
	}
	delete(s.entries, key)
	return nil
}

// GrantLease implements once.Store.
func (s *Store) GrantLease(context.Context, time.Duration) (kvstore.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, s.fail("lease", "", kvstore.KindUnavailable, kvstore.OutcomeNotApplied)
	}
	s.leases++
	return s.leases, nil
}
