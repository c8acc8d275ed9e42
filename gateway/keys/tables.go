package keys

import (
	"time"

	"guavacrank.example/gateway/model"
)

// serverRow is the state of one incarnation of a server.
type serverRow struct {
	model.Server
	listed bool
	// refusedSince is when the first and lastRefusedAt when the last of the calls
	// in a row ended that no process at the address accepted, or another server; zero
	// without one.
	// This does not prove that the server has ended: a full backlog of connections
	// can look the same.
	refusedSince  time.Duration
	lastRefusedAt time.Duration
	grantSent     bool
	acceptedGrant bool          // Accepted a grant of this leader.
	failingSince  time.Duration // Zero while calls succeed.
	unresponsive  bool          // The last call got no response, not even a refusal.
	releaseFailed bool          // The same for the last release.
	service       serviceTime
	responses     decayedCount
	// maxRate is the limit on requests per second that the server names, in force until
	// limitedUntil.
	maxRate      float64
	limitedUntil time.Duration
	// The following are those of the latest loadTable: utilization is the part of
	// the slots that requests take, serviceTime the estimate in seconds. rate,
	// target and capacity are decayed request counts; capacity takes all slots.
	utilization, serviceTime float64
	rate, target, capacity   float64
	// unconfirmed is set after a failure to reach the server: it may have ended. It gets
	// no grants until a probe returns its ID.
	unconfirmed bool
	nextProbeAt time.Duration // When to probe its ID next.
	probing     bool
	granted     map[uint16]grantRow // By the first key of the range.
}

// holderKey identifies one prior holder of one range.
type holderKey struct {
	from        uint16
	to          uint16
	incarnation model.Incarnation
	fence       uint64
}

// releaseResult is a prior holder's response to a release.
type releaseResult struct {
	done     bool
	handover string
	// ended reports that another server answered: the holder's process has ended.
	ended bool
}
