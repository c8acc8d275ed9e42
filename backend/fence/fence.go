// Package fence is a backend server's decision on grants and on runs, as a
// pure state machine without I/O, clock or goroutine. The stand-in server runs
// it, and so may model checks of the control plane.
//
// docs/design/ownership.md gives the rules.
package fence

import (
	"slices"

	"guavacrank.example/backend"
)

// Fence is the grant state of one boot of a backend server. A restarted server
// starts with a new one. It is not safe for concurrent use.
//
// Clocks are readings of the server's own clock in milliseconds.
type Fence struct {
	boot    string
	highest position
	units   map[uint32]uint64 // Granted epoch by unit.
	digest  uint64
	grant   *Grant
	running map[backend.UnitGrant]int // Runs in flight by unit and epoch.
}

// position orders the accepted orders.
type position struct {
	term        uint64
	pageVersion uint64
	sequence    uint64
}

// New returns the fence of a server that has just started. Boot must differ
// from that of every earlier start.
func New(boot string) *Fence {
	return &Fence{
		boot:    boot,
		units:   make(map[uint32]uint64),
		digest:  backend.Digest(nil),
		grant:   &Grant{},
		running: make(map[backend.UnitGrant]int),
	}
}

// Boot returns the boot identifier.
func (f *Fence) Boot() string { return f.boot }

// ExpiresAt returns the clock reading at which the grant runs out, zero before
// the first grant.
func (f *Fence) ExpiresAt() int64 { return f.grant.expires }

// Step decides on an order. Only an accepted order changes the state; in
// particular an order that is refused, expired or asks for Boot and Clock does
// not raise the highest term.
func (f *Fence) Step(order backend.GrantOrder, clock int64) backend.GrantAnswer {
	result := f.decide(order, clock)
	if result == backend.GrantAccepted {
		f.accept(order, clock)
	}
	return backend.GrantAnswer{
		Result:      result,
		Boot:        f.boot,
		Clock:       clock,
		HighestTerm: f.highest.term,
		Finishing:   f.finishing(),
	}
}

func (f *Fence) decide(order backend.GrantOrder, clock int64) backend.GrantResult {
	offered := position{order.Term, order.PageVersion, order.Sequence}
	switch {
	case order.Boot == "":
		return backend.GrantHello
	case order.Boot != f.boot:
		return backend.GrantWrongBoot
	case order.Term < f.highest.term:
		return backend.GrantStaleTerm
	case offered.before(f.highest):
		return backend.GrantStale
	case order.ExpiresAt <= clock:
		return backend.GrantExpired
	case !order.Full && order.Digest != f.digest:
		return backend.GrantNeedFull
	default:
		return backend.GrantAccepted
	}
}

func (f *Fence) accept(order backend.GrantOrder, clock int64) {
	f.highest = position{order.Term, order.PageVersion, order.Sequence}
	if !f.grant.Valid(clock) {
		f.grant = &Grant{} // What began under the earlier one has ended with it.
	}
	f.grant.expires = order.ExpiresAt
	if !order.Full {
		return
	}
	clear(f.units)
	for _, unit := range order.Units {
		f.units[unit.Unit] = unit.Epoch
	}
	f.digest = backend.Digest(order.Units)
}

// finishing returns the units that have runs in flight at an epoch that is not
// granted, sorted. A shard at a lower epoch is among them: a key that has left
// it since may be running.
func (f *Fence) finishing() []uint32 {
	var units []uint32
	for run := range f.running {
		if epoch, granted := f.units[run.Unit]; !granted || epoch != run.Epoch {
			units = append(units, run.Unit)
		}
	}
	slices.Sort(units)
	return slices.Compact(units)
}

// Serve reports whether the server holds a valid grant for unit at epoch.
func (f *Fence) Serve(unit uint32, epoch uint64, clock int64) bool {
	granted, ok := f.units[unit]
	return ok && granted == epoch && f.Valid(clock)
}

// Valid reports whether the newest grant has not run out.
func (f *Fence) Valid(clock int64) bool { return f.grant.Valid(clock) }

// Grant returns the newest grant. A run that begins now must be cut off once
// that has run out, also if the server has been granted again since.
func (f *Fence) Grant() *Grant { return f.grant }

// Grant is a grant from its first order on, as long as renewals come before it
// runs out. A run that began under it may go on while it is valid, also after
// its unit left the set.
type Grant struct{ expires int64 }

// Valid reports whether the grant has not run out.
func (g *Grant) Valid(clock int64) bool { return clock < g.expires }

// ExpiresAt returns the clock reading at which the grant runs out or ran out.
func (g *Grant) ExpiresAt() int64 { return g.expires }

// Begin starts a run if Serve allows it and reports whether it did. Each
// started run must be ended with End.
func (f *Fence) Begin(unit uint32, epoch uint64, clock int64) bool {
	if !f.Serve(unit, epoch, clock) {
		return false
	}
	f.running[backend.UnitGrant{Unit: unit, Epoch: epoch}]++
	return true
}

// End ends a run that Begin started for the unit at the epoch.
func (f *Fence) End(unit uint32, epoch uint64) {
	run := backend.UnitGrant{Unit: unit, Epoch: epoch}
	f.running[run]--
	if f.running[run] <= 0 {
		delete(f.running, run)
	}
}

// before reports whether p is lower than other: by term, then page version,
// then sequence.
func (p position) before(other position) bool {
	if p.term != other.term {
		return p.term < other.term
	}
	if p.pageVersion != other.pageVersion {
		return p.pageVersion < other.pageVersion
	}
	return p.sequence < other.sequence
}
