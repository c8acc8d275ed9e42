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
	// watchWait is how long one watch waits for a change.
	watchWait = 20 * time.Second
	// firstPause and lastPause bound the pause after a failed call; it doubles.
	firstPause = 100 * time.Millisecond
	lastPause  = 800 * time.Millisecond
	// pollEvery is the time between two readings of the servers' records.
	pollEvery = 900 * time.Millisecond
	// leaderPollEvery is the same while this VM leads.
	leaderPollEvery = 450 * time.Millisecond
	// configurationPollEvery is the time between a leader's readings of the
	// configuration.
	configurationPollEvery = time.Second
	// pollBytes bounds the bytes a second of a leader's readings of the
	// configuration.
	pollBytes = 64 << 10
	// pollServersBytes bounds the bytes a second of a daemon's readings of the
	// servers' records, while no leader tells it.
	pollServersBytes = 30 << 10
	// relayMargin is how long the leader's word on the servers counts beyond the
	// time between two reports.
	relayMargin = 1200 * time.Millisecond
)

// feed follows one prefix of the store.
type feed struct {
	store   port.Store
	prefix  string
	deliver func(input)

	// from is the version from which to watch without a listing; zero lists.
	from atomic.Uint64

	mu     sync.Mutex
	active bool
	wake   chan struct{}
	cancel context.CancelFunc // Ends the watch that is waiting.
}

// newFeed returns a feed that is not active.
func newFeed(store port.Store, prefix string, deliver func(input)) *feed {
	return &feed{store: store, prefix: prefix, deliver: deliver, wake: make(chan struct{}, 1)}
}

// activate starts or stops the feed. One that starts lists the prefix.
func (f *feed) activate(active bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active == active {
		return
	}
	f.active = active
	if f.cancel != nil {
		f.cancel()
	}
	f.stir()
}

// await returns when the feed is active or ctx has ended.
func (f *feed) await(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		active := f.active
		f.mu.Unlock()
		if active {
			return
		}
		select {
		case <-f.wake:
		case <-ctx.Done():
		}
	}
}

// nudge ends the watch that is waiting, so that the prefix is listed again: a
// watch may be silent although something changed.
func (f *feed) nudge() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancel != nil {
		f.cancel()
	}
}

// follow says that the prefix is known up to a version, so that it need not be
// listed.
func (f *feed) follow(version kvstore.Version) { f.from.Store(uint64(version)) }

// stir has a waiting feed look whether it is active.
func (f *feed) stir() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// run lists the prefix and watches it, and lists again whenever the watch
// fails, until ctx ends.
func (f *feed) run(ctx context.Context) {
	pause := firstPause
	for f.await(ctx); ctx.Err() == nil; f.await(ctx) {
		if known := f.from.Swap(0); known > 0 {
			if err := f.watch(ctx, kvstore.Version(known)); err != nil && !kvstore.IsKind(err, kvstore.KindHistoryGone) {
				sleep(ctx, jitter(firstPause))
			}
			continue
		}
		began := time.Now()
		entries, version, err := f.store.List(ctx, f.prefix)
		f.deliver(followed{prefix: f.prefix, whole: true, entries: entries, err: err, took: time.Since(began)})
		if err != nil {
			sleep(ctx, jitter(pause))
			pause = min(2*pause, lastPause)
			continue
		}
		pause = firstPause
		err = f.watch(ctx, version)
		if err != nil && !kvstore.IsKind(err, kvstore.KindHistoryGone) {
			sleep(ctx, jitter(firstPause))
		}
	}
}

// watch delivers changes until a call fails or is cut short by a nudge.
func (f *feed) watch(ctx context.Context, after kvstore.Version) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	f.cancel = cancel
	if !f.active {
		cancel()
	}
	f.mu.Unlock()
	for ctx.Err() == nil {
		entries, version, err := f.store.Changes(ctx, f.prefix, after, watchWait)
		if err != nil {
			return err
		}
		if len(entries) > 0 {
			f.deliver(followed{prefix: f.prefix, entries: entries})
		}
		after = max(after, version)
	}
	return ctx.Err()
}

// pollServers reads the servers' records at intervals while the need is there:
// a leader reads for all, the others only if no leader tells them. A watch would
// return for every heartbeat of every server.
func (l *loop) pollServers(ctx context.Context) {
	l.awaitStart(ctx)
	for ctx.Err() == nil {
		if !l.leadingNow.Load() && l.clock()-time.Duration(l.relayedAt.Load()) < l.relayLife() {
			sleep(ctx, firstPause)
			continue
		}
		began := time.Now()
		entries, _, err := l.store.List(ctx, l.records.ServersPrefix())
		l.deliver(polled{entries: entries, err: err})
		sleep(ctx, max(l.pollPause(entries, err)-time.Since(began), firstPause))
	}
}

// pollPause is the time between two readings of the servers' records. The
// readings of daemons that no leader tells must not fill the link between the
// regions in a large fleet.
func (l *loop) pollPause(read []kvstore.Entry, err error) time.Duration {
	switch {
	case err != nil:
		return jitter(lastPause)
	case l.leadingNow.Load():
		return leaderPollEvery
	}
	bytes := 0
	for _, entry := range read {
		bytes += len(entry.Key) + len(entry.Value)
	}
	return max(pollEvery, time.Duration(bytes)*time.Second/pollServersBytes)
}

// relayLife is how long the leader's word on the servers counts.
func (l *loop) relayLife() time.Duration { return l.reportInterval() + relayMargin }

// pollConfiguration reads the configuration at intervals while this VM leads:
// the others compare their version with the leader's, since a watch may stay
// silent.
func (l *loop) pollConfiguration(ctx context.Context) {
	pause := configurationPollEvery
	for ctx.Err() == nil {
		sleep(ctx, pause)
		if !l.leadingNow.Load() {
			continue
		}
		entry, err := l.store.Get(ctx, l.records.ConfigurationKey())
		pause = max(configurationPollEvery, time.Duration(len(entry.Value))*time.Second/pollBytes)
		if kvstore.IsKind(err, kvstore.KindNotFound) {
			continue
		}
		l.deliver(followed{prefix: l.records.ConfigurationKey(), entries: []kvstore.Entry{entry}, err: err})
	}
}

// readPages reads the pages of keys once, unless a leader sends them meanwhile.
// Later ones come from the leader.
func (l *loop) readPages(ctx context.Context) {
	l.awaitStart(ctx)
	for ctx.Err() == nil && !l.relayed.Load() {
		entries, _, err := l.store.List(ctx, pagePrefix)
		l.deliver(followed{prefix: pagePrefix, whole: true, entries: entries, err: err})
		if err == nil {
			return
		}
		sleep(ctx, jitter(lastPause))
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
