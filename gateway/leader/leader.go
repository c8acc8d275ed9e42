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
	"bytes"
	"context"
	"errors"
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

// Campaign is this VM's candidacy for the leadership.
type Campaign struct {
	options Options

	mu          sync.Mutex
	state       State
	era         kvstore.Era // The store's newest known era.
	vacant      bool
	vacantAt    kvstore.Version // With vacant: the version of the key, zero if it does not exist.
	disabled    bool
	lowPriority bool
	changed     chan struct{}
	lease       kvstore.LeaseID
	value       []byte // What the leader wrote to the key.
	// unresolved is a claim whose write may have been applied.
	unresolved *claim
	ttl        time.Duration
	// leftoverSince is when the key was first seen to hold a record of an earlier era
	// in this one; zero if it does not.
	leftoverSince time.Duration
}

// New returns a campaign. Run starts it.
func New(options Options) *Campaign {
	return &Campaign{options: options, changed: make(chan struct{}, 1), ttl: max(LeaseTTL, options.MinLeaseTTL)}
}

// claim is an attempt to write the key.
type claim struct {
	lease kvstore.Lease
	value []byte
	sent  time.Duration // When the lease was asked for.
}

// EnterEra tells the campaign the store's era.
func (c *Campaign) EnterEra(era kvstore.Era) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enterEra(era)
}

// enterEra records the store's newest era. The caller holds c.mu.
func (c *Campaign) enterEra(era kvstore.Era) {
	if era <= c.era {
		return
	}
	c.era, c.leftoverSince = era, 0
	c.wake()
}

// Observe sets the observed value of the key, nil if the key does not exist, and the
// position of the store that it is about: that of the write, or one at which the key did
// not exist. An observation of the time before the own claim has no effect.
func (c *Campaign) Observe(value []byte, at kvstore.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enterEra(at.Era)
	if at.Era < c.era || c.state.Held && at.Before(c.state.Term) {
		return
	}
	c.setVacant(value, at.Version)
	leftover := !c.vacant && c.options.EraOf(value) < at.Era
	switch {
	case !leftover:
		c.leftoverSince = 0
	case c.leftoverSince == 0:
		c.leftoverSince = max(c.options.Clock(), 1)
	}
	if c.restored() && (c.vacant || leftover || bytes.Equal(value, c.options.Value(at.Era))) {
		c.wake()
		return // The leader of the earlier era claims the key again, or its claim was applied.
	}
	if c.state.Held && !bytes.Equal(value, c.value) {
		c.state.Held = false
	}
	c.wake()
}

// restored says whether the store was restored after this VM had won the leadership.
// The caller holds c.mu.
func (c *Campaign) restored() bool { return c.state.Held && c.state.Term.Era < c.era }

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
		switch action := c.nextAction(); action {
		case actionRenew:
			c.renew(ctx)
			c.wait(ctx, c.ttl/renewalsPerTTL)
		case actionReclaim:
			c.reclaim(ctx)
		case actionClaim, actionReplace:
			c.wait(ctx, c.claimDelay())
			switch c.nextAction() {
			case actionClaim:
				c.attempt(ctx, c.vacantVersion())
			case actionReplace:
				c.reclaim(ctx)
			}
		default:
			c.wait(ctx, leftoverTTLs*c.ttl)
		}
	}
}

// action is what a campaign does next.
type action uint8

const (
	// actionWait waits until the key's value changes.
	actionWait action = iota
	// actionRenew renews the lease.
	actionRenew
	// actionReclaim claims the key in a new era, in which this VM led before.
	actionReclaim
	// actionClaim claims the vacant key.
	actionClaim
	// actionReplace claims the key that only a leader of an earlier era wrote.
	actionReplace
)

// leftoverTTLs is how long a record of an earlier era stands, in TTLs of a lease, before
// any VM may replace it. Its lease expires earlier, unless the restored store does not
// expire it.
const leftoverTTLs = 3

