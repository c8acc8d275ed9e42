// Package leader elects the one VM that decides the ownership of keys. The
// leader holds a key of the platform's store that is bound to a lease.
//
// A Campaign does not watch the key itself: its user passes it the key's value.
// The leader renews the lease. An unreachable store does not end the leadership,
// since no other VM can win it meanwhile; the user of the campaign decides by
// LastContact how long to act without the store.
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
	// lowPriorityDelay is how much later VMs with little capacity claim.
	lowPriorityDelay = 250 * time.Millisecond
	// retryDelay is the delay after a failed claim.
	retryDelay = 300 * time.Millisecond
	// callTimeout limits one call to the store.
	callTimeout = 700 * time.Millisecond
)

// Options configure a Campaign.
type Options struct {
	Store port.Store
	// Key is the key that the leader holds.
	Key string
	// Value is written to the key; it must be unique to the process.
	Value []byte
	// MinLeaseTTL is the shortest TTL that the store grants.
	MinLeaseTTL time.Duration
	// Clock returns the elapsed time of this VM, including time suspended.
	Clock func() time.Duration
}

// State is the known state of the leadership.
type State struct {
	// Held reports that this VM is the leader.
	Held bool
	// Term is the store's version of the key. It grows with each leader.
	Term kvstore.Version
	// LastContact is when the last successful store call of the term was sent.
	LastContact time.Duration
}

// Campaign is this VM's candidacy for the leadership.
type Campaign struct {
	options Options

	mu          sync.Mutex
	state       State
	vacant      bool
	disabled    bool
	lowPriority bool
	changed     chan struct{}
	lease       kvstore.LeaseID
	ttl         time.Duration
}

// New returns a campaign. Run starts it.
func New(options Options) *Campaign {
	return &Campaign{options: options, changed: make(chan struct{}, 1), ttl: max(LeaseTTL, options.MinLeaseTTL)}
}

// Observe sets the newest observed value of the key; nil means that the key does
// not exist.
func (c *Campaign) Observe(value []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vacant = value == nil
	if c.state.Held && string(value) != string(c.options.Value) {
		c.state.Held = false
	}
	c.wake()
}

// Resign gives up the leadership. If permanently is set, the campaign never claims
// it again.
func (c *Campaign) Resign(ctx context.Context, permanently bool) error {
	c.mu.Lock()
	held, lease := c.state.Held, c.lease
	c.state.Held = false
	c.disabled = c.disabled || permanently
	c.mu.Unlock()
	if !held {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.options.Store.Revoke(ctx, lease)
}

// SetLowPriority sets whether VMs with more capacity should claim first.
func (c *Campaign) SetLowPriority(low bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lowPriority = low
}

// claimDelay returns how long to wait before a claim.
func (c *Campaign) claimDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lowPriority {
		return lowPriorityDelay + rand.N(claimJitter)
	}
	return rand.N(claimJitter)
}

// State returns the current state.
func (c *Campaign) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

func (c *Campaign) wake() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// Run claims and renews the leadership until ctx ends.
func (c *Campaign) Run(ctx context.Context) {
	for ctx.Err() == nil {
		switch held, vacant := c.status(); {
		case held:
			c.renew(ctx)
			c.wait(ctx, c.ttl/renewalsPerTTL)
		case vacant:
			c.wait(ctx, c.claimDelay())
			if _, vacant := c.status(); vacant {
				c.claim(ctx)
			}
		default:
			c.wait(ctx, time.Hour)
		}
	}
}

func (c *Campaign) status() (held, vacant bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Held, c.vacant && !c.disabled
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

// claim writes the key with a new lease. If the outcome of the write is unknown,
// reading the key resolves it.
func (c *Campaign) claim(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	lease, ttl, err := c.options.Store.GrantLease(callCtx, c.ttl)
	if err != nil {
		c.wait(ctx, retryDelay)
		return
	}
	sent := c.options.Clock()
	term, err := c.options.Store.CompareAndSwap(callCtx, c.options.Key, 0, c.options.Value, lease)
	if kvstore.IsUnknown(err) {
		entry, readErr := c.options.Store.Get(callCtx, c.options.Key)
		if readErr == nil && entry.Lease == lease {
			term, err = entry.Version, nil
		}
	}
	if err != nil {
		c.lost(kvstore.IsKind(err, kvstore.KindConflict))
		c.wait(ctx, retryDelay)
		return
	}
	c.won(lease, ttl, sent, term)
}

func (c *Campaign) won(lease kvstore.LeaseID, ttl, sent time.Duration, term kvstore.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease, c.ttl = lease, max(ttl, c.ttl)
	c.vacant = false
	c.state = State{Held: true, Term: term, LastContact: sent}
}

// lost records a failed claim. If the key is taken, Observe reports when it is
// vacant again.
func (c *Campaign) lost(taken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Held = false
	c.vacant = c.vacant && !taken
}

func (c *Campaign) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := c.options.Clock()
	err := c.options.Store.KeepAlive(ctx, c.lease)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.state.LastContact = max(c.state.LastContact, sent)
	case kvstore.IsKind(err, kvstore.KindNotFound):
		c.state.Held = false
		c.vacant = true // The key was deleted with its lease; another VM may hold it already.
	}
}
