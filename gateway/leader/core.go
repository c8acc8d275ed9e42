package leader

import (
	"bytes"
	"errors"
	"time"

	"guavacrank.example/kvstore"
)

// core is the state machine of a campaign. It has no goroutine, lock, clock or store: next
// returns what to do, done takes the result of a call. It is not safe for concurrent use.
type core struct {
	value func(kvstore.Era) []byte
	eraOf func([]byte) kvstore.Era
	// random returns a random time below the given one.
	random func(time.Duration) time.Duration

	state    State
	era      kvstore.Era // The store's newest known era.
	vacant   bool
	vacantAt kvstore.Version // With vacant: the version of the key, zero if it does not exist.
	disabled bool
	priority Priority
	lease    kvstore.LeaseID
	written  []byte // What the leader wrote to the key.
	// unresolved is a claim whose write may have been applied.
	unresolved *claim
	ttl        time.Duration
	// leftoverSince is when the key was first seen to hold a record of an earlier era
	// in this one; zero if it does not.
	leftoverSince time.Duration
	// changed says that a wait ends, because the state has changed.
	changed bool

	phase       phase
	wait        time.Duration // In phaseWait.
	then        phase         // After phaseWait.
	sent        time.Duration // When the call in flight was made.
	attempt     claim         // From phaseWrite on.
	expected    kvstore.Version
	attemptEnds time.Duration
	writeErr    error // In phaseResolve: the outcome of the write.
}

// claim is an attempt to write the key.
type claim struct {
	lease kvstore.Lease
	value []byte
	sent  time.Duration // When the lease was asked for.
}

// phase is what a campaign does, or the call that is due or in flight.
type phase uint8

const (
	phaseDecide  phase = iota
	phaseWait          // A wait is due.
	phaseClaim         // The delay before a claim is over.
	phaseRenew         // KeepAlive
	phaseRead          // Get, before a claim of a key that other leaders may have written
	phaseLease         // GrantLease
	phaseWrite         // CompareAndSwap
	phaseResolve       // Get, after a write with an unknown outcome
)

// callKind is a call to the store.
type callKind uint8

const (
	callNone callKind = iota
	callKeepAlive
	callGet
	callGrantLease
	callCompareAndSwap
)

// step is what to do next: a call, or a wait that also ends when the state changes.
type step struct {
	call     callKind
	wait     time.Duration
	timeout  time.Duration
	lease    kvstore.LeaseID
	ttl      time.Duration
	expected kvstore.Version
	value    []byte
}

// result is the result of a call: of its kind, or an error.
type result struct {
	era      kvstore.Era
	entry    kvstore.Entry
	lease    kvstore.Lease
	position kvstore.Position
	err      error
}

// next returns what to do next. It is called after each wait, and after done.
func (c *core) next(now time.Duration) step {
	if c.phase == phaseClaim {
		c.beginClaim(now)
	}
	if c.phase == phaseDecide {
		c.decide(now)
	}
	c.sent = now
	switch c.phase {
	case phaseRenew:
		return step{call: callKeepAlive, timeout: callTimeout, lease: c.lease}
	case phaseRead:
		return step{call: callGet, timeout: callTimeout}
	case phaseLease:
		return step{call: callGrantLease, timeout: c.attemptEnds - now, ttl: c.ttl}
	case phaseWrite:
		return step{call: callCompareAndSwap, timeout: c.attemptEnds - now, expected: c.expected, value: c.attempt.value, lease: c.attempt.lease.ID}
	case phaseResolve:
		return step{call: callGet, timeout: c.attemptEnds - now}
	default:
		c.phase = c.then
		return step{wait: c.wait}
	}
}

// done takes the result of the call that next returned.
func (c *core) done(now time.Duration, r result) {
	switch c.phase {
	case phaseRenew:
		c.renewed(r)
	case phaseRead:
		c.read(now, r)
	case phaseLease:
		c.leased(r)
	case phaseWrite:
		c.wrote(r)
	case phaseResolve:
		c.resolved(r)
	}
}