func (c *Campaign) nextAction() action {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.restored():
		return actionReclaim
	case c.state.Held:
		return actionRenew
	case c.disabled:
		return actionWait
	case c.vacant:
		return actionClaim
	case c.leftoverSince > 0 && c.options.Clock() >= c.leftoverSince+leftoverTTLs*c.ttl:
		return actionReplace
	default:
		return actionWait
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

// reclaim claims the key unless a leader of the current era holds it.
func (c *Campaign) reclaim(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := c.options.Store.Get(callCtx, c.options.Key)
	switch {
	case kvstore.IsKind(err, kvstore.KindNotFound):
		c.EnterEra(kvstore.EraOf(err))
		c.attempt(ctx, 0)
	case err != nil:
		c.EnterEra(kvstore.EraOf(err))
		c.wait(ctx, retryDelay)
	case IsVacant(entry.Value) || c.options.EraOf(entry.Value) < entry.Era:
		c.EnterEra(entry.Era)
		c.attempt(ctx, entry.Version)
	case c.isOwn(entry):
		c.won(*c.unresolved, kvstore.Position{Era: entry.Era, Version: entry.Version})
	default:
		c.Observe(entry.Value, kvstore.Position{Era: entry.Era, Version: entry.Version})
	}
}

// isOwn says whether an entry was written by the unresolved claim.
func (c *Campaign) isOwn(entry kvstore.Entry) bool {
	return c.unresolved != nil && entry.Lease == c.unresolved.lease.ID && bytes.Equal(entry.Value, c.unresolved.value)
}

// errRestored reports a claim during which the store was restored.
var errRestored = errors.New("the store was restored from an earlier copy meanwhile")

// attempt writes the key with a new lease if its version is the expected one. If the
// outcome of the write is unknown, reading the key resolves it.
func (c *Campaign) attempt(ctx context.Context, expected kvstore.Version) {
	callCtx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	sent := c.options.Clock()
	lease, err := c.options.Store.GrantLease(callCtx, c.ttl)
	if err != nil {
		c.EnterEra(kvstore.EraOf(err))
		c.wait(ctx, retryDelay)
		return
	}
	attempt := claim{lease, c.options.Value(lease.Era), sent}
	term, err := c.options.Store.CompareAndSwap(callCtx, c.options.Key, expected, attempt.value, lease.ID)
	if kvstore.IsUnknown(err) {
		c.unresolved = &attempt
		entry, readErr := c.options.Store.Get(callCtx, c.options.Key)
		if readErr == nil && c.isOwn(entry) {
			term, err = kvstore.Position{Era: entry.Era, Version: entry.Version}, nil
		}
	}
	if err == nil && term.Era != lease.Era {
		err = &kvstore.Error{Op: "claim", Key: c.options.Key, Kind: kvstore.KindUnavailable, Era: term.Era, Err: errRestored}
	}
	if err != nil {
		c.lost(kvstore.IsKind(err, kvstore.KindConflict), kvstore.EraOf(err))
		c.wait(ctx, retryDelay)
		return
	}
	c.won(attempt, term)
}

// won records a claim that was applied. A campaign that was ended meanwhile leaves the
// lease to expire.
func (c *Campaign) won(applied claim, term kvstore.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enterEra(term.Era)
	c.unresolved = nil
	c.vacant = false
	c.leftoverSince = 0
	if c.disabled {
		return
	}
	c.lease, c.value, c.ttl = applied.lease.ID, applied.value, max(applied.lease.TTL, c.ttl)
	c.state = State{Held: true, Term: term, LastContact: applied.sent, LeaseEnd: applied.sent + applied.lease.TTL}
}

// lost records a failed claim. If the key is taken, Observe reports when it is
// vacant again. A leader of an earlier era goes on claiming until it knows its successor.
func (c *Campaign) lost(taken bool, era kvstore.Era) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enterEra(era)
	if c.restored() {
		return
	}
	c.state.Held = false
	c.vacant = c.vacant && !taken
}

func (c *Campaign) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := c.options.Clock()
	era, err := c.options.Store.KeepAlive(ctx, c.lease)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enterEra(max(era, kvstore.EraOf(err)))
	switch {
	case c.restored():
		// The response is about another lease, if any.
	case err == nil:
		c.state.LeaseEnd += max(sent-c.state.LastContact, 0)
		c.state.LastContact = max(c.state.LastContact, sent)
	case kvstore.IsKind(err, kvstore.KindNotFound):
		c.state.Held = false
		c.setVacant(nil, 0) // The key was deleted with its lease; another VM may hold it already.
	}
}
