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
	// watchWait is how long the store may hold one watch call open.
	watchWait = 10 * time.Second
	// relistInterval is the time between two lists by a VM that watches the
	// store. They find changes that the watch missed.
	relistInterval = 30 * time.Second
	// failingAfter is how long calls must have failed before this VM reports
	// that its calls to the store fail.
	failingAfter = 2 * time.Second
	// probeInterval is the time between two attempts while calls are reported
	// as failing.
	probeInterval = 5 * time.Second
	// relayListInterval is the time between two reads of the platform's VM list
	// by a VM that watches the store.
	relayListInterval = 5 * time.Second
	// memberListInterval is the minimum time between two reads of the VM list
	// by any other VM.
	memberListInterval = time.Minute
	// listIntervalPerVM times the size of the fleet is the time between two
	// reads of the VM list by a VM that does not watch the store. This keeps
	// the total rate of these calls constant as the fleet grows.
	listIntervalPerVM = 300 * time.Millisecond
)

// prefixes returns the key prefixes in the store that are replicated.
func prefixes() []string {
	return []string{kvstore.ConfigKey, kvstore.PagePrefix, kvstore.RolePrefix}
}

// storeReader makes the calls to the platform's store that replication and
// membership need.
type storeReader struct {
	manager *Manager
	store   kvstore.Store

	mu              sync.Mutex
	watching        bool
	changed         chan struct{} // Closed when watching is set.
	fleetSize       int
	failedSince     time.Duration // Zero: the last call succeeded.
	reportedFailing bool
}

func newStoreReader(manager *Manager, store kvstore.Store) *storeReader {
	return &storeReader{manager: manager, store: store, changed: make(chan struct{})}
}

// run reads the initial data of a starting VM and then follows the store while
// this VM watches it.
func (r *storeReader) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { r.readVMs(ctx); return nil })
	for _, prefix := range prefixes() {
		group.Go(func() error { r.follow(ctx, prefix); return nil })
	}
	group.Go(func() error { r.probe(ctx); return nil })
	return group.Wait()
}

func (r *storeReader) setWatching(watching bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watching = watching
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *storeReader) setFleetSize(size int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleetSize = size
}

// watchState returns whether this VM watches the store, and a channel that is
// closed when that changes.
func (r *storeReader) watchState() (watching bool, changed <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watching, r.changed
}

// follow lists one prefix when the VM starts, and watches it whenever this VM
// is one of those that watch the store.
func (r *storeReader) follow(ctx context.Context, prefix string) {
	r.listUntilDone(ctx, prefix)
	for ctx.Err() == nil {
		watching, changed := r.watchState()
		if !watching {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		r.watch(ctx, changed, prefix)
	}
}

// listUntilDone lists a prefix until a call succeeds, or until this VM is ready
// and need not watch the store, since its peers then provide the documents.
func (r *storeReader) listUntilDone(ctx context.Context, prefix string) {
	for ctx.Err() == nil {
		if _, err := r.list(ctx, prefix, false); err == nil {
			return
		}
		sleep(ctx, storeRetry)
		if watching, _ := r.watchState(); !watching && r.manager.Ready() {
			return
		}
	}
}

// watch follows a prefix until changed is closed or ctx ends.
func (r *storeReader) watch(ctx context.Context, changed <-chan struct{}, prefix string) {
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
		now := r.manager.clock()
		if first || now-listedAt >= relistInterval {
			version, err := r.list(ctx, prefix, !first)
			if err != nil {
				sleep(ctx, storeRetry)
				continue
			}
			after, listedAt, first = max(after, version), now, false
		}
		version, err := r.watchOnce(ctx, prefix, after)
		if err != nil {
			first = true
			sleep(ctx, storeRetry)
		}
		after = max(after, version)
	}
}

// watchOnce makes one watch call and returns the highest version that it
// reported.
func (r *storeReader) watchOnce(ctx context.Context, prefix string, after kvstore.Version) (kvstore.Version, error) {
	callContext, cancel := context.WithTimeout(ctx, watchWait+storeCallTimeout)
	defer cancel()
	entries, err := r.store.Watch(callContext, prefix, after, watchWait)
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	r.recordResult(err)
	if err != nil {
		return 0, err
	}
	if len(entries) > 0 {
		r.manager.storeChanged(toDocuments(entries))
	}
	return highestVersion(entries), nil
}

// list lists a prefix once and returns the highest version.
func (r *storeReader) list(ctx context.Context, prefix string, relist bool) (kvstore.Version, error) {
	callContext, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	entries, err := r.store.List(callContext, prefix)
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	r.recordResult(err)
	if err != nil {
		return 0, err
	}
	r.manager.storeListed(prefix, toDocuments(entries), relist)
	return highestVersion(entries), nil
}

// readVMs reads the platform's VM list repeatedly: often until the first read
// succeeds and while this VM watches the store, otherwise at an interval that
// grows with the fleet.
func (r *storeReader) readVMs(ctx context.Context) {
	for ctx.Err() == nil {
		callContext, cancel := context.WithTimeout(ctx, storeCallTimeout)
		vms, err := r.store.VMs(callContext)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.manager.addSeeds()
			sleep(ctx, storeRetry)
			continue
		}
		r.manager.vmsListed(vms)
		_, changed := r.watchState()
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(r.listInterval()):
		}
	}
}

func (r *storeReader) listInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.watching {
		return relayListInterval
	}
	return max(memberListInterval, time.Duration(r.fleetSize)*listIntervalPerVM)
}

// probe retries the store while calls are reported as failing.
func (r *storeReader) probe(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, probeInterval)
		r.mu.Lock()
		failing := r.reportedFailing
		r.mu.Unlock()
		if !failing {
			continue
		}
		callContext, cancel := context.WithTimeout(ctx, storeCallTimeout)
		_, err := r.store.Get(callContext, kvstore.ConfigKey)
		cancel()
		if ctx.Err() == nil && !kvstore.IsKind(err, kvstore.KindNotFound) {
			r.recordResult(err)
		} else if ctx.Err() == nil {
			r.recordResult(nil)
		}
	}
}

// recordResult records the result of a call to the store, and reports when
// calls start or stop failing.
func (r *storeReader) recordResult(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.manager.clock()
	if err == nil {
		r.failedSince = 0
		if r.reportedFailing {
			r.reportedFailing = false
			r.manager.storeFailing(false)
		}
		return
	}
	if r.failedSince == 0 {
		r.failedSince = now
	}
	if !r.reportedFailing && now-r.failedSince >= failingAfter {
		r.reportedFailing = true
		r.manager.storeFailing(true)
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

func highestVersion(entries []kvstore.Entry) kvstore.Version {
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
