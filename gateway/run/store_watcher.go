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
	// minRetryDelay and maxRetryDelay bound the delay after a failed call, which
	// doubles with each failure. minRetryDelay is also the minimum pause between
	// two polls.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// serverPollInterval is the minimum interval at which a daemon that gets no
	// server list from a leader reads the servers' records.
	serverPollInterval = 900 * time.Millisecond
	// leaderServerPollInterval is the interval at which the leader reads them.
	leaderServerPollInterval = 450 * time.Millisecond
	// configurationPollInterval is the minimum interval at which the leader reads
	// the configuration.
	configurationPollInterval = time.Second
	// maxConfigurationBytesPerSec limits the average rate of the leader's reads of
	// the configuration.
	maxConfigurationBytesPerSec = 64 << 10
	// maxFleetServerBytesPerSec limits the average rate at which all daemons together
	// read the servers' records while none of them gets a server list from a peer: they
	// share the link between regions with requests, reports and configurations.
	maxFleetServerBytesPerSec = 1 << 20
	// maxZoneServerBytesPerSec limits the rate of the one daemon of a zone that reads
	// them for the others.
	maxZoneServerBytesPerSec = 256 << 10
	// serverRecordBytes is the typical size of a server's record.
	serverRecordBytes = 200
	// relayedListMargin is how long a server list received from the leader stays
	// valid beyond the interval between two reports.
	relayedListMargin = 1200 * time.Millisecond
)

// storeWatcher keeps track of one key prefix in the store. It delivers the entries
// under the prefix and their changes to the loop.
type storeWatcher struct {
	store   port.Store
	prefix  string
	deliver func(input)

	// resumeVersion is the version from which to watch without listing the prefix
	// first. Zero lists it.
	resumeVersion atomic.Uint64

	mu     sync.Mutex
	active bool
	wake   chan struct{}
	cancel context.CancelFunc // Ends the current watch.
}

// newStoreWatcher returns an inactive storeWatcher.
func newStoreWatcher(store port.Store, prefix string, deliver func(input)) *storeWatcher {
	return &storeWatcher{store: store, prefix: prefix, deliver: deliver, wake: make(chan struct{}, 1)}
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

// resumeFrom makes the next watch start after the given version without listing
// the prefix, because its state at that version is known.
func (w *storeWatcher) resumeFrom(version kvstore.Version) { w.resumeVersion.Store(uint64(version)) }

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
			sleep(ctx, jitter(delay))
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		delay = minRetryDelay
		err = w.watch(ctx, version)
		if err != nil && !kvstore.IsKind(err, kvstore.KindHistoryGone) {
			sleep(ctx, jitter(minRetryDelay))
		}
	}
}

// watch delivers changes until a call fails or the watch is canceled.
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

// pollServers reads the servers' records periodically. The leader reads them for
// all daemons; the others do so only while they get no server list from a leader.
// The records are polled because a watch would return for every heartbeat of
// every server.
func (l *loop) pollServers(ctx context.Context) {
	l.waitForLeader(ctx)
	for ctx.Err() == nil {
		if !l.mayReadServers() {
			sleep(ctx, minRetryDelay)
			continue
		}
		sleep(ctx, l.directReadDelay())
		if !l.mayReadServers() {
			continue
		}
		began := time.Now()
		entries, _, err := l.store.List(ctx, l.records.ServersPrefix())
		l.deliver(serversRead{entries: entries, err: err, duration: time.Since(began)})
		sleep(ctx, max(l.serverPollDelay(entries, err)-time.Since(began), minRetryDelay))
	}
}

// serverPollDelay returns the time between two reads of the servers' records. In a
// large fleet, reads by daemons that get no server list from a leader must not
// saturate the link between regions.
func (l *loop) serverPollDelay(read []kvstore.Entry, err error) time.Duration {
	switch {
	case err != nil:
		return jitter(maxRetryDelay)
	case l.leadingNow.Load():
		return leaderServerPollInterval
	}
	bytes := time.Duration(totalBytes(read))
	if listReading(l.listReading.Load()) == readForZone {
		return max(serverPollInterval, bytes*time.Second/maxZoneServerBytesPerSec)
	}
	return max(serverPollInterval, l.fleetReadTime(bytes))
}

// fleetReadTime returns how long all daemons together take to read the given number of
// bytes each.
func (l *loop) fleetReadTime(bytes time.Duration) time.Duration {
	return time.Duration(l.vms.Load()) * bytes * time.Second / maxFleetServerBytesPerSec
}

// directReadDelay returns a random delay before a daemon that lost its peers reads the
// servers' records, because the others may have lost theirs too.
func (l *loop) directReadDelay() time.Duration {
	if l.leadingNow.Load() || listReading(l.listReading.Load()) != readIfStale {
		return 0
	}
	return rand.N(l.fleetReadTime(time.Duration(l.listSize.Load()*serverRecordBytes)) + 1)
}

// totalBytes returns the size of the entries' keys and values.
func totalBytes(entries []kvstore.Entry) int {
	bytes := 0
	for _, entry := range entries {
		bytes += len(entry.Key) + len(entry.Value)
	}
	return bytes
}

// relayedListTTL is how long a server list received from the leader is valid.
func (l *loop) relayedListTTL() time.Duration { return l.reportInterval() + relayedListMargin }

// pollConfiguration reads the configuration periodically on the leader, because a
// watch may miss a change. The other daemons compare their version with the
// leader's.
func (l *loop) pollConfiguration(ctx context.Context) {
	interval := configurationPollInterval
	for ctx.Err() == nil {
		sleep(ctx, interval)
		if !l.leadingNow.Load() {
			continue
		}
		entry, err := l.store.Get(ctx, l.records.ConfigurationKey())
		interval = max(configurationPollInterval, time.Duration(len(entry.Value))*time.Second/maxConfigurationBytesPerSec)
		if kvstore.IsKind(err, kvstore.KindNotFound) {
			continue
		}
		l.deliver(watchResult{prefix: l.records.ConfigurationKey(), entries: []kvstore.Entry{entry}, err: err})
	}
}

// readPages reads the ownership pages once, unless a leader responds first. Later
// versions come from the leader.
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
