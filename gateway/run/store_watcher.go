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
	// watchTimeout is how long one watch waits for a change.
	watchTimeout = 20 * time.Second
	// minRetryDelay and maxRetryDelay bound the pause after a failed call; it doubles.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// serverPollInterval is the time between two readings of the servers' records.
	serverPollInterval = 900 * time.Millisecond
	// leaderServerPollInterval is the same while this VM leads.
	leaderServerPollInterval = 450 * time.Millisecond
	// configurationPollInterval is the time between a leader's readings of the
	// configuration.
	configurationPollInterval = time.Second
	// maxConfigurationBytesPerSec bounds the bytes a second of a leader's readings of the
	// configuration.
	maxConfigurationBytesPerSec = 64 << 10
	// maxServerBytesPerSec bounds the bytes a second of a daemon's readings of the
	// servers' records, while no leader tells it.
	maxServerBytesPerSec = 30 << 10
	// relayedListMargin is how long the leader's word on the servers counts beyond the
	// time between two reports.
	relayedListMargin = 1200 * time.Millisecond
)

// feed follows one prefix of the store.
type storeWatcher struct {
	store   port.Store
	prefix  string
	deliver func(input)

	// resumeVersion is the version resumeVersion which to watch without a listing; zero lists.
	resumeVersion atomic.Uint64

	mu     sync.Mutex
	active bool
	wake   chan struct{}
	cancel context.CancelFunc // Ends the watch that is waiting.
}

// newStoreWatcher returns a feed that is not active.
func newStoreWatcher(store port.Store, prefix string, deliver func(input)) *storeWatcher {
	return &storeWatcher{store: store, prefix: prefix, deliver: deliver, wake: make(chan struct{}, 1)}
}

// activate starts or stops the feed. One that starts lists the prefix.
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

// await returns when the feed is active or ctx has ended.
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

// nudge ends the watch that is waiting, so that the prefix is listed again: a
// watch may be silent although something changed.
func (w *storeWatcher) relist() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel != nil {
		w.cancel()
	}
}

// resumeFrom says that the prefix is known up to a version, so that it need not be
// listed.
func (w *storeWatcher) resumeFrom(version kvstore.Version) { w.resumeVersion.Store(uint64(version)) }

// stir has a waiting feed look whether it is active.
func (w *storeWatcher) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run lists the prefix and watches it, and lists again whenever the watch
// fails, until ctx ends.
func (w *storeWatcher) run(ctx context.Context) {
	pause := minRetryDelay
	for w.waitActive(ctx); ctx.Err() == nil; w.waitActive(ctx) {
		if known := w.resumeVersion.Swap(0); known > 0 {
			if err := w.watch(ctx, kvstore.Version(known)); err != nil && !kvstore.IsKind(err, kvstore.KindHistoryGone) {
				sleep(ctx, jitter(minRetryDelay))
			}
			continue
		}
		began := time.Now()
		entries, version, err := w.store.List(ctx, w.prefix)
		w.deliver(watchResult{prefix: w.prefix, full: true, entries: entries, err: err, duration: time.Since(began)})
		if err != nil {
			sleep(ctx, jitter(pause))
			pause = min(2*pause, maxRetryDelay)
			continue
		}
		pause = minRetryDelay
		err = w.watch(ctx, version)
		if err != nil && !kvstore.IsKind(err, kvstore.KindHistoryGone) {
			sleep(ctx, jitter(minRetryDelay))
		}
	}
}

// watch delivers changes until a call fails or is cut short by a nudge.
func (w *storeWatcher) watch(ctx context.Context, after kvstore.Version) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.mu.Lock()
	w.cancel = cancel
	if !w.active {
		cancel()
	}
	w.mu.Unlock()
	for ctx.Err() == nil {
		entries, version, err := w.store.Changes(ctx, w.prefix, after, watchTimeout)
		if err != nil {
			return err
		}
		if len(entries) > 0 {
			w.deliver(watchResult{prefix: w.prefix, entries: entries})
		}
		after = max(after, version)
	}
	return ctx.Err()
}

// pollServers reads the servers' records at intervals while the need is there:
// a leader reads for all, the others only if no leader tells them. A watch would
// return for every heartbeat of every server.
func (l *loop) pollServers(ctx context.Context) {
	l.waitForLeader(ctx)
	for ctx.Err() == nil {
		if !l.leadingNow.Load() && l.clock()-time.Duration(l.serversRelayedAt.Load()) < l.relayedListTTL() {
			sleep(ctx, minRetryDelay)
			continue
		}
		began := time.Now()
		entries, _, err := l.store.List(ctx, l.records.ServersPrefix())
		l.deliver(serversRead{entries: entries, err: err})
		sleep(ctx, max(l.serverPollDelay(entries, err)-time.Since(began), minRetryDelay))
	}
}

// serverPollDelay is the time between two readings of the servers' records. The
// readings of daemons that no leader tells must not fill the link between the
// regions in a large fleet.
func (l *loop) serverPollDelay(read []kvstore.Entry, err error) time.Duration {
	switch {
	case err != nil:
		return jitter(maxRetryDelay)
	case l.leadingNow.Load():
		return leaderServerPollInterval
	}
	bytes := 0
	for _, entry := range read {
		bytes += len(entry.Key) + len(entry.Value)
	}
	return max(serverPollInterval, time.Duration(bytes)*time.Second/maxServerBytesPerSec)
}

// relayedListTTL is how long the leader's word on the servers counts.
func (l *loop) relayedListTTL() time.Duration { return l.reportInterval() + relayedListMargin }

// pollConfiguration reads the configuration at intervals while this VM leads:
// the others compare their version with the leader's, since a watch may stay
// silent.
func (l *loop) pollConfiguration(ctx context.Context) {
	pause := configurationPollInterval
	for ctx.Err() == nil {
		sleep(ctx, pause)
		if !l.leadingNow.Load() {
			continue
		}
		entry, err := l.store.Get(ctx, l.records.ConfigurationKey())
		pause = max(configurationPollInterval, time.Duration(len(entry.Value))*time.Second/maxConfigurationBytesPerSec)
		if kvstore.IsKind(err, kvstore.KindNotFound) {
			continue
		}
		l.deliver(watchResult{prefix: l.records.ConfigurationKey(), entries: []kvstore.Entry{entry}, err: err})
	}
}

// readPages reads the pages of keys once, unless a leader sends them meanwhile.
// Later ones come from the leader.
func (l *loop) readPages(ctx context.Context) {
	l.waitForLeader(ctx)
	for ctx.Err() == nil && !l.leaderResponded.Load() {
		entries, _, err := l.store.List(ctx, pagePrefix)
		l.deliver(watchResult{prefix: pagePrefix, full: true, entries: entries, err: err})
		if err == nil {
			return
		}
		sleep(ctx, jitter(maxRetryDelay))
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// jitter returns a random time between half of d and d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2) }
