package memstore

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"guavacrank.example/kvstore"
)

// watcher is a Watch call in progress.
type watcher struct {
	prefix string
	woken  chan struct{} // Holds at most one wake-up.
}

// Watch implements kvstore.Store. Entries are sorted by version. Repeating a call
// with the same version returns the same changes again, unless WatchMisses hid
// them. Watch fails with KindHistoryGone if tombstones after the version were
// dropped.
func (s *Store) Watch(ctx context.Context, prefix string, after kvstore.Version, wait time.Duration) ([]kvstore.Entry, error) {
	const op = "watch"
	if err := s.admit(ctx, op, prefix, &s.counts.Watches, false); err != nil {
		return nil, err
	}
	waiting := &watcher{prefix: prefix, woken: make(chan struct{}, 1)}
	s.addWatcher(waiting)
	defer s.removeWatcher(waiting)
	deadline := s.clock.Now() + wait
	for {
		changed, err := s.changes(prefix, after)
		if err != nil || len(changed) > 0 {
			return changed, err
		}
		left := deadline - s.clock.Now()
		if left <= 0 {
			return nil, nil
		}
		if err := s.waitForChange(ctx, waiting, left); err != nil {
			return nil, &kvstore.Error{Op: op, Key: prefix, Kind: kvstore.KindUnavailable, Err: err}
		}
	}
}

// waitForChange waits until a watched key changes, a lease may have expired,
// or limit has passed.
func (s *Store) waitForChange(ctx context.Context, waiting *watcher, limit time.Duration) error {
	s.mu.Lock()
	limit = min(limit, max(s.nextExpiry-s.clock.Now(), 0))
	s.mu.Unlock()
	passed, stop := s.clock.Timer(limit)
	defer stop()
	select {
	case <-waiting.woken:
	case <-passed:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// changes returns the latest state of each key under prefix that changed after
// the given version.
func (s *Store) changes(prefix string, after kvstore.Version) ([]kvstore.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if s.faults.Outage {
		return nil, &kvstore.Error{Op: "watch", Key: prefix, Kind: kvstore.KindUnavailable, Err: errOutage}
	}
	if s.faults.Watch == WatchSilent {
		return nil, nil
	}
	if after < s.compacted {
		return nil, &kvstore.Error{
			Op: "watch", Key: prefix, Kind: kvstore.KindHistoryGone, Current: s.version, Err: errCompacted,
		}
	}
	var changed []kvstore.Entry
	for key, current := range s.entries {
		if current.Version > after && !current.missed && strings.HasPrefix(key, prefix) {
			changed = append(changed, current.copy())
		}
	}
	slices.SortFunc(changed, byVersion)
	return changed, nil
}

func (s *Store) addWatcher(waiting *watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers[waiting] = struct{}{}
}

func (s *Store) removeWatcher(waiting *watcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watchers, waiting)
}

// wake wakes the watches whose prefix matches key.
func (s *Store) wake(key string) {
	for waiting := range s.watchers {
		if strings.HasPrefix(key, waiting.prefix) {
			waiting.wake()
		}
	}
}

// wakeAll wakes all watches, so that they check the faults again.
func (s *Store) wakeAll() {
	for waiting := range s.watchers {
		waiting.wake()
	}
}

func (w *watcher) wake() {
	select {
	case w.woken <- struct{}{}:
	default:
	}
}

func byVersion(a, b kvstore.Entry) int { return cmp.Compare(a.Version, b.Version) }
