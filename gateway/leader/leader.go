// Package leader elects the one VM that decides the ownership of keys. The
// leader holds a key of the platform's store that is bound to a lease.
//
// A Campaign does not watch the key itself: its user passes it the key's value.
// The leader renews the lease. An unreachable store does not end the leadership,
// since no other VM can win it meanwhile; the user of the campaign decides by
// LastContact how long to act without the store.
//
// A store that was restored from an earlier copy may have lost the key, name an earlier
// leader, or give the ID of the lease to another VM. A leadership is therefore valid in
// one era of the store only. In the next one its holder claims the key again at once,
// and the record of an earlier era does not count. A leader that resigns does not end its
// lease, whose ID another VM may have by then: it overwrites the record that it wrote.
package leader

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"guavacrank.example/gateway/port"
	"guavacrank.example/kvstore"
)

const (
	// LeaseTTL is the requested TTL of the lease; the store may require a longer
	// one.
	LeaseTTL = time.Second
	// renewalsPerTTL is the number of lease renewals within one TTL.
	renewalsPerTTL = 3
	// claimJitter is the maximum random delay before a claim, so that most VMs
	// learn of the winner before they claim.
	claimJitter = 150 * time.Millisecond
	// priorityDelay is how much later VMs of the next lower priority claim.
	priorityDelay = 250 * time.Millisecond
	// retryDelay is the delay after a failed claim.
	retryDelay = 300 * time.Millisecond
	// callTimeout limits one call to the store.
	callTimeout = 700 * time.Millisecond
)

// Priority says which VMs claim a vacant key first.
type Priority uint8

// Priorities, the highest first.
const (
	PriorityNormal Priority = iota
	// PriorityLow is that of VMs with little capacity.
	PriorityLow
	// PriorityLast is that of VMs that have just given up the leadership.
	PriorityLast
)

// Options configure a Campaign.
type Options struct {
	Store port.Store
	// Key is the key that the leader holds.
	Key string
	// Value returns what to write to the key in an era of the store. It must be
	// unique to the process and the era. EraOf returns the era of such a value.
	Value func(era kvstore.Era) []byte
	EraOf func(value []byte) kvstore.Era
	// MinLeaseTTL is the shortest TTL that the store grants.
	MinLeaseTTL time.Duration
	// Clock returns the elapsed time of this VM, including time suspended.
	Clock func() time.Duration
}

// State is the known state of the leadership.
type State struct {
	// Held reports that this VM is the leader, by what it knows of the era of Term.
	Held bool
	// Term is the position of the key's write. It grows with each leader.
	Term kvstore.Position
	// LastContact is when the last successful store call of the term was sent that
	// the store answered in the era of Term.
	LastContact time.Duration
	// LeaseEnd is until when the lease can't have expired, so that no later leader can
	// have been elected in the era of Term.
	LeaseEnd time.Duration
}

// Campaign is this VM's candidacy for the leadership. It drives a core: it makes the calls
// that the core asks for.
type Campaign struct {
	options Options
	changed chan struct{} // Ends a wait.

	mu   sync.Mutex
	core core
}

// New returns a campaign. Run starts it.
func New(options Options) *Campaign {
	return &Campaign{
		options: options,
		changed: make(chan struct{}, 1),
		core:    core{value: options.Value, eraOf: options.EraOf, random: rand.N[time.Duration], ttl: max(LeaseTTL, options.MinLeaseTTL)},
	}
}

// EnterEra tells the campaign the store's era.
func (c *Campaign) EnterEra(era kvstore.Era) {
	c.update(func(core *core) { core.enterEra(era) })
}

// Observe sets the observed value of the key, nil if the key does not exist, and the
// position of the store that it is about: that of the write, or one at which the key did
// not exist. An observation of the time before the own claim has no effect.
func (c *Campaign) Observe(value []byte, at kvstore.Position) {
	c.update(func(core *core) { core.observe(c.options.Clock(), value, at) })
}

// SetPriority sets this VM's priority for later claims.
func (c *Campaign) SetPriority(priority Priority) {
	c.update(func(core *core) { core.priority = priority })
}

// State returns the current state.
func (c *Campaign) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.state
}

// update changes the core, and ends a wait if it says so.
func (c *Campaign) update(change func(*core)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.core)
	if !c.core.changed {
		return
	}
	c.core.changed = false
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// Run claims and renews the leadership until ctx ends.
func (c *Campaign) Run(ctx context.Context) {
	for ctx.Err() == nil {
		var todo step
		c.update(func(core *core) { todo = core.next(c.options.Clock()) })
		if todo.call == callNone {
			c.wait(ctx, todo.wait)
			continue
		}
		response := c.call(ctx, todo)
		c.update(func(core *core) { core.done(c.options.Clock(), response) })
	}
}

// wait waits for the given time, or until the state changes.
func (c *Campaign) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-c.changed:
	}
}

// call makes a call to the store.
func (c *Campaign) call(ctx context.Context, todo step) (r result) {
	ctx, cancel := context.WithTimeout(ctx, todo.timeout)
	defer cancel()
	store, key := c.options.Store, c.options.Key
	switch todo.call {
	case callKeepAlive:
		r.era, r.err = store.KeepAlive(ctx, todo.lease)
	case callGet:
		r.entry, r.err = store.Get(ctx, key)
	case callGrantLease:
		r.lease, r.err = store.GrantLease(ctx, todo.ttl)
	case callCompareAndSwap:
		r.position, r.err = store.CompareAndSwap(ctx, key, todo.expected, todo.value, todo.lease)
	}
	return r
}
