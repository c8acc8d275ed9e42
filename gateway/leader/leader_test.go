package leader_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

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
	f.revision++
	f.writes++
	f.version, f.value, f.holder = f.revision, value, lease
	if f.loseReplies {
		return kvstore.Position{}, &kvstore.Error{Outcome: kvstore.OutcomeUnknown}
	}
	return kvstore.Position{Era: f.era, Version: f.version}, nil
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
	store := &fakeStore{leases: make(map[kvstore.LeaseID]time.Time)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	started := time.Now()
	var campaigns []*leader.Campaign
	var stops []context.CancelFunc
	store.watch = func(value []byte) {
		for _, c := range campaigns {
			c.Observe(value, kvstore.Position{Era: store.era, Version: store.revision})
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

func TestCampaign(t *testing.T) {
	t.Run("elects one leader, and a new one when the leader stops", func(t *testing.T) {
		g := NewWithT(t)
		_, campaigns, stops := start(t, 4)
		g.Eventually(func() []int { return leaders(campaigns) }, "3s").Should(HaveLen(1))
		first := leaders(campaigns)[0]
		term := campaigns[first].State().Term
		stops[first]()
		g.Eventually(func() bool {
			for i, c := range campaigns {
				if i != first && c.State().Held && c.State().Term.Version > term.Version {
					return true
				}
			}
			return false
		}, "3s").Should(BeTrue())
	})

	t.Run("elects another leader after a resignation, and never one that resigned permanently", func(t *testing.T) {
		g := NewWithT(t)
		_, campaigns, _ := start(t, 3)
		g.Eventually(func() []int { return leaders(campaigns) }, "3s").Should(HaveLen(1))
		first := leaders(campaigns)[0]
		g.Expect(campaigns[first].Resign(context.Background(), true)).To(Succeed())
		g.Eventually(func() []int { return leaders(campaigns) }, "3s").Should(And(HaveLen(1), Not(ContainElement(first))))
		g.Consistently(func() bool { return campaigns[first].State().Held }, "500ms").Should(BeFalse())
	})

	t.Run("resolves a claim whose reply was lost", func(t *testing.T) {
		g := NewWithT(t)
		store, campaigns, _ := start(t, 0)
		store.loseReplies = true
		c := leader.New(leader.Options{Store: store, Key: "k", Value: value("x"), EraOf: eraOf, Clock: func() time.Duration { return time.Second }})
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go c.Run(ctx)
		c.Observe(nil, kvstore.Position{Version: 1})
		g.Eventually(func() bool { return c.State().Held }, "3s").Should(BeTrue())
		g.Expect(c.State().Term.Version).To(BeNumerically(">", 0))
		g.Expect(campaigns).To(BeEmpty())
	})

	t.Run("keeps the leadership without recent contact while the store is down, and loses it when another VM holds the key", func(t *testing.T) {
		g := NewWithT(t)
		store, campaigns, _ := start(t, 1)
		g.Eventually(func() []int { return leaders(campaigns) }, "3s").Should(HaveLen(1))
		store.mu.Lock()
		store.down = true
		store.mu.Unlock()
		contact := campaigns[0].State().LastContact
		time.Sleep(500 * time.Millisecond)
		g.Expect(campaigns[0].State().Held).To(BeTrue())
		g.Expect(campaigns[0].State().LastContact - contact).To(BeNumerically("<", 400*time.Millisecond))
		campaigns[0].Observe(value("another")(0), kvstore.Position{Version: 9})
		g.Expect(campaigns[0].State().Held).To(BeFalse())
	})
}

// A restored store has lost the leader's key, or names an earlier leader in it.
func TestLeaderClaimsAgainInTheNextEra(t *testing.T) {
	for name, restored := range map[string][]byte{"key lost": nil, "key of an earlier leader": value("earlier")(1)} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			store, campaigns, _ := start(t, 3)
			store.setEra(1, nil)
			g.Eventually(func() []int { return leaders(campaigns) }, "3s").Should(HaveLen(1))
			first := leaders(campaigns)[0]
			g.Eventually(func() kvstore.Era { return campaigns[first].State().Term.Era }, "3s").Should(BeEquivalentTo(1))
			store.setEra(2, restored)
			g.Eventually(func() kvstore.Era { return campaigns[first].State().Term.Era }, "1s", "5ms").Should(BeEquivalentTo(2))
			g.Consistently(func() []int { return leaders(campaigns) }, "500ms").Should(ConsistOf(first))
		})
	}
}

