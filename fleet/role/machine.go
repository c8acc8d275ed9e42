package role

import "time"

// Action is what the machine wants done next at the store.
type Action uint8

// Actions. Each is answered by the method named after it.
const (
	Wait      Action = iota // Nothing before the returned time.
	Claim                   // Get a lease and write the role's key with it.
	KeepAlive               // Extend the lease.
)

// Machine decides when a VM holds a role. It is pure: time comes in, actions
// come out.
//
// Invariant: the role is held only within the life of a lease, counted from
// when the last successful call was sent, less the clock-rate margin.
type Machine struct {
	timeToLive time.Duration
	phase      time.Duration // Delay before a claim, different for each VM.
	held       bool
	heldUntil  time.Duration
	nextAt     time.Duration
}

// Shares of the lease's life.
const (
	renewShare = 3 // The lease is renewed after a third of its life.
	claimShare = 2 // A claim is repeated after half of its life.
	// marginPermille is the greatest rate error of a clock.
	marginPermille = 10
	maxPhaseShare  = 10
)

// NewMachine returns a machine for leases of the given life. The seed spreads
// the claims of several VMs over time.
func NewMachine(timeToLive time.Duration, seed uint64) *Machine {
	spread := timeToLive / maxPhaseShare
	return &Machine{timeToLive: timeToLive, phase: time.Duration(seed % uint64(spread+1))}
}

// Next returns what to do at elapsed time now, and when to ask again.
func (m *Machine) Next(now time.Duration) (Action, time.Duration) {
	if m.held && now >= m.heldUntil {
		m.held = false
	}
	switch {
	case now < m.nextAt:
		if m.held {
			return Wait, min(m.nextAt, m.heldUntil)
		}
		return Wait, m.nextAt
	case m.held:
		return KeepAlive, now
	default:
		return Claim, now
	}
}

// Claimed takes the outcome of a claim that was sent at the given time.
func (m *Machine) Claimed(sentAt, now time.Duration, won bool) {
	if !won {
		m.nextAt = now + m.timeToLive/claimShare + m.phase
		return
	}
	m.extend(sentAt, now)
}

// KeptAlive takes the outcome of a renewal that was sent at the given time.
// Lost says that the store no longer knows the lease.
func (m *Machine) KeptAlive(sentAt, now time.Duration, succeeded, lost bool) {
	switch {
	case succeeded:
		m.extend(sentAt, now)
	case lost:
		m.held = false
		m.nextAt = now + m.phase
	default:
		m.nextAt = now + m.timeToLive/(renewShare*renewShare)
	}
}

// Expiry returns the elapsed time at which the role is lost without a renewal.
func (m *Machine) Expiry() time.Duration { return m.heldUntil }

// Release gives the role up.
func (m *Machine) Release() { m.held = false }

// Held reports whether the role is held at elapsed time now.
func (m *Machine) Held(now time.Duration) bool { return m.held && now < m.heldUntil }

func (m *Machine) extend(sentAt, now time.Duration) {
	m.heldUntil = sentAt + m.timeToLive - m.timeToLive*marginPermille/1000
	m.held = now < m.heldUntil
	m.nextAt = sentAt + m.timeToLive/renewShare
}
