package leader_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"guavacrank.example/gateway/leader"
	"guavacrank.example/gateway/port"
	"guavacrank.example/kvstore"
)

// fakeStore holds one key with a lease. Leases expire in real time.
type fakeStore struct {
	port.Store
	mu          sync.Mutex
	era         kvstore.Era
	revision    kvstore.Version // Grows with each write.
	version     kvstore.Version // That of the key's last write.
	value       []byte
	holder      kvstore.LeaseID
	leases      map[kvstore.LeaseID]time.Time
	next        kvstore.LeaseID
	ttl         time.Duration // Of leases, if longer than leaseTTL.
	grantDelay  time.Duration // How long the reply to a lease's grant takes.
	down        bool
	loseReplies bool // Writes are applied, but their replies are lost.
	failReads   int  // Reads that fail after a write whose reply was lost.
	writes      int
	watch       func(value []byte)
}

// value returns the values that a VM writes to the key.
func value(vm string) func(kvstore.Era) []byte {
	return func(era kvstore.Era) []byte { return fmt.Appendf(nil, "%d/%s", era, vm) }
}

// eraOf returns the era of such a value.
func eraOf(value []byte) kvstore.Era {
	text, _, _ := strings.Cut(string(value), "/")
	era, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		panic(err)
	}
	return kvstore.Era(era)
}

const leaseTTL = 200 * time.Millisecond

var errDown = &kvstore.Error{Kind: kvstore.KindUnavailable}

func (f *fakeStore) GrantLease(context.Context, time.Duration) (kvstore.Lease, error) {
	defer time.Sleep(f.grantDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return kvstore.Lease{}, errDown
	}
	f.next++
	f.leases[f.next] = time.Now().Add(max(f.ttl, leaseTTL))
	return kvstore.Lease{ID: f.next, TTL: leaseTTL, Era: f.era}, nil
}

func (f *fakeStore) CompareAndSwap(_ context.Context, _ string, expected kvstore.Version, value []byte, lease kvstore.LeaseID) (kvstore.Position, error) {
	defer f.notify()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return kvstore.Position{}, errDown
	}
	stored := f.version
	if f.value == nil {
		stored = 0
	}
	if stored != expected {
		return kvstore.Position{}, &kvstore.Error{Kind: kvstore.KindConflict, Era: f.era}
	}
	if _, known := f.leases[lease]; !known && lease != 0 {
		return kvstore.Position{}, &kvstore.Error{Kind: kvstore.KindNotFound, Era: f.era}
	}
	f.revision++
	f.writes++
	f.version, f.value, f.holder = f.revision, value, lease
	if f.loseReplies {
		return kvstore.Position{}, &kvstore.Error{Outcome: kvstore.OutcomeUnknown}
	}
	return kvstore.Position{Era: f.era, Version: f.version}, nil
}

// position returns the store's position.
func (f *fakeStore) position() kvstore.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return kvstore.Position{Era: f.era, Version: f.revision}
}

// notify tells the watch the key's value.
func (f *fakeStore) notify() {
	f.mu.Lock()
	current := f.value
	f.mu.Unlock()
	if f.watch != nil {
		f.watch(current)
	}
}

func (f *fakeStore) Get(context.Context, string) (kvstore.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loseReplies && f.value != nil && f.failReads > 0 {
		f.failReads--
		return kvstore.Entry{}, errDown
	}
	if f.value == nil {
		return kvstore.Entry{}, &kvstore.Error{Kind: kvstore.KindNotFound, Era: f.era}
	}
	return kvstore.Entry{Value: f.value, Lease: f.holder, Version: f.version, Era: f.era}, nil
}

func (f *fakeStore) KeepAlive(_ context.Context, lease kvstore.LeaseID) (kvstore.Era, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, errDown
	}
	if _, known := f.leases[lease]; !known {
		return f.era, &kvstore.Error{Kind: kvstore.KindNotFound, Era: f.era}
	}
	f.leases[lease] = time.Now().Add(max(f.ttl, leaseTTL))
	return f.era, nil
}

func (f *fakeStore) Revoke(_ context.Context, lease kvstore.LeaseID) error {
	f.end(lease)
	return nil
}

func (f *fakeStore) end(lease kvstore.LeaseID) {
	f.mu.Lock()
	delete(f.leases, lease)
	vacant := f.holder == lease && f.value != nil
	if vacant {
		f.value = nil
	}
	f.mu.Unlock()
	if vacant {
		f.watch(nil)
	}
}

// expire ends expired leases until ctx ends.
func (f *fakeStore) expire(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		f.mu.Lock()
		var expired []kvstore.LeaseID
		for id, ends := range f.leases {
			if !f.down && time.Now().After(ends) {
				expired = append(expired, id)
			}
		}
		f.mu.Unlock()
		for _, id := range expired {
			f.end(id)
		}
	}
}

// start runs campaigns that observe when the key is vacant.
func start(t *testing.T, count int) (*fakeStore, []*leader.Campaign, []context.CancelFunc) {
	store := &fakeStore{leases: make(map[kvstore.LeaseID]time.Time), ttl: leader.LeaseTTL}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	started := time.Now()
	var campaigns []*leader.Campaign
	var stops []context.CancelFunc
	store.watch = func(value []byte) {
		at := store.position()
		for _, c := range campaigns {
			c.Observe(value, at)
		}
	}
	for i := range count {
		campaigns = append(campaigns, leader.New(leader.Options{Store: store, Key: "k", Value: value(fmt.Sprint(i)), EraOf: eraOf,
			Clock: func() time.Duration { return time.Since(started) }}))
	}
	for _, c := range campaigns {
		campaignCtx, stop := context.WithCancel(ctx)
		stops = append(stops, stop)
		go c.Run(campaignCtx)
	}
	go store.expire(ctx)
	store.watch(nil)
	return store, campaigns, stops
}

func leaders(campaigns []*leader.Campaign) []int {
	var indices []int
	for i, c := range campaigns {
		if c.State().Held {
			indices = append(indices, i)
		}
	}
	return indices
}

// setEra restores the store: only the given value of the key is left.
func (f *fakeStore) setEra(era kvstore.Era, left []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era, f.value, f.ttl = era, left, 2*leader.LeaseTTL
	f.leases = make(map[kvstore.LeaseID]time.Time)
}
