package keys

import (
	"time"

	"guavacrank.example/gateway/model"
)

// serverRow is one life of a server.
type serverRow struct {
	model.Server
	listed        bool
	firstListedAt time.Duration // When it was listed first.
	// arrivedBy bounds when the last grant arrived: the end of the last call
	// that was sent.
	latestArrival time.Duration
	// unansweredBy is the same for calls that got no answer.
	latestUnanswered time.Duration
	inFlight         map[uint64]time.Duration // Calls under way, by when they began.
	// refusedAt is when the first of the calls in a row began that no process at
	// the address took, refusedLast the last one; zero if none did. It is no proof
	// of the server's end: one without room for a connection may look the same.
	refusedSince  time.Duration
	lastRefusedAt time.Duration
	grantSent     bool
	acceptedGrant bool          // It took a grant since leading began.
	failingSince  time.Duration // Zero while calls succeed.
	unresponsive  bool          // Nothing came back of the last call, no refusal either.
	latency       float64       // Seconds, smoothed; zero if unknown.
	utilization   float64       // Part of the slots that requests take.
	// weight and heat are those of the newest loadTable.
	weight, rate float64
	// unsure: a connection could not be made, so that another process may run
	// at the address by now. Nothing is granted until the server has named
	// itself and its record was still the same some time later.
	unconfirmed bool
	nextProbeAt time.Duration // When to ask next who it is.
	probing     bool
	// probedAt is when it was asked last.
	probedAt     time.Duration
	identifiedAt time.Duration       // When it named itself; zero before.
	granted      map[uint16]grantRow // By first key.
}

// grantRow is the state of one granted range.
type grantRow struct {
	fence    uint64
	to       uint16
	due      time.Duration // When to send the next one.
	inFlight bool
	// answered says that the server took a grant with this fence.
	answered bool
	handover string
}

// endKey identifies the end of one holder on one range.
type holderKey struct {
	from        uint16
	to          uint16
	incarnation model.Life
	fence       uint64
}

// ending is what is known of a prior holder's end.
type releaseResult struct {
	done     bool
	handover string
}
