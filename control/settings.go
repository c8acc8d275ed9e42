package control

import (
	"time"

	"guavacrank.example/backend"
)

// TickInterval is the longest time between two calls of Tick.
const TickInterval = 50 * time.Millisecond

const (
	// defaultClockMargin is the rate error of a clock in parts of a million.
	defaultClockMarginPPM = 1000
	// clockRounding covers the rounding of two clock readings to milliseconds.
	clockRounding = 2 * time.Millisecond
	// resendInterval is the time after which a changed set is sent again.
	resendInterval = 100 * time.Millisecond
	// helloInterval is the time between two hellos to a server before its term
	// is taken.
	helloInterval = 100 * time.Millisecond
	// helloValid is how long an answered hello shows that a server is in reach.
	helloMaxAge = time.Second
	// lostInterval is the time between two hellos to a server found lost.
	downHelloInterval = 500 * time.Millisecond
	// takeoverStagger separates the VMs that are next to hold a term.
	takeoverStagger = 150 * time.Millisecond
	// regainHold keeps a VM from taking back a term that it just lost.
	regainDelay = 10 * time.Second
	// heartbeatInterval and heartbeatTimeout bound the detection of a lost
	// grantor by the VM that is next, within the remaining life of its grants.
	heartbeatInterval = 150 * time.Millisecond
	heartbeatTimeout  = 480 * time.Millisecond
	// strangerGrace is how long a VM that began hears others before it suspects
	// those that it never heard.
	startupGrace = 2 * time.Second
	// targetsInterval is the time between two choices of the VMs that get
	// heartbeats.
	targetsInterval = 300 * time.Millisecond
	// drainLimit is the time after which a server that is leaving gets no new
	// work. The orders that say so follow at once.
	drainTimeout = 2500 * time.Millisecond
	// queryInterval is the time between two term queries.
	termQueryInterval = 300 * time.Millisecond
	// handOverInterval is the time between two requests to take a term over.
	handoverRequestInterval = 200 * time.Millisecond
	// handOverPatience is the time after which another VM is asked.
	handoverTimeout = time.Second
	// reachPatience is the same for a server that this VM does not reach.
	partitionHandoverTimeout = 250 * time.Millisecond
	// rebalanceHold is how long a VM must have been alive before a term is
	// handed over to it for a better spread.
	rebalanceMinAlive = 30 * time.Second
	// rebalanceInterval is the least time between two such terms of one VM.
	rebalanceInterval = 5 * time.Second
	// storeFresh is the age up to which an answer shows that the store answers.
	storeAnswerMaxAge = time.Second
	// readRepeat is the time after which an unanswered read is repeated, and
	// readTimeout the time after which it is given up.
	readRepeatInterval = 500 * time.Millisecond
	readTimeout        = 2 * time.Second
	// writeTimeout is the time after which the outcome of a write is unknown.
	writeTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the delay of a repeated write or read.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// backoffPerMember raises maxBackoff, so that a store that returns is not
	// met by more calls than it takes.
	retryDelayPerMember = time.Millisecond
	// refreshInterval is the least time between two reads that nothing asked for.
	refreshInterval = 5 * time.Second
	// refreshPerMember lengthens refreshInterval, so that the rate of reads at
	// the store does not grow with the fleet.
	refreshPerMember = 20 * time.Millisecond
	// tidyDelay is how long changes without urgency are collected for one write.
	cleanupDelay = 20 * time.Millisecond
	// formerTidyDelay is the same for the names of former grantors.
	formerCleanupDelay = 5 * time.Second
	// loadInterval is the time between two load queries of a planner.
	loadQueryInterval = 2500 * time.Millisecond
	// bootstrapDelay is how long a planner waits for the other VMs to be listed
	// before it spreads the first terms over them.
	bootstrapDelay = time.Second
	// planInterval is the longest time between two plans.
	planInterval = time.Second
)

const (
	maxEvents             = 1000 // Events between two calls of Ready.
	maxOrders             = 16   // Unanswered orders remembered for each server.
	maxLoadEntries        = 4096 // Units or keys in one load message.
	maxOverrides          = 2048 // Overrides of one page.
	maxEarlyStops         = 4096 // Notices of stops that wait for their page.
	maxUnitChanges        = 4096 // Changes of units remembered for Explain.
	defaultMovesPerMinute = 60   // Planned moves a minute by choice.
)

// timeToLive is the life of a grant on the server's clock.
func (m *Machine) grantTTL() time.Duration {
	if m.defaults.GrantTimeToLive > 0 {
		return m.defaults.GrantTimeToLive
	}
	return backend.GrantTimeToLive
}

// maxBackoff is the longest delay of a repeated write or read.
func (m *Machine) retryDelayLimit() time.Duration {
	return max(maxRetryDelay, time.Duration(len(m.members.list))*retryDelayPerMember)
}

// sendInterval is the time between two orders to a server. An order rests on
// the clock reading of the answer before it, so a server that was just renewed
// has one interval less than the life of a grant, and another one passes until
// the next order: the rest is what a takeover has without an outage.
func (m *Machine) sendInterval() time.Duration {
	if m.defaults.RenewInterval > 0 {
		return m.defaults.RenewInterval
	}
	return m.grantTTL() / 6
}

// grantLife is the longest time, on this VM's clock, from the receipt of the
// answer that an order rests on to the end of the grant at the server.
func (m *Machine) maxGrantLifetime() time.Duration {
	margin := m.defaults.ClockRateMargin
	if margin == 0 {
		margin = defaultClockMarginPPM
	}
	ttl := m.grantTTL()
	// Both clocks may be off, in opposite directions.
	return ttl + ttl*time.Duration(2*margin)/1_000_000 + clockRounding
}
