package run

import (
	"context"
	"math/rand/v2"
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
)

// follow lists a prefix and watches it, and lists again whenever the watch
// fails, until ctx ends.
func follow(ctx context.Context, store port.Store, prefix string, deliver func(input)) {
	pause := firstPause
	for ctx.Err() == nil {
		entries, version, err := store.List(ctx, prefix)
		deliver(followed{prefix: prefix, whole: true, entries: entries, err: err})
		if err != nil {
			sleep(ctx, jitter(pause))
			pause = min(2*pause, lastPause)
			continue
		}
		pause = firstPause
		err = watch(ctx, store, prefix, version, deliver)
		if err != nil && !kvstore.IsKind(err, kvstore.KindHistoryGone) {
			sleep(ctx, jitter(firstPause))
		}
	}
}

// watch delivers changes until a call fails.
func watch(ctx context.Context, store port.Store, prefix string, after kvstore.Version, deliver func(input)) error {
	for ctx.Err() == nil {
		entries, version, err := store.Changes(ctx, prefix, after, watchWait)
		if err != nil {
			return err
		}
		if len(entries) > 0 {
			deliver(followed{prefix: prefix, entries: entries})
		}
		after = max(after, version)
	}
	return ctx.Err()
}

// pollServers reads the servers' records at intervals. A watch would return for
// every heartbeat of every server.
func pollServers(ctx context.Context, store port.Store, prefix string, leading func() bool, deliver func(input)) {
	for ctx.Err() == nil {
		began := time.Now()
		entries, _, err := store.List(ctx, prefix)
		deliver(polled{entries: entries, err: err})
		every := pollEvery
		if leading() {
			every = leaderPollEvery
		}
		if err != nil {
			every = lastPause / 2
		}
		sleep(ctx, max(every-time.Since(began), firstPause))
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
