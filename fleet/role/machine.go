package role

import "time"

// Action is the next call that the machine needs the store to receive.
type Action uint8

// Actions. The result of Claim is passed to Claimed, that of KeepAlive to
// KeptAlive.
const (
	Wait      Action = iota // Do nothing until the returned time.
	Claim                   // Get a lease and write the role's key with it.
	KeepAlive               // Renew the lease.
)

// Machine decides when a VM holds a role. It is a pure state machine without
// I/O or a clock.
//
// Invariant: the role is held only during the TTL of a lease, counted from the
// time at which the last successful call was sent and shortened by the clock
// margin.
type Machine struct {
	leaseTTL  time.Duration
	jitter    time.Duration // Delay before a claim, different on each VM.
	held      bool
	heldUntil time.Duration
	nextAt    time.Duration
}

// Divisors of the lease TTL.
const (
	renewDivisor = 3 // The lease is renewed after a third of its TTL.
	claimDivisor = 2 // A failed claim is retried after half of the TTL.
	// clockMarginPermille is the maximum error of a clock's rate, in 1/1000.
	clockMarginPermille = 10
	jitterDivisor       = 10 // The jitter is at most a tenth of the TTL.
)

// NewMachine returns a machine for leases of the given TTL. The seed determines
// the jitter that keeps several VMs from claiming at the same time.
func NewMachine(leaseTTL time.Duration, seed uint64) *Machine {
	maxJitter := leaseTTL / jitterDivisor
	return &Machine{leaseTTL: leaseTTL, jitter: time.Duration(seed % uint64(maxJitter+1))}
}

// Next returns the action to take at elapsed time now, and the time of the next
// call.
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

// Claimed processes the result of a claim that was sent at the given time.
func (m *Machine) Claimed(sentAt, now time.Duration, won bool) {
	if !won {
		m.nextAt = now + m.leaseTTL/claimDivisor + m.jitter
		return
	}
	m.extend(sentAt, now)
}

// KeptAlive processes the result of a renewal that was sent at the given time.
// Lost means that the store no longer knows the lease.
func (m *Machine) KeptAlive(sentAt, now time.Duration, succeeded, lost bool) {
	switch {
	case succeeded:
		m.extend(sentAt, now)
	case lost:
		m.held = false
		m.nextAt = now + m.jitter
	default:
		m.nextAt = now + m.leaseTTL/(renewDivisor*renewDivisor)
	}
}

// Expiry returns the elapsed time at which the role is lost unless the lease is
// renewed.
func (m *Machine) Expiry() time.Duration { return m.heldUntil }

// Release gives up the role.
func (m *Machine) Release() { m.held = false }

// Held reports whether the role is held at elapsed time now.
func (m *Machine) Held(now time.Duration) bool { return m.held && now < m.heldUntil }

func (m *Machine) extend(sentAt, now time.Duration) {
	m.heldUntil = sentAt + m.leaseTTL - m.leaseTTL*clockMarginPermille/1000
	m.held = now < m.heldUntil
	m.nextAt = sentAt + m.leaseTTL/renewDivisor
}