// pause waits before a phase.
func (c *core) pause(wait time.Duration, then phase) {
	c.phase, c.wait, c.then = phaseWait, wait, then
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

func (c *core) nextAction(now time.Duration) action {
	switch {
	case c.restored():
		return actionReclaim
	case c.state.Held:
		return actionRenew
	case c.disabled:
		return actionWait
	case c.vacant:
		return actionClaim
	case c.leftoverSince > 0 && now >= c.leftoverSince+leftoverTTLs*c.ttl:
		return actionReplace
	default:
		return actionWait
	}
}

func (c *core) decide(now time.Duration) {
	switch c.nextAction(now) {
	case actionRenew:
		c.phase = phaseRenew
	case actionReclaim:
		c.phase = phaseRead
	case actionClaim, actionReplace:
		c.pause(c.claimDelay(), phaseClaim)
	default:
		c.pause(leftoverTTLs*c.ttl, phaseDecide)
	}
}

// claimDelay returns how long to wait before a claim.
func (c *core) claimDelay() time.Duration {
	return time.Duration(c.priority)*priorityDelay + c.random(claimJitter)
}

// beginClaim claims the key after the delay if that is still due.
func (c *core) beginClaim(now time.Duration) {
	c.phase = phaseDecide
	switch c.nextAction(now) {
	case actionClaim:
		c.begin(now, c.vacantAt)
	case actionReplace:
		c.phase = phaseRead
	}
}

// begin writes the key with a new lease if its version is the expected one.
func (c *core) begin(now time.Duration, expected kvstore.Version) {
	c.phase, c.expected, c.attemptEnds = phaseLease, expected, now+2*callTimeout
}

// enterEra records the store's newest era.
func (c *core) enterEra(era kvstore.Era) {
	if era <= c.era {
		return
	}
	c.era, c.leftoverSince = era, 0
	c.changed = true
}

// observe is that of Campaign.
func (c *core) observe(now time.Duration, value []byte, at kvstore.Position) {
	c.enterEra(at.Era)
	if at.Era < c.era || c.state.Held && at.Before(c.state.Term) {
		return
	}
	c.changed = true
	c.setVacant(value, at.Version)
	leftover := !c.vacant && c.eraOf(value) < at.Era
	switch {
	case !leftover:
		c.leftoverSince = 0
	case c.leftoverSince == 0:
		c.leftoverSince = max(now, 1)
	}
	if c.restored() && (c.vacant || leftover || bytes.Equal(value, c.value(at.Era))) {
		return // The leader of the earlier era claims the key again, or its claim was applied.
	}
	if c.state.Held && !bytes.Equal(value, c.written) {
		c.state.Held = false
	}
}

// setVacant records whether a value of the key, written at the given version, names no
// leader.
func (c *core) setVacant(value []byte, version kvstore.Version) {
	c.vacant, c.vacantAt = IsVacant(value), 0
	if value != nil {
		c.vacantAt = version
	}
}

// restored says whether the store was restored after this VM had won the leadership.
func (c *core) restored() bool { return c.state.Held && c.state.Term.Era < c.era }

// resign ends the leadership. It returns whether the record has to be overwritten, and its
// version.
func (c *core) resign(permanently bool) (version kvstore.Version, overwrite bool) {
	overwrite = c.state.Held && !c.restored()
	c.state.Held = false
	c.disabled = c.disabled || permanently
	return c.state.Term.Version, overwrite
}

// read takes the key's value before a claim, unless a leader of the current era holds it.
func (c *core) read(now time.Duration, r result) {
	c.phase = phaseDecide
	entry := r.entry
	at := kvstore.Position{Era: entry.Era, Version: entry.Version}
	switch {
	case kvstore.IsKind(r.err, kvstore.KindNotFound):
		c.enterEra(kvstore.EraOf(r.err))
		c.begin(now, 0)
	case r.err != nil:
		c.enterEra(kvstore.EraOf(r.err))
		c.pause(retryDelay, phaseDecide)
	case IsVacant(entry.Value) || c.eraOf(entry.Value) < entry.Era:
		c.enterEra(entry.Era)
		c.begin(now, entry.Version)
	case c.isOwn(entry):
		c.won(*c.unresolved, at)
	default:
		c.observe(now, entry.Value, at)
	}
}

// isOwn says whether an entry was written by the unresolved claim.
func (c *core) isOwn(entry kvstore.Entry) bool {
	return c.unresolved != nil && entry.Lease == c.unresolved.lease.ID && bytes.Equal(entry.Value, c.unresolved.value)
}

func (c *core) leased(r result) {
	if r.err != nil {
		c.enterEra(kvstore.EraOf(r.err))
		c.pause(retryDelay, phaseDecide)
		return
	}
	c.attempt = claim{r.lease, c.value(r.lease.Era), c.sent}
	c.phase = phaseWrite
}

func (c *core) wrote(r result) {
	if !kvstore.IsUnknown(r.err) {
		c.claimed(r.position, r.err)
		return
	}
	attempt := c.attempt
	c.unresolved, c.writeErr = &attempt, r.err
	c.phase = phaseResolve
}

func (c *core) resolved(r result) {
	if r.err == nil && c.isOwn(r.entry) {
		c.claimed(kvstore.Position{Era: r.entry.Era, Version: r.entry.Version}, nil)
		return
	}
	c.claimed(kvstore.Position{}, c.writeErr)
}

// errRestored reports a claim during which the store was restored.
var errRestored = errors.New("the store was restored from an earlier copy meanwhile")

// claimed takes the outcome of a claim.
func (c *core) claimed(term kvstore.Position, err error) {
	if err == nil && term.Era != c.attempt.lease.Era {
		err = &kvstore.Error{Op: "claim", Kind: kvstore.KindUnavailable, Era: term.Era, Err: errRestored}
	}
	if err != nil {
		c.lost(kvstore.IsKind(err, kvstore.KindConflict), kvstore.EraOf(err))
		c.pause(retryDelay, phaseDecide)
		return
	}
	c.phase = phaseDecide
	c.won(c.attempt, term)
}

// won records a claim that was applied. A campaign that was ended meanwhile leaves the
// lease to expire.
func (c *core) won(applied claim, term kvstore.Position) {
	c.enterEra(term.Era)
	c.unresolved = nil
	c.vacant = false
	c.leftoverSince = 0
	if c.disabled {
		return
	}
	c.lease, c.written, c.ttl = applied.lease.ID, applied.value, max(applied.lease.TTL, c.ttl)
	c.state = State{Held: true, Term: term, LastContact: applied.sent, LeaseEnd: applied.sent + applied.lease.TTL}
}

// lost records a failed claim. If the key is taken, observe reports when it is
// vacant again. A leader of an earlier era goes on claiming until it knows its successor.
func (c *core) lost(taken bool, era kvstore.Era) {
	c.enterEra(era)
	if c.restored() {
		return
	}
	c.state.Held = false
	c.vacant = c.vacant && !taken
}

// renewed takes the outcome of a renewal of the lease.
func (c *core) renewed(r result) {
	c.enterEra(max(r.era, kvstore.EraOf(r.err)))
	switch {
	case c.restored():
		// The response is about another lease, if any.
	case r.err == nil:
		c.state.LeaseEnd += max(c.sent-c.state.LastContact, 0)
		c.state.LastContact = max(c.state.LastContact, c.sent)
	case kvstore.IsKind(r.err, kvstore.KindNotFound):
		c.state.Held = false
		c.setVacant(nil, 0) // The key was deleted with its lease; another VM may hold it already.
	}
	c.pause(c.ttl/renewalsPerTTL, phaseDecide)
}
