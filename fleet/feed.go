package fleet

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"guavacrank.example/kvstore"
)

const (
	storeCallTimeout = 2 * time.Second
	storeRetry       = time.Second
	// watchWait is how long one watch call waits at the store.
	watchWait = 10 * time.Second
	// relistInterval is how often a watching VM lists, in case a watch is silent.
	relistInterval = 30 * time.Second
	// failingAfter is how long calls must fail before this VM says so.
	failingAfter = 2 * time.Second
	// failingProbe is how often a VM whose calls fail tries again.
	failingProbe = 5 * time.Second
	// relayListInterval is how often a watching VM reads the platform's list.
	relayListInterval = 5 * time.Second
	// memberListInterval is how often the others read it, at least.
	memberListInterval = time.Minute
	// listShare is the time between two readings of the list by any of the
	// others, so that the calls do not grow with the fleet.
	listShare = 300 * time.Millisecond
)

// prefixes are the parts of the store that are replicated.
func prefixes() []string {
	return []string{kvstore.ConfigKey, kvstore.PagePrefix, kvstore.RolePrefix}
}

// feed makes the fleet's calls to the platform.
type feed struct {
	manager *Manager
	store   kvstore.Store

	mu          sync.Mutex
	watching    bool
	changed     chan struct{} // Closed when watching changes.
	fleetSize   int
	failedSince time.Duration // Zero: the last call succeeded.
	saidFailing bool
}

func newFeed(manager *Manager, store kvstore.Store) *feed {
	return &feed{manager: manager, store: store, changed: make(chan struct{})}
}

// run reads what a starting VM needs, and follows the store while it watches.
func (f *feed) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { f.readVMs(ctx); return nil })
	for _, prefix := range prefixes() {
		group.Go(func() error { f.follow(ctx, prefix); return nil })
	}
	group.Go(func() error { f.probe(ctx); return nil })
	return group.Wait()
}

func (f *feed) setWatching(watching bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watching = watching
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *feed) setFleetSize(size int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fleetSize = size
}

// state returns whether this VM watches, and a channel that closes when that changes.
func (f *feed) state() (watching bool, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watching, f.changed
}

// follow lists one prefix when the VM starts, and watches it while this VM is
// one of those that do.
func (f *feed) follow(ctx context.Context, prefix string) {
	f.listUntilDone(ctx, prefix)
	for ctx.Err() == nil {
		watching, changed := f.state()
		if !watching {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		f.watch(ctx, changed, prefix)
	}
}

// listUntilDone lists a prefix as often as it takes, or until another VM
// watches the store and this one may rely on its peers.
func (f *feed) listUntilDone(ctx context.Context, prefix string) {
	for ctx.Err() == nil {
		if _, err := f.list(ctx, prefix, false); err == nil {
			return
		}
		sleep(ctx, storeRetry)
		if watching, _ := f.state(); !watching && f.manager.Ready() {
			return
		}
	}
}

// watch follows a prefix until the VM no longer watches.
func (f *feed) watch(ctx context.Context, changed <-chan struct{}, prefix string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-ctx.Done():
		case <-changed:
			cancel()
		}
	}()
	var after kvstore.Version
	var listedAt time.Duration
	first := true
	for ctx.Err() == nil {
		now := f.manager.clock()
		if first || now-listedAt >= relistInterval {
			version, err := f.list(ctx, prefix, !first)
			if err != nil {
				sleep(ctx, storeRetry)
				continue
			}
			after, listedAt, first = max(after, version), now, false
		}
		version, err := f.watchOnce(ctx, prefix, after)
		if err != nil {
			first = true
			sleep(ctx, storeRetry)
		}
		after = max(after, version)
	}
}

// watchOnce waits for changes once and returns their highest version.
func (f *feed) watchOnce(ctx context.Context, prefix string, after kvstore.Version) (kvstore.Version, error) {
	callContext, cancel := context.WithTimeout(ctx, watchWait+storeCallTimeout)
	defer cancel()
	entries, err := f.store.Watch(callContext, prefix, after, watchWait)
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	f.called(err)
	if err != nil {
		return 0, err
	}
	if len(entries) > 0 {
		f.manager.storeChanged(toDocuments(entries))
	}
	return highest(entries), nil
}

// list lists a prefix once and returns its highest version.
func (f *feed) list(ctx context.Context, prefix string, again bool) (kvstore.Version, error) {
	callContext, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	entries, err := f.store.List(callContext, prefix)
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	f.called(err)
	if err != nil {
		return 0, err
	}
	f.manager.storeListed(prefix, toDocuments(entries), again)
	return highest(entries), nil
}

// readVMs reads the platform's list: often until it was read once and while
// this VM watches, otherwise the more rarely the larger the fleet is.
func (f *feed) readVMs(ctx context.Context) {
	for ctx.Err() == nil {
		callContext, cancel := context.WithTimeout(ctx, storeCallTimeout)
		vms, err := f.store.VMs(callContext)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.manager.vmsUnknown()
			sleep(ctx, storeRetry)
			continue
		}
		f.manager.vmsListed(vms)
		_, changed := f.state()
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(f.listInterval()):
		}
	}
}

func (f *feed) listInterval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.watching {
		return relayListInterval
	}
	return max(memberListInterval, time.Duration(f.fleetSize)*listShare)
}

// probe tries the store again while this VM says that its calls fail.
func (f *feed) probe(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, failingProbe)
		f.mu.Lock()
		failing := f.saidFailing
		f.mu.Unlock()
		if !failing {
			continue
		}
		callContext, cancel := context.WithTimeout(ctx, storeCallTimeout)
		_, err := f.store.Get(callContext, kvstore.ConfigKey)
		cancel()
		if ctx.Err() == nil && !kvstore.IsKind(err, kvstore.KindNotFound) {
			f.called(err)
		} else if ctx.Err() == nil {
			f.called(nil)
		}
	}
}

// called notes the outcome of a call to the store.
func (f *feed) called(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.manager.clock()
	if err == nil {
		f.failedSince = 0
		if f.saidFailing {
			f.saidFailing = false
			f.manager.storeFailing(false)
		}
		return
	}
	if f.failedSince == 0 {
		f.failedSince = now
	}
	if !f.saidFailing && now-f.failedSince >= failingAfter {
		f.saidFailing = true
		f.manager.storeFailing(true)
	}
}

func toDocuments(entries []kvstore.Entry) []Document {
	documents := make([]Document, 0, len(entries))
	for _, e := range entries {
		documents = append(documents, Document{
			Key: e.Key, Version: uint64(e.Version), Value: e.Value, Deleted: e.Deleted,
		})
	}
	return documents
}

func highest(entries []kvstore.Entry) kvstore.Version {
	var version kvstore.Version
	for _, e := range entries {
		version = max(version, e.Version)
	}
	return version
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
