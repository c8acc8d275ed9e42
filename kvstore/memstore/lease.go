package memstore

import (
	"context"
	"math"
	"slices"
	"time"

	"guavacrank.example/kvstore"
)

// noExpiry is the value of Store.nextExpiry when there are no leases.
const noExpiry = time.Duration(math.MaxInt64)

// lease is a lease and the keys that are deleted when it ends.
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
			return &kvstore.Error{Op: op, Kind: kvstore.KindInvalid, Err: errInvalidTTL}
		}
		s.lastID++
		granted = s.lastID
		expires := s.clock.Now() + ttl
		s.leases[granted] = &lease{ttl: ttl, expires: expires, keys: make(map[string]struct{})}
		s.nextExpiry = min(s.nextExpiry, expires)
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

// expireLeases ends the leases that have expired, in order of their IDs.
func (s *Store) expireLeases() {
	now := s.clock.Now()
	if now < s.nextExpiry {
		return
	}
	var expired []kvstore.LeaseID
	s.nextExpiry = noExpiry
	for id, held := range s.leases {
		if held.expires <= now {
			expired = append(expired, id)
		} else {
			s.nextExpiry = min(s.nextExpiry, held.expires)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		s.endLease(id)
	}
}

// endLease deletes a lease and its keys, in key order.
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
