package run

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"guavacrank.example/gateway/port"
	"guavacrank.example/kvstore"
)

const (
	// watchTimeout is how long one call waits for changes.
	watchTimeout = 20 * time.Second
	// frequentWatchTimeout is the same for a watcher whose silence must be noticed soon.
	frequentWatchTimeout = 500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call, which
	// doubles with each failure. minRetryDelay is also the minimum pause between
	// two polls.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
)

// storeWatcher keeps track of one key prefix in the store. It delivers the entries
// under the prefix and their changes to the loop.
type storeWatcher struct {
	store   port.Store
	prefix  string
	deliver func(input)
	clock   func() time.Duration // The loop's.

	// frequent makes each call return soon. A call without changes is delivered too: it
	// shows that there were none.
	frequent atomic.Bool

	mu     sync.Mutex
	active bool
	// resumePosition is the position from which to watch without listing the prefix
	// first. Its zero value lists it.
	resumePosition kvstore.Position
	wake           chan struct{}
	cancel         context.CancelFunc // Ends the current watch.
}

// newStoreWatcher returns an inactive storeWatcher. clock is the loop's.
func newStoreWatcher(store port.Store, prefix string, deliver func(input), clock func() time.Duration) *storeWatcher {
	return &storeWatcher{store: store, prefix: prefix, deliver: deliver, clock: clock, wake: make(chan struct{}, 1)}
}

// setActive starts or stops the watcher. After a start it lists the prefix.
func (w *storeWatcher) setActive(active bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.active == active {
		return
	}
	w.active = active
	if w.cancel != nil {
		w.cancel()
	}
	w.wakeUp()
}

// waitActive blocks until the watcher is active or ctx is done.
func (w *storeWatcher) waitActive(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		active := w.active
		w.mu.Unlock()
		if active {
			return
		}
		select {
		case <-w.wake:
		case <-ctx.Done():
		}
	}
}

// relist ends the current watch, so that the prefix is listed again. A watch may
// fail to return although something has changed.
func (w *storeWatcher) relist() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel != nil {
		w.cancel()
	}
}

// resumeFrom makes the next watch start after the given position without listing
// the prefix, because its state at that position is known.
func (w *storeWatcher) resumeFrom(position kvstore.Position) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resumePosition = position
}

// takeResumePosition returns the position set by resumeFrom and resets it.
func (w *storeWatcher) takeResumePosition() kvstore.Position {
	w.mu.Lock()
	defer w.mu.Unlock()
	position := w.resumePosition
	w.resumePosition = kvstore.Position{}
	return position
}

// wakeUp makes waitActive check the active flag again.
func (w *storeWatcher) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run lists the prefix and watches it until ctx is done. It lists the prefix again
// whenever the watch fails.
func (w *storeWatcher) run(ctx context.Context) {
	delay := minRetryDelay
	for w.waitActive(ctx); ctx.Err() == nil; w.waitActive(ctx) {
		if known := w.takeResumePosition(); known.Version > 0 {
			if err := w.watch(ctx, known); err != nil && !kvstore.IsKind(err, kvstore.KindHistoryGone) {
				sleep(ctx, jitter(minRetryDelay))
			}
			continue
		}
		began := w.clock()
		entries, position, err := w.store.List(ctx, w.prefix)
		w.deliver(watchResult{
			prefix: w.prefix, full: true, era: resultEra(position, err), version: position.Version, entries: entries, err: err,
			asOf: began, duration: w.clock() - began,
		})
		if err != nil {
			sleep(ctx, jitter(delay))
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		delay = minRetryDelay
		err = w.watch(ctx, position)
		if err != nil && !kvstore.IsKind(err, kvstore.KindHistoryGone) {
			sleep(ctx, jitter(minRetryDelay))
		}
	}
}

// resultEra returns the store's era according to the result of a call.
func resultEra(position kvstore.Position, err error) kvstore.Era {
	return max(position.Era, kvstore.EraOf(err))
}

// watch delivers changes until a call fails, the store is restored from an earlier copy,
// or the watch is canceled.
func (w *storeWatcher) watch(ctx context.Context, after kvstore.Position) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.mu.Lock()
	w.cancel = cancel
	if !w.active {
		cancel()
	}
	w.mu.Unlock()
	for ctx.Err() == nil {
		began, wait, frequent := w.clock(), watchTimeout, w.frequent.Load()
		if frequent {
			wait = frequentWatchTimeout
		}
		entries, position, err := w.store.Changes(ctx, w.prefix, after.Version, wait)
		if err != nil {
			return err
		}
		if position.Era != after.Era {
			return &kvstore.Error{Op: "watch", Key: w.prefix, Kind: kvstore.KindHistoryGone, Era: position.Era}
		}
		if len(entries) > 0 || frequent {
			w.deliver(watchResult{prefix: w.prefix, era: position.Era, entries: entries, asOf: w.respondedAfter(began, wait, entries)})
		}
		if after.Before(position) {
			after = position
		}
	}
	return ctx.Err()
}

// respondedAfter returns the time at or after which the store responded to a watch. The
// store waits only while there are no changes, and the response may be under way for
// long.
func (w *storeWatcher) respondedAfter(began, wait time.Duration, entries []kvstore.Entry) time.Duration {
	if len(entries) > 0 || w.clock() < began+wait {
		return began
	}
	return began + wait
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2) }
