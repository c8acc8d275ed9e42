// Package role elects one holder of a role by means of a lease in the
// platform's store. While the store can't be reached, the role is lost once the
// lease has expired by this VM's own clock, which is never later than it
// expires in the store.
package role

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavacrank.example/kvstore"
)

const (
	// DefaultLeaseTTL is the TTL of a role's lease.
	DefaultLeaseTTL = 10 * time.Second
	// callTimeout limits one call to the store.
	callTimeout = 2 * time.Second
)

// Options configures an Elector.
type Options struct {
	Store kvstore.Store
	// Role is the role's name; the key is kvstore.RolePrefix + Role.
	Role string
	// Holder is this VM's name; it becomes the key's value.
	Holder string
	// LeaseTTL is the TTL of the lease; zero means DefaultLeaseTTL.
	LeaseTTL time.Duration
	// Clock returns the elapsed time of this VM, including time in suspend.
	Clock func() time.Duration
	// OnChange is called when the role is won or lost, one call at a time.
	OnChange func(held bool)
}

// Elector competes for one role.
type Elector struct {
	options Options

	mu       sync.Mutex
	machine  *Machine
	lease    kvstore.LeaseID
	notified bool
}

// New returns an elector. It does nothing until Run is called.
func New(options Options) *Elector {
	if options.LeaseTTL == 0 {
		options.LeaseTTL = DefaultLeaseTTL
	}
	seed := xxhash.Sum64String(options.Role + "|" + options.Holder)
	return &Elector{options: options, machine: NewMachine(options.LeaseTTL, seed)}
}

// Run competes for the role until ctx ends, then gives it up.
func (e *Elector) Run(ctx context.Context) error {
	defer e.release()
	for ctx.Err() == nil {
		action, until := e.next()
		switch action {
		case Claim:
			e.claim(ctx)
		case KeepAlive:
			e.keepAlive(ctx)
		case Wait:
			wait(ctx, until-e.options.Clock())
		}
		e.notify()
	}
	return nil
}

// Held reports whether this VM holds the role now.
func (e *Elector) Held() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.Held(e.options.Clock())
}

func (e *Elector) next() (Action, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.Next(e.options.Clock())
}

// claim takes the role if its key is free. If the outcome of the write is
// unknown, claim reads the key and compares its lease, whose ID is unique.
func (e *Elector) claim(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := kvstore.RolePrefix + e.options.Role
	if _, err := e.options.Store.Get(ctx, key); !kvstore.IsKind(err, kvstore.KindNotFound) {
		e.claimed(0, false)
		return
	}
	sentAt := e.options.Clock()
	lease, err := e.options.Store.GrantLease(ctx, e.options.LeaseTTL)
	if err != nil {
		e.claimed(sentAt, false)
		return
	}
	_, err = e.options.Store.CompareAndSwap(ctx, key, 0, []byte(e.options.Holder), lease)
	won := err == nil || (kvstore.IsUnknown(err) && e.ownsKey(ctx, key, lease))
	if won {
		e.setLease(lease)
	} else {
		_ = e.options.Store.Revoke(ctx, lease)
	}
	e.claimed(sentAt, won)
}

func (e *Elector) ownsKey(ctx context.Context, key string, lease kvstore.LeaseID) bool {
	entry, err := e.options.Store.Get(ctx, key)
	return err == nil && entry.Lease == lease
}

func (e *Elector) claimed(sentAt time.Duration, won bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.machine.Claimed(sentAt, e.options.Clock(), won)
}

func (e *Elector) setLease(lease kvstore.LeaseID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease = lease
}

func (e *Elector) keepAlive(ctx context.Context) {
	sentAt := e.options.Clock()
	ctx, cancel := context.WithTimeout(ctx, min(callTimeout, e.remaining(sentAt)))
	defer cancel()
	err := e.options.Store.KeepAlive(ctx, e.lease)
	e.mu.Lock()
	defer e.mu.Unlock()
	lost := kvstore.IsKind(err, kvstore.KindNotFound)
	e.machine.KeptAlive(sentAt, e.options.Clock(), err == nil, lost)
}

// remaining returns how long the role is held without a renewal.
func (e *Elector) remaining(now time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.Expiry() - now
}

// notify calls OnChange if the role was won or lost.
func (e *Elector) notify() {
	held := e.Held()
	if held == e.notified {
		return
	}
	e.notified = held
	if e.options.OnChange != nil {
		e.options.OnChange(held)
	}
}

// release gives up the role and frees its key for other VMs.
func (e *Elector) release() {
	held := e.Held()
	e.mu.Lock()
	e.machine.Release()
	lease := e.lease
	e.mu.Unlock()
	e.notify()
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_ = e.options.Store.Revoke(ctx, lease)
}

// wait waits for a duration or until ctx ends.
func wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