// The ID of the lost lease may be given to another VM, whose leadership must not end.
func TestLeaderOfAnEarlierEraDoesNotEndTheLeaseOfAnother(t *testing.T) {
	g := NewWithT(t)
	store, campaigns, _ := start(t, 1)
	store.setEra(1, nil)
	g.Eventually(func() kvstore.Era { return campaigns[0].State().Term.Era }, "3s").Should(BeEquivalentTo(1))
	store.mu.Lock()
	store.era = 2 // The lease with this ID is that of another VM now.
	store.mu.Unlock()
	g.Expect(campaigns[0].Resign(context.Background(), true)).To(Succeed())
	store.mu.Lock()
	defer store.mu.Unlock()
	g.Expect(store.leases).NotTo(BeEmpty())
}

// restoredStore is restored between the calls of a resignation, once it is armed. Another VM
// leads in the new era, with the same lease ID.
type restoredStore struct {
	*fakeStore
	armed atomic.Bool
}

func (s *restoredStore) restore() {
	if !s.armed.Swap(false) {
		return
	}
	s.setEra(2, nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision += 5
	s.version, s.value, s.holder = s.revision, value("another")(2), s.next
	s.leases[s.next] = time.Now().Add(time.Minute)
}

func (s *restoredStore) KeepAlive(ctx context.Context, lease kvstore.LeaseID) (kvstore.Era, error) {
	defer s.restore()
	return s.fakeStore.KeepAlive(ctx, lease)
}

func (s *restoredStore) CompareAndSwap(ctx context.Context, key string, expected kvstore.Version, text []byte, lease kvstore.LeaseID) (kvstore.Position, error) {
	if expected > 0 {
		s.restore()
	}
	return s.fakeStore.CompareAndSwap(ctx, key, expected, text, lease)
}

func TestNoLaterLeaderIsPossibleBeforeTheEndOfTheLease(t *testing.T) {
	g := NewWithT(t)
	store := &fakeStore{leases: make(map[kvstore.LeaseID]time.Time), era: 1}
	store.watch = func([]byte) {}
	started := time.Now()
	c := leader.New(leader.Options{Store: store, Key: "k", Value: value("x"), EraOf: eraOf, MinLeaseTTL: leaseTTL, Clock: func() time.Duration { return time.Since(started) }})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
	c.Observe(nil, kvstore.Position{Era: 1, Version: 1})
	g.Eventually(func() bool { return c.State().Held }, "3s").Should(BeTrue())
	first := c.State()
	g.Expect(first.LeaseEnd).To(Equal(first.LastContact + leaseTTL))
	g.Eventually(func() time.Duration { return c.State().LastContact }, "3s").Should(BeNumerically(">", first.LastContact))
	renewed := c.State()
	g.Expect(renewed.LeaseEnd).To(Equal(renewed.LastContact + leaseTTL))
}

func TestTheLeaseOfAClaimRunsFromTheCallThatTookIt(t *testing.T) {
	g := NewWithT(t)
	store := &fakeStore{leases: make(map[kvstore.LeaseID]time.Time), era: 1, grantDelay: leaseTTL / 2}
	store.watch = func([]byte) { // The claim was applied; its lease is never renewed.
		store.mu.Lock()
		store.down = true
		store.mu.Unlock()
	}
	started := time.Now()
	c := leader.New(leader.Options{Store: store, Key: "k", Value: value("x"), EraOf: eraOf, MinLeaseTTL: leaseTTL, Clock: func() time.Duration { return time.Since(started) }})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
	c.Observe(nil, kvstore.Position{Era: 1, Version: 1})
	g.Eventually(func() bool { return c.State().Held }, "3s").Should(BeTrue())
	store.mu.Lock()
	defer store.mu.Unlock()
	g.Expect(started.Add(c.State().LeaseEnd)).To(BeTemporally("<=", store.leases[store.holder]))
}

func TestResignationDuringARestorationDoesNotEndAnotherLeadership(t *testing.T) {
	g := NewWithT(t)
	store := &restoredStore{fakeStore: &fakeStore{leases: make(map[kvstore.LeaseID]time.Time), era: 1, ttl: time.Minute}}
	store.watch = func([]byte) {}
	started := time.Now()
	c := leader.New(leader.Options{Store: store, Key: "k", Value: value("x"), EraOf: eraOf, MinLeaseTTL: time.Minute, Clock: func() time.Duration { return time.Since(started) }})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
	c.Observe(nil, kvstore.Position{Era: 1, Version: 1})
	g.Eventually(func() bool { return c.State().Held }, "3s").Should(BeTrue())
	time.Sleep(50 * time.Millisecond) // The first renewal is over.
	store.armed.Store(true)
	_ = c.Resign(context.Background(), true) // It may fail: the leadership ended with its era.
	store.mu.Lock()
	defer store.mu.Unlock()
	g.Expect(string(store.value)).To(Equal("2/another"))
	g.Expect(store.leases).To(HaveKey(store.holder))
}

// A restored store may keep the key of a leader that has ended, without expiring it.
func TestLeftoverOfAnEarlierEraIsReplaced(t *testing.T) {
	g := NewWithT(t)
	store := &fakeStore{leases: make(map[kvstore.LeaseID]time.Time), era: 2, revision: 7, version: 7, value: value("ended")(1)}
	started := time.Now()
	c := leader.New(leader.Options{Store: store, Key: "k", Value: value("x"), EraOf: eraOf, Clock: func() time.Duration { return time.Since(started) }})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
	c.Observe(store.value, kvstore.Position{Era: 2, Version: 7})
	g.Consistently(func() bool { return c.State().Held }, leader.LeaseTTL).Should(BeFalse(), "its lease may not have expired yet")
	g.Eventually(func() bool { return c.State().Held }, 8*leader.LeaseTTL).Should(BeTrue())
}

func TestObservationOfTheTimeBeforeTheOwnClaimDoesNotEndTheLeadership(t *testing.T) {
	g := NewWithT(t)
	store := &fakeStore{leases: make(map[kvstore.LeaseID]time.Time), era: 2, revision: 7, ttl: 2 * leader.LeaseTTL}
	started := time.Now()
	c := leader.New(leader.Options{Store: store, Key: "k", Value: value("x"), EraOf: eraOf, Clock: func() time.Duration { return time.Since(started) }})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
	c.Observe(nil, kvstore.Position{Era: 2, Version: 7})
	g.Eventually(func() bool { return c.State().Held }, 2*leader.LeaseTTL).Should(BeTrue())
	c.Observe(nil, kvstore.Position{Era: 2, Version: 7})
	c.Observe(value("earlier")(1), kvstore.Position{Era: 2, Version: 5})
	g.Expect(c.State().Held).To(BeTrue())
	c.Observe(value("later")(2), kvstore.Position{Era: 2, Version: 20})
	g.Expect(c.State().Held).To(BeFalse())
}

func TestReclaimWhoseReplyWasLostIsFoundAgain(t *testing.T) {
	g := NewWithT(t)
	store, campaigns, _ := start(t, 1)
	store.setEra(1, nil)
	g.Eventually(func() kvstore.Era { return campaigns[0].State().Term.Era }, "3s").Should(BeEquivalentTo(1))
	store.mu.Lock()
	store.loseReplies, store.failReads = true, 1
	store.mu.Unlock()
	store.setEra(2, nil)
	g.Eventually(func() kvstore.Era { return campaigns[0].State().Term.Era }, "3s").Should(BeEquivalentTo(2))
	g.Expect(campaigns[0].State().Held).To(BeTrue())
	store.mu.Lock()
	defer store.mu.Unlock()
	g.Expect(store.writes).To(Equal(2), "the first claim of the era was applied")
}

// setEra restores the store: only the given value of the key is left.
func (f *fakeStore) setEra(era kvstore.Era, left []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era, f.value, f.ttl = era, left, 2*leader.LeaseTTL
	f.leases = make(map[kvstore.LeaseID]time.Time)
}
