// Package leader elects the one VM that decides the ownership of keys, by a
// key of the platform's store that lives with a lease.
//
// A Campaign watches nothing itself: its owner tells it what the key holds.
// The lease is renewed while it is held; losing the store does not end the
// leadership by itself, since nobody else can win it meanwhile. The owner
// decides by Contact how long it acts without the store.
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
	// LeaseTTL is the life of the lease; the store may demand a longer one.
	LeaseTTL = time.Second
	// renewals is the number of renewals in one life of the lease.
	renewals = 3
	// claimSpread spreads the claims of several VMs over time, so that most
	// learn of the winner before they claim.
	claimSpread = 150 * time.Millisecond
	// yieldDelay is how much later weak VMs claim than strong ones.
	yieldDelay = 250 * time.Millisecond
	// retryPause is the pause after a failed claim.
	retryPause = 300 * time.Millisecond
	// callTimeout bounds one call.
	callTimeout = 700 * time.Millisecond
)

// Options configure a Campaign.
type Options struct {
	Store port.Store
	// Key is the key that the leader holds.
	Key string
	// Value is written to the key; it differs for each process.
	Value []byte
	// MinLeaseTTL is the shortest lease that the store grants.
	MinLeaseTTL time.Duration
	// Clock is the elapsed time of this VM, time in suspend included.
	Clock func() time.Duration
}

// State is what is known of the leadership.
type State struct {
	Held bool
	// Term is the store's version of the key. It grows with each leader.
	Term kvstore.Version
	// LastContact is when the last successful call of the term was sent.
	LastContact time.Duration
}

// Campaign competes for the leadership.
type Campaign struct {
	options Options

	mu      sync.Mutex
	state   State
	vacant  bool
	barred  bool
	yields  bool
	changed chan struct{}
	lease   kvstore.LeaseID
	life    time.Duration
}

// New returns a campaign that starts with Run.
func New(options Options) *Campaign {
	return &Campaign{options: options, changed: make(chan struct{}, 1), life: max(LeaseTTL, options.MinLeaseTTL)}
}

// Observe takes the newest value of the key; nil means that it does not exist.
func (c *Campaign) Observe(value []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vacant = value == nil
	if c.state.Held && string(value) != string(c.options.Value) {
		c.state.Held = false
	}
	c.wake()
}

// Resign gives the leadership up and, if barred, never claims it again.
func (c *Campaign) Resign(ctx context.Context, barred bool) error {
	c.mu.Lock()
	held, lease := c.state.Held, c.lease
	c.state.Held = false
	c.barred = c.barred || barred
	c.mu.Unlock()
	if !held {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.options.Store.Revoke(ctx, lease)
}

// SetLowPriority says whether stronger VMs are to claim first.
func (c *Campaign) SetLowPriority(yields bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.yields = yields
}

// delay is how long to wait before a claim.
func (c *Campaign) delay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.yields {
		return yieldDelay + rand.N(claimSpread)
	}
	return rand.N(claimSpread)
}

// State returns what is known now.
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

// Run competes until ctx ends.
func (c *Campaign) Run(ctx context.Context) {
	for ctx.Err() == nil {
		switch held, vacant := c.situation(); {
		case held:
			c.keep(ctx)
			c.pause(ctx, c.life/renewals)
		case vacant:
			c.pause(ctx, c.delay())
			if _, still := c.situation(); still {
				c.claim(ctx)
			}
		default:
			c.pause(ctx, time.Hour)
		}
	}
}

func (c *Campaign) situation() (held, vacant bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Held, c.vacant && !c.barred
}

// pause waits, or less if something changed.
func (c *Campaign) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-c.changed:
	}
}

// claim writes the key with a new lease. A write whose outcome is unknown is
// settled by reading the key.
func (c *Campaign) claim(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	lease, life, err := c.options.Store.GrantLease(callCtx, c.life)
	if err != nil {
		c.pause(ctx, retryPause)
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
		c.pause(ctx, retryPause)
		return
	}
	c.won(lease, life, sent, term)
}

func (c *Campaign) won(lease kvstore.LeaseID, life, sent time.Duration, term kvstore.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease, c.life = lease, max(life, c.life)
	c.vacant = false
	c.state = State{Held: true, Term: term, LastContact: sent}
}

// lost notes a failed claim. If the key is taken, its end will be observed.
func (c *Campaign) lost(taken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.Held = false
	c.vacant = c.vacant && !taken
}

func (c *Campaign) keep(ctx context.Context) {
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
		c.vacant = true // The key ended with its lease, unless somebody was faster.
	}
}
