package memstore

import (
	"context"
	"math"
	"slices"
	"time"

	"guavacrank.example/kvstore"
)

// noLapse says that no lease can lapse.
const noLapse = time.Duration(math.MaxInt64)

// lease is one holder's lease and the keys that end with it.
type lease struct {
	ttl     time.Duration
	expires time.Duration // On the store's clock.
	keys    map[string]struct{}
}

// GrantLease implements kvstore.Store.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, error) {
	const op = "grant lease"
	var granted kvstore.LeaseID
	err := s.write(ctx, op, "", &s.counts.LeaseGrants, func() error {
		if ttl <= 0 {
			return &kvstore.Error{Op: op, Kind: kvstore.KindInvalid, Err: errTimeToLive}
		}
		s.lastID++
		granted = s.lastID
		expires := s.clock.Now() + ttl
		s.leases[granted] = &lease{ttl: ttl, expires: expires, keys: make(map[string]struct{})}
		s.nextLapse = min(s.nextLapse, expires)
		return nil
	})
	if err != nil {
		return 0, err
	}
	return granted, nil
}

// KeepAlive implements kvstore.Store.
func (s *Store) KeepAlive(ctx context.Context, id kvstore.LeaseID) error {
	const op = "keep alive"
	return s.write(ctx, op, "", &s.counts.KeepAlives, func() error {
		held, ok := s.leases[id]
		if !ok {
			return &kvstore.Error{Op: op, Kind: kvstore.KindNotFound, Err: errNoLease}
		}
		held.expires = s.clock.Now() + held.ttl
		return nil
	})
}

// Revoke implements kvstore.Store.
func (s *Store) Revoke(ctx context.Context, id kvstore.LeaseID) error {
	const op = "revoke"
	return s.write(ctx, op, "", &s.counts.Revokes, func() error {
		if _, ok := s.leases[id]; !ok {
			return &kvstore.Error{Op: op, Kind: kvstore.KindNotFound, Err: errNoLease}
		}
		s.endLease(id)
		return nil
	})
}

// lapse ends the leases whose time has passed, in order of identifier.
func (s *Store) lapse() {
	now := s.clock.Now()
	if now < s.nextLapse {
		return
	}
	var ended []kvstore.LeaseID
	s.nextLapse = noLapse
	for id, held := range s.leases {
		if held.expires <= now {
			ended = append(ended, id)
		} else {
			s.nextLapse = min(s.nextLapse, held.expires)
		}
	}
	slices.Sort(ended)
	for _, id := range ended {
		s.endLease(id)
	}
}

// endLease removes a lease and its keys, in order of key.
func (s *Store) endLease(id kvstore.LeaseID) {
	held := s.leases[id]
	delete(s.leases, id)
	keys := make([]string, 0, len(held.keys))
	for key := range held.keys {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	for _, key := range keys {
		s.remove(key)
	}
}
