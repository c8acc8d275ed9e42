package memstore

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"guavacrank.example/kvstore"
)

// Underlying errors of a kvstore.Error. httpstore sends their texts to clients.
var (
	errOutage       = errors.New("the service is out")
	errLostRequest  = errors.New("the request was lost")
	errLostReply    = errors.New("the reply was lost")
	errNoLease      = errors.New("no such lease")
	errEmptyKey     = errors.New("the key is empty")
	errInvalidTTL   = errors.New("the time to live must be positive")
	errCompacted    = errors.New("the version is too old for a watch: list again")
	errRateExceeded = errors.New("the call rate was exceeded")
)

// Get implements kvstore.Store.
func (s *Store) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	var found kvstore.Entry
	err := s.read(ctx, "get", key, &s.counts.Gets, func() error {
		current, ok := s.entries[key]
		if !ok || current.Deleted {
			return &kvstore.Error{Op: "get", Key: key, Kind: kvstore.KindNotFound}
		}
		found = current.copy()
		return nil
	})
	return found, err
}

// List implements kvstore.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]kvstore.Entry, error) {
	var found []kvstore.Entry
	err := s.read(ctx, "list", prefix, &s.counts.Lists, func() error {
		for key, current := range s.entries {
			if strings.HasPrefix(key, prefix) && !current.Deleted {
				found = append(found, current.copy())
			}
		}
		slices.SortFunc(found, byKey)
		return nil
	})
	return found, err
}

// CompareAndSwap implements kvstore.Store. It fails with KindNotFound if the
// lease does not exist, and with KindInvalid if the key is empty.
func (s *Store) CompareAndSwap(ctx context.Context, key string, expected kvstore.Version, value []byte, leaseID kvstore.LeaseID) (kvstore.Version, error) {
	const op = "compare-and-swap"
	var written kvstore.Version
	err := s.write(ctx, op, key, &s.counts.Swaps, func() error {
		if key == "" {
			return &kvstore.Error{Op: op, Kind: kvstore.KindInvalid, Err: errEmptyKey}
		}
		if len(value) > kvstore.MaxValueBytes {
			return &kvstore.Error{Op: op, Key: key, Kind: kvstore.KindTooLarge}
		}
		if err := s.checkVersion(op, key, expected); err != nil {
			return err
		}
		if _, ok := s.leases[leaseID]; !ok && leaseID != 0 {
			return &kvstore.Error{Op: op, Key: key, Kind: kvstore.KindNotFound, Err: errNoLease}
		}
		written = s.put(key, bytes.Clone(value), leaseID)
		return nil
	})
	if err != nil {
		return 0, err
	}
	return written, nil
}

// Delete implements kvstore.Store.
func (s *Store) Delete(ctx context.Context, key string, expected kvstore.Version) error {
	const op = "delete"
	return s.write(ctx, op, key, &s.counts.Deletes, func() error {
		if s.currentVersion(key) == 0 {
			return &kvstore.Error{Op: op, Key: key, Kind: kvstore.KindNotFound}
		}
		if err := s.checkVersion(op, key, expected); err != nil {
			return err
		}
		s.remove(key)
		return nil
	})
}

// checkVersion returns a KindConflict error unless the key has the expected
// version.
func (s *Store) checkVersion(op, key string, expected kvstore.Version) error {
	current := s.currentVersion(key)
	if current == expected {
		return nil
	}
	return &kvstore.Error{Op: op, Key: key, Kind: kvstore.KindConflict, Current: current}
}

// currentVersion returns the version of a key, or zero if it does not exist.
func (s *Store) currentVersion(key string) kvstore.Version {
	current, ok := s.entries[key]
	if !ok || current.Deleted {
		return 0
	}
	return current.Version
}

// read runs a read call with the configured faults.
func (s *Store) read(ctx context.Context, op, key string, count *uint64, run func() error) error {
	if err := s.admit(ctx, op, key, count, false); err != nil {
		return err
	}
	s.mu.Lock()
	s.expireLeases()
	err := run()
	delay := s.faults.ReplyDelay
	s.mu.Unlock()
	if waitErr := s.sleep(ctx, delay); waitErr != nil {
		return &kvstore.Error{Op: op, Key: key, Kind: kvstore.KindUnavailable, Err: waitErr}
	}
	return err
}

// write runs a write call with the configured faults, lost messages included.
func (s *Store) write(ctx context.Context, op, key string, count *uint64, run func() error) error {
	if err := s.admit(ctx, op, key, count, true); err != nil {
		return err
	}
	s.mu.Lock()
	s.expireLeases()
	if s.takeLostCall(&s.faults.LostRequests, key) {
		s.mu.Unlock()
		return unknownOutcome(op, key, errLostRequest)
	}
	err := run()
	lost := s.takeLostCall(&s.faults.LostReplies, key)
	delay := s.faults.ReplyDelay
	s.mu.Unlock()
	if lost {
		return unknownOutcome(op, key, errLostReply)
	}
	if waitErr := s.sleep(ctx, delay); waitErr != nil {
		return unknownOutcome(op, key, waitErr)
	}
	return err
}

// admit counts and delays a call, then fails it during an outage or if it
// exceeds the rate limit.
func (s *Store) admit(ctx context.Context, op, key string, count *uint64, write bool) error {
	if err := ctx.Err(); err != nil {
		return &kvstore.Error{Op: op, Key: key, Kind: kvstore.KindUnavailable, Err: err}
	}
	s.mu.Lock()
	*count++
	delay := s.faults.Delay
	s.mu.Unlock()
	if err := s.sleep(ctx, delay); err != nil {
		if write {
			return unknownOutcome(op, key, err)
		}
		return &kvstore.Error{Op: op, Key: key, Kind: kvstore.KindUnavailable, Err: err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		s.counts.Refused++
		return &kvstore.Error{Op: op, Key: key, Kind: kvstore.KindUnavailable, Err: errOutage}
	}
	limiter := s.reads
	if write {
		limiter = s.writes
	}
	if !limiter.AllowN(s.limiterTime(), 1) {
		s.counts.Throttled++
		return &kvstore.Error{Op: op, Key: key, Kind: kvstore.KindThrottled, Err: errRateExceeded}
	}
	return nil
}

// sleep waits for d on the store's clock or until ctx ends.
func (s *Store) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	done, stop := s.clock.Timer(d)
	defer stop()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// unknownOutcome returns the error of a write that may have taken effect.
func unknownOutcome(op, key string, err error) error {
	return &kvstore.Error{
		Op: op, Key: key, Kind: kvstore.KindUnavailable, Outcome: kvstore.OutcomeUnknown, Err: err,
	}
}

func (r *record) copy() kvstore.Entry {
	entry := r.Entry
	entry.Value = bytes.Clone(r.Value)
	return entry
}

func byKey(a, b kvstore.Entry) int { return strings.Compare(a.Key, b.Key) }
