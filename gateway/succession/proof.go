package succession

import (
	"time"

	"guavacrank.example/gateway/keys"
)

// Proof is how the response to a Yield call proves that an earlier leader sends no more
// grants, as named in the log.
type Proof string

// Proofs.
const (
	ProofNone    Proof = ""
	ProofStopped Proof = "it confirmed that it has stopped"
	ProofEnded   Proof = "the process has ended: a later one of its VM responds at its address"
)

// ProofOf returns what the response of a process proves of the one that was asked. Another VM
// may have the address now, while the asked process still runs.
func ProofOf(asked keys.Leader, vm, incarnation string) Proof {
	switch {
	case incarnation == asked.Incarnation:
		return ProofStopped
	case vm == asked.VM:
		return ProofEnded
	default:
		return ProofNone
	}
}

// LastArrival returns the time by which all calls of the earlier leader have arrived.
func (p Proof) LastArrival(now, uptime time.Duration) time.Duration {
	last := now + keys.MaxCallDelay
	if p == ProofStopped {
		return last
	}
	return last - min(max(uptime, 0), keys.MaxCallDelay) // It ended before the later process started.
}
