package leader_test

import (
	"context"
	"fmt"
	"sync"
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
	version     kvstore.Version
	value       []byte
	holder      kvstore.LeaseID
	leases      map[kvstore.LeaseID]time.Time
	next        kvstore.LeaseID
	down        bool
	loseReplies bool // Writes are applied, but their replies are lost.
	watch       func(value []byte)
}

const leaseTTL = 200 * time.Millisecond

var errDown = &kvstore.Error{Kind: kvstore.KindUnavailable}

func (f *fakeStore) GrantLease(context.Context, time.Duration) (kvstore.LeaseID, time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, 0, errDown
	}
	f.next++
	f.leases[f.next] = time.Now().Add(leaseTTL)
	return f.next, leaseTTL, nil
}

func (f *fakeStore) CompareAndSwap(_ context.Context, _ string, expected kvstore.Version, value []byte, lease kvstore.LeaseID) (kvstore.Version, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, errDown
	}
	if f.value != nil {
		return 0, &kvstore.Error{Kind: kvstore.KindConflict}
	}
	f.version++
	f.value, f.holder = value, lease
	if f.loseReplies {
		return 0, &kvstore.Error{Outcome: kvstore.OutcomeUnknown}
	}
	return f.version, nil
}

func (f *fakeStore) Get(context.Context, string) (kvstore.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return kvstore.Entry{Value: f.value, Lease: f.holder, Version: f.version}, nil
}

func (f *fakeStore) KeepAlive(_ context.Context, lease kvstore.LeaseID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return errDown
	}
	if _, known := f.leases[lease]; !known {
		return &kvstore.Error{Kind: kvstore.KindNotFound}
	}
	f.leases[lease] = time.Now().Add(leaseTTL)
	return nil
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
			c.Observe(value)
		}
	}
	for i := range count {
		campaigns = append(campaigns, leader.New(leader.Options{Store: store, Key: "k", Value: []byte(fmt.Sprint(i)),
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
				if i != first && c.State().Held && c.State().Term > term {
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
		c := leader.New(leader.Options{Store: store, Key: "k", Value: []byte("x"), Clock: func() time.Duration { return time.Second }})
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go c.Run(ctx)
		c.Observe(nil)
		g.Eventually(func() bool { return c.State().Held }, "3s").Should(BeTrue())
		g.Expect(c.State().Term).To(BeNumerically(">", 0))
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
		campaigns[0].Observe([]byte("another"))
		g.Expect(campaigns[0].State().Held).To(BeFalse())
	})
}
