package once

import (
	"context"
	"sync"
	"time"

	"guavacrank.example/platform"
)

// fakeStore is a store of versioned values whose calls can fail before or
// after their effect.
type fakeStore struct {
	mu      sync.Mutex
	version platform.Version
	entries map[string]platform.Entry
	leases  platform.LeaseID
	// down makes every call fail without effect; lose makes that many changes
	// take effect and lose their reply; unread makes reads fail.
	down   bool
	lose   int
	unread bool
}

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]platform.Entry{}} }

func (s *fakeStore) fail(op, key string, kind platform.Kind, outcome platform.Outcome) error {
	return &platform.Error{Op: op, Key: key, Kind: kind, Outcome: outcome}
}

func (s *fakeStore) Get(_ context.Context, key string) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.unread {
		return platform.Entry{}, s.fail("get", key, platform.KindUnavailable, platform.OutcomeNotApplied)
	}
	entry, ok := s.entries[key]
	if !ok {
		return platform.Entry{}, s.fail("get", key, platform.KindNotFound, platform.OutcomeNotApplied)
	}
	return entry, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, expected platform.Version, value []byte, lease platform.LeaseID) (platform.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, s.fail("cas", key, platform.KindUnavailable, platform.OutcomeNotApplied)
	}
	if lease > s.leases {
		return 0, s.fail("cas", key, platform.KindNotFound, platform.OutcomeNotApplied)
	}
	if s.entries[key].Version != expected {
		return 0, s.fail("cas", key, platform.KindConflict, platform.OutcomeNotApplied)
	}
	s.version++
	s.entries[key] = platform.Entry{Key: key, Value: value, Version: s.version, Lease: lease}
	if s.lose > 0 {
		s.lose--
		return 0, s.fail("cas", key, platform.KindUnavailable, platform.OutcomeUnknown)
	}
	return s.version, nil
}

func (s *fakeStore) Delete(_ context.Context, key string, expected platform.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return s.fail("delete", key, platform.KindUnavailable, platform.OutcomeNotApplied)
	}
	if s.entries[key].Version != expected {
		return s.fail("delete", key, platform.KindConflict, platform.OutcomeNotApplied)
	}
	delete(s.entries, key)
	return nil
}

func (s *fakeStore) GrantLease(context.Context, time.Duration) (platform.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, s.fail("lease", "", platform.KindUnavailable, platform.OutcomeNotApplied)
	}
	s.leases++
	return s.leases, nil
}
