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
	// TTL is how long a record forbids another run. Zero means DefaultLife.
	TTL time.Duration
	// OutcomeWritesPerSecond bounds how many ends of requests this VM writes to the
	// store each second; ends beyond it stay Begun. Zero means DefaultEnds.
	OutcomeWritesPerSecond int
	// Elapsed is a clock that runs on while the VM is suspended, so that a
	// lease is not used for longer than its turn. Nil means elapsed.Now.
	Elapsed func() time.Duration
}

// Defaults of Options, and bounds of the calls on the store.
const (
	DefaultTTL           = 24 * time.Hour
	DefaultOutcomeWrites = 20
	// leaseTurn is how long one lease is given to new records. All records of
	// a turn expire with its lease, at least Life after their creation.
	leaseTurn = 10 * time.Minute
	// callTimeout bounds one call on the store.
	callTimeout = 2 * time.Second
	// createTries bounds the attempts to settle an unclear creation.
	createTries = 3
	// endTimeout bounds the write of an end beside the answer.
	endTimeout = 2 * time.Second
)

// Records keeps the records of one VM's requests. It is safe for concurrent use.
type Records struct {
	options Options

	mu         sync.Mutex
	lease      kvstore.LeaseID
	leaseUntil time.Duration
	ends       int // Ends written in the second of endsAt.
	endsAt     int64
	writing    sync.WaitGroup
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

// ErrUnconfirmed is returned when the store can't be asked: the request must not run.
var ErrUnconfirmed = errors.New("once: the record could not be created")

// Begin creates the record of a request. It returns a claim; or the earlier
// record, if the request must not run again; or an error, upon which it must
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
		earlier, settled, createErr := c.create(ctx)
		if settled && earlier != nil {
			return nil, earlier, nil
		}
		if settled {
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

// create tries once to create the record. It is settled when the record
// exists: ours, or an earlier one. The claim tells them apart, also after a
// lost reply.
func (c *Claim) create(ctx context.Context) (earlier *Record, settled bool, err error) {
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
	held, decodeErr := decode(c.key, entry.Value)
	if decodeErr != nil {
		return nil, false, decodeErr
	}
	if held.ClaimID == c.record.ClaimID {
		c.version = entry.Version
		return nil, true, nil
	}
	return &held, true, nil
}

// Release removes the record of a request that was proved not to have run, so
// that a repeat may run. If the store does not confirm it, a repeat is told
// that the request may have run.
func (c *Claim) Release(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	return c.records.options.Store.Delete(callCtx, c.key, c.version)
}

// Finish records the answer, beside the answer's way to the caller.
func (c *Claim) Finish(answer Response) {
	c.record.State = Finished
	c.record.Response = &answer
	c.end()
}

// MarkUnknown records that the request ended without proof of whether it ran.
func (c *Claim) MarkUnknown() {
	c.record.State = Unknown
	c.end()
}

// end writes the record's last state in the background. When it is not
// written the record stays Begun, which forbids a run just as well.
func (c *Claim) end() {
	if !c.records.mayEnd() {
		return
	}
	c.records.writing.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
		defer cancel()
		c.records.options.Store.CompareAndSwap(ctx, c.key, c.version, encode(c.record), c.lease)
	})
}

// mayEnd says whether one more end may be written in this second.
func (r *Records) mayEnd() bool {
	second := int64(r.options.Elapsed() / time.Second)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.endsAt != second {
		r.endsAt, r.ends = second, 0
	}
	if r.ends >= r.options.OutcomeWritesPerSecond {
		return false
	}
	r.ends++
	return true
}

// Wait returns when every end that is being written is settled, or with the
// context's error when that ends first. No end may begin meanwhile.
func (r *Records) Wait(ctx context.Context) error {
	settled := make(chan struct{})
	go func() {
		r.writing.Wait()
		close(settled)
	}()
	select {
	case <-settled:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// currentLease returns the lease of this turn, and asks for one when it is due.
func (r *Records) currentLease(ctx context.Context) (kvstore.LeaseID, error) {
	r.mu.Lock()
	lease, until := r.lease, r.leaseUntil
	r.mu.Unlock()
	if lease != 0 && r.options.Elapsed() < until {
		return lease, nil
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := r.options.Elapsed()
	lease, err := r.options.Store.GrantLease(callCtx, r.options.TTL+leaseTurn)
	if err != nil {
		return 0, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease, r.leaseUntil = lease, began+leaseTurn
	return lease, nil
}

// dropLease forgets a lease that the store does not know any more.
func (r *Records) dropLease(lease kvstore.LeaseID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease == lease {
		r.lease = 0
	}
}
