package once

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"guavacrank.example/kvstore"
	"guavacrank.example/traffic/elapsed"
)

// Store is the part of kvstore.Store that records need.
type Store interface {
	Get(ctx context.Context, key string) (kvstore.Entry, error)
	CompareAndSwap(ctx context.Context, key string, expected kvstore.Version, value []byte, lease kvstore.LeaseID) (kvstore.Version, error)
	Delete(ctx context.Context, key string, expected kvstore.Version) error
	GrantLease(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, error)
}

// Options configure Records.
type Options struct {
	Store Store
	// VM is the name of this VM.
	VM string
	// TTL is the minimum time for which a record prevents another run. Zero means DefaultTTL.
	TTL time.Duration
	// OutcomeWritesPerSecond limits how many outcomes of requests this VM writes to
	// the store per second; records beyond it stay Begun. Zero means DefaultOutcomeWrites.
	OutcomeWritesPerSecond int
	// Elapsed is a clock that advances while the VM is suspended, so that a
	// lease is not used for longer than leaseUseTime. Nil means elapsed.Now.
	Elapsed func() time.Duration
}

// Defaults of Options, and limits of the calls to the store.
const (
	DefaultTTL           = 24 * time.Hour
	DefaultOutcomeWrites = 20
	// leaseUseTime is how long one lease is used for new records. All of them
	// expire with the lease, at least TTL after their creation.
	leaseUseTime = 10 * time.Minute
	// callTimeout limits one call to the store.
	callTimeout = 2 * time.Second
	// createTries limits the attempts to create a record after unconfirmed ones.
	createTries = 3
	// outcomeTimeout limits the background write of an outcome.
	outcomeTimeout = 2 * time.Second
)

// Records keeps the records of one VM's requests. It is safe for concurrent use.
type Records struct {
	options Options

	mu              sync.Mutex
	lease           kvstore.LeaseID
	leaseUntil      time.Duration
	outcomeWrites   int // Writes in the second of outcomeWritesAt.
	outcomeWritesAt int64
	writing         sync.WaitGroup
}

// New returns records over a store.
func New(options Options) *Records {
	if options.TTL == 0 {
		options.TTL = DefaultTTL
	}
	if options.OutcomeWritesPerSecond == 0 {
		options.OutcomeWritesPerSecond = DefaultOutcomeWrites
	}
	if options.Elapsed == nil {
		options.Elapsed = elapsed.Now
	}
	return &Records{options: options}
}

// Claim is the right to run a request once. One of its methods must be called.
type Claim struct {
	records *Records
	key     string
	version kvstore.Version
	lease   kvstore.LeaseID
	record  Record
}

// ErrUnconfirmed is returned when the store did not confirm the record: the
// request must not run.
var ErrUnconfirmed = errors.New("once: the record could not be created")

// Begin creates the record of a request. It returns a claim; or the earlier
// record, if the request must not run again; or an error, in which case it must
// not run either.
func (r *Records) Begin(ctx context.Context, service, key, fingerprint string) (*Claim, *Record, error) {
	lease, err := r.currentLease(ctx)
	if err != nil {
		return nil, nil, errors.Join(ErrUnconfirmed, err)
	}
	c := &Claim{
		records: r,
		key:     storeKey(service, key),
		lease:   lease,
		record:  Record{State: Begun, ClaimID: rand.Text(), VM: r.options.VM, Fingerprint: fingerprint},
	}
	for range createTries {
		earlier, resolved, createErr := c.create(ctx)
		if resolved && earlier != nil {
			return nil, earlier, nil
		}
		if resolved {
			return c, nil, nil
		}
		if err = createErr; !kvstore.IsUnknown(err) {
			break
		}
	}
	if kvstore.IsKind(err, kvstore.KindNotFound) {
		r.dropLease(lease)
	}
	return nil, nil, errors.Join(ErrUnconfirmed, err)
}

// create tries once to create the record. It returns resolved when a record is
// known to exist: this one, or an earlier one. The claim ID distinguishes them,
// also after a lost reply.
func (c *Claim) create(ctx context.Context) (earlier *Record, resolved bool, err error) {
	store := c.records.options.Store
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := store.CompareAndSwap(callCtx, c.key, 0, encode(c.record), c.lease)
	if err == nil {
		c.version = version
		return nil, true, nil
	}
	if !kvstore.IsKind(err, kvstore.KindConflict) && !kvstore.IsUnknown(err) {
		return nil, false, err
	}
	readCtx, cancelRead := context.WithTimeout(ctx, callTimeout)
	defer cancelRead()
	entry, readErr := store.Get(readCtx, c.key)
	if readErr != nil {
		return nil, false, err
	}
	existing, decodeErr := decode(c.key, entry.Value)
	if decodeErr != nil {
		return nil, false, decodeErr
	}
	if existing.ClaimID == c.record.ClaimID {
		c.version = entry.Version
		return nil, true, nil
	}
	return &existing, true, nil
}

// Release removes the record of a request that was proved not to have run, so
// that a retry may run. If the store does not confirm it, a retry is told that
// the request may have run.
func (c *Claim) Release(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	return c.records.options.Store.Delete(callCtx, c.key, c.version)
}

// Finish records the response in the background.
func (c *Claim) Finish(response Response) {
	c.record.State = Finished
	c.record.Response = &response
	c.writeOutcome()
}

// MarkUnknown records that the request ended without proof of whether it ran.
func (c *Claim) MarkUnknown() {
	c.record.State = Unknown
	c.writeOutcome()
}

// writeOutcome writes the final state in the background. If it is not written,
// the record stays Begun, which prevents another run as well.
func (c *Claim) writeOutcome() {
	if !c.records.allowOutcomeWrite() {
		return
	}
	c.records.writing.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
		defer cancel()
		c.records.options.Store.CompareAndSwap(ctx, c.key, c.version, encode(c.record), c.lease)
	})
}

// allowOutcomeWrite reports whether one more outcome may be written in this
// second.
func (r *Records) allowOutcomeWrite() bool {
	second := int64(r.options.Elapsed() / time.Second)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outcomeWritesAt != second {
		r.outcomeWritesAt, r.outcomeWrites = second, 0
	}
	if r.outcomeWrites >= r.options.OutcomeWritesPerSecond {
		return false
	}
	r.outcomeWrites++
	return true
}

// Wait returns when all outcome writes have ended, or with the context's error
// when that ends first. No outcome may be recorded meanwhile.
func (r *Records) Wait(ctx context.Context) error {
	resolved := make(chan struct{})
	go func() {
		r.writing.Wait()
		close(resolved)
	}()
	select {
	case <-resolved:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// currentLease returns the lease for new records, and requests a new one when it is due.
func (r *Records) currentLease(ctx context.Context) (kvstore.LeaseID, error) {
	r.mu.Lock()
	lease, until := r.lease, r.leaseUntil
	r.mu.Unlock()
	if lease != 0 && r.options.Elapsed() < until {
		return lease, nil
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := r.options.Elapsed()
	lease, err := r.options.Store.GrantLease(callCtx, r.options.TTL+leaseUseTime)
	if err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease, r.leaseUntil = lease, start+leaseUseTime
	return lease, nil
}

// dropLease discards a lease that the store has no record of any more.
func (r *Records) dropLease(lease kvstore.LeaseID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease == lease {
		r.lease = 0
	}
}
