package control

import (
	"time"

	"guavacrank.example/backend"
)

// TickInterval is the longest time between two calls of Tick.
const TickInterval = 50 * time.Millisecond

const (
	// defaultClockMarginPPM is the maximum rate error of a clock in parts per
	// million.
	defaultClockMarginPPM = 1000
	// clockRounding covers the rounding of two clock readings to milliseconds.
	clockRounding = 2 * time.Millisecond
	// resendInterval is the time after which an unacknowledged change is sent
	// again.
	resendInterval = 100 * time.Millisecond
	// helloInterval is the time between two hellos to a server whose term this
	// VM is about to take.
	helloInterval = 100 * time.Millisecond
	// helloMaxAge is how long an answered hello counts as proof that a server
	// is reachable.
	helloMaxAge = time.Second
	// downHelloInterval is the time between two hellos to a server that is
	// marked down.
	downHelloInterval = 500 * time.Millisecond
	// takeoverStagger is the delay between successive candidates for a
	// takeover.
	takeoverStagger = 150 * time.Millisecond
	// regainDelay prevents a VM from taking back a term that it has just lost.
	regainDelay = 10 * time.Second
	// heartbeatInterval and heartbeatTimeout bound the time in which the next
	// VM in line detects the loss of a grantor, so that it fits into the
	// remaining lifetime of the grants.
	heartbeatInterval = 150 * time.Millisecond
	heartbeatTimeout  = 480 * time.Millisecond
	// startupGrace is how long a VM that has just started waits to hear from
	// the others before it suspects those that it has never seen alive.
	startupGrace = 2 * time.Second
	// targetsInterval is the time between two selections of the VMs that get
	// heartbeats.
	targetsInterval = 300 * time.Millisecond
	// drainTimeout is the time after which a draining server gets no new work.
	// The orders that withdraw its units follow immediately.
	drainTimeout = 2500 * time.Millisecond
	// termQueryInterval is the time between two term queries.
	termQueryInterval = 300 * time.Millisecond
	// handoverRequestInterval is the time between two requests for the same
	// handover.
	handoverRequestInterval = 200 * time.Millisecond
	// handoverTimeout is the time after which a different VM is asked.
	handoverTimeout = time.Second
	// partitionHandoverTimeout is the same for a server that this VM cannot
	// reach.
	partitionHandoverTimeout = 250 * time.Millisecond
	// rebalanceMinAlive is how long a VM must have been alive before it is
	// given a term to balance the load.
	rebalanceMinAlive = 30 * time.Second
	// rebalanceInterval is the minimum time between two such handovers of one
	// VM.
	rebalanceInterval = 5 * time.Second
	// storeAnswerMaxAge is the age up to which the last answer shows that the
	// store is responsive.
	storeAnswerMaxAge = time.Second
	// readRepeatInterval is the time after which an unanswered read is
	// repeated; readTimeout is the time after which it is abandoned.
	readRepeatInterval = 500 * time.Millisecond
	readTimeout        = 2 * time.Second
	// writeTimeout is the time after which the outcome of a write is unknown.
	writeTimeout = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay before a write or read is
	// retried.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// retryDelayPerMember raises maxRetryDelay with the size of the fleet, so
	// that a store that recovers is not overloaded by retries.
	retryDelayPerMember = time.Millisecond
	// refreshInterval is the minimum time between two periodic reads of the
	// page.
	refreshInterval = 5 * time.Second
	// refreshPerMember raises refreshInterval with the size of the fleet, so
	// that the rate of reads at the store does not grow with it.
	refreshPerMember = 20 * time.Millisecond
	// cleanupDelay is how long non-urgent changes are collected into one write.
	cleanupDelay = 20 * time.Millisecond
	// formerCleanupDelay is the same for the removal of former grantors.
	formerCleanupDelay = 5 * time.Second
	// loadQueryInterval is the time between two load queries of a planner.
	loadQueryInterval = 2500 * time.Millisecond
	// bootstrapDelay is how long a planner waits for the other VMs to join the
	// membership before it distributes the first terms among them.
	bootstrapDelay = time.Second
	// planInterval is the maximum time between two plans.
	planInterval = time.Second
)

const (
	maxEvents             = 1000 // Events kept between two calls of Ready.
	maxOrders             = 16   // Unanswered orders kept for each server.
	maxLoadEntries        = 4096 // Units or keys in one load report.
	maxOverrides          = 2048 // Overrides in one page.
	maxEarlyStops         = 4096 // UnitStopped messages that wait for their page.
	maxUnitChanges        = 4096 // Unit changes kept for Explain.
	defaultMovesPerMinute = 60   // Rebalancing moves per minute.
)

// grantTTL is the lifetime of a grant on the server's clock.
func (m *Machine) grantTTL() time.Duration {
	if m.defaults.GrantTimeToLive > 0 {
		return m.defaults.GrantTimeToLive
	}
	return backend.GrantTimeToLive
}

// retryDelayLimit is the maximum delay before a write or read is retried.
func (m *Machine) retryDelayLimit() time.Duration {
	return max(maxRetryDelay, time.Duration(len(m.members.list))*retryDelayPerMember)
}

// sendInterval is the time between two orders to a server. The expiry in an
// order is computed from the clock reading in the previous answer, so a server
// that was just renewed has one interval less than the TTL left, and another
// interval passes until the next order. What remains of the TTL after these two
// is the time available for a takeover without an outage.
func (m *Machine) sendInterval() time.Duration {
	if m.defaults.RenewInterval > 0 {
		return m.defaults.RenewInterval
	}
	return m.grantTTL() / 6
}

// maxGrantLifetime is the longest time, on this VM's clock, from the receipt of
// the answer that an order is based on to the expiry of the grant at the
// server.
func (m *Machine) maxGrantLifetime() time.Duration {
	margin := m.defaults.ClockRateMargin
	if margin == 0 {
		margin = defaultClockMarginPPM
	}
	ttl := m.grantTTL()
	// Both clocks may be off, in opposite directions.
	return ttl + ttl*time.Duration(2*margin)/1_000_000 + clockRounding
}
