package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"guavacrank.example/gateway/availability"
	"guavacrank.example/gateway/balance"
	"guavacrank.example/gateway/port"
	"guavacrank.example/traffic/verdict"
)

const (
	// returnSpreadShare is the part of a backoff over which the return of the refused
	// callers is spread. minReturnSpread is the shortest time for it.
	returnSpreadShare = 0.25
	minReturnSpread   = 100 * time.Millisecond
	// maxAvoided is the number of avoided servers that a result names.
	maxAvoided = 4
)

// AvoidedServer is a server that did not get a request because of what it says of itself.
type AvoidedServer struct {
	Server string
	Reason availability.Reason
}

// passedOver tells about the servers that a choice passed over.
type passedOver struct {
	// leaving and backoff say that servers were passed over for that reason, by any
	// choice for this request.
	leaving, backoff bool
	// lastResort says that a leaving server may still get the request.
	lastResort bool
	// tried says that a server was passed over only because it was tried.
	tried bool
	// backoffEnd is the earliest end of a backoff, or zero.
	backoffEnd time.Duration
}

// reset forgets the servers that earlier choices passed over.
func (p *passedOver) reset() {
	p.lastResort, p.tried, p.backoffEnd = false, false, 0
}

// addBackoff records a server that is backing off.
func (p *passedOver) addBackoff(server *balance.Server) {
	p.backoff = true
	end := server.Availability.BackoffEnd()
	if p.backoffEnd == 0 || end < p.backoffEnd {
		p.backoffEnd = end
	}
}

// onlyBackoff reports whether only the end of a backoff can make a server available.
func (p *passedOver) onlyBackoff() bool { return p.backoffEnd > 0 && !p.tried }

// retryAfter returns when a refused caller may retry: after the earliest end of a
// backoff, each caller at another time.
func (p *passedOver) retryAfter(now time.Duration) time.Duration {
	left := max(p.backoffEnd-now, 0)
	spread := max(time.Duration(returnSpreadShare*float64(left)), minReturnSpread)
	return left + rand.N(spread)
}

// noteAvoided records in the result that a server was avoided.
func (c *call) noteAvoided(server *balance.Server, reason availability.Reason) {
	noted := AvoidedServer{server.ID, reason}
	if len(c.result.Avoided) < maxAvoided && !slices.Contains(c.result.Avoided, noted) {
		c.result.Avoided = append(c.result.Avoided, noted)
	}
}

// passLeaving records a server that is leaving.
func (c *call) passLeaving(server *balance.Server) {
	c.passed.leaving = true
	c.noteAvoided(server, availability.ReasonLeaving)
}

// passBackoff records a server that is backing off.
func (c *call) passBackoff(server *balance.Server) {
	c.passed.addBackoff(server)
	c.noteAvoided(server, availability.ReasonBackoff)
}

// observe records what the headers of a response say of the server's availability.
func (c *call) observe(server *balance.Server, head port.ResponseHead) {
	notice := availability.Notice{
		Leaving:        head.Leaving,
		Backoff:        head.RetryAfter,
		InvalidBackoff: head.InvalidRetryAfter,
	}
	if server.Availability == nil || notice == (availability.Notice{}) || isFromOther(server, head) {
		return
	}
	server.Availability.Observe(c.options.Clock(), notice)
}

// isFromOther reports whether a response may come from another server.
func isFromOther(server *balance.Server, head port.ResponseHead) bool {
	if head.Server == "" {
		return head.Misdirected
	}
	return head.Server != server.ID
}

// passOver reports whether the request may not be sent to the server at present, or only
// as a last resort, because of what the server says, and records why.
func (c *call) passOver(now time.Duration, server *balance.Server) bool {
	switch server.Availability.Decide(now, c.request.Arrived) {
	case availability.LastResort:
		c.passLeaving(server)
		c.passed.lastResort = true
		return true
	case availability.BackingOff:
		c.passBackoff(server)
		return true
	case availability.Left:
		c.passLeaving(server)
		return true
	default:
		return false
	}
}

// mayTakeAsLastResort reports whether a server that was passed over may get the request.
func (c *call) mayTakeAsLastResort(now time.Duration, server *balance.Server) bool {
	return server.Availability.Decide(now, c.request.Arrived) == availability.LastResort
}

// excludes reports whether a choice excludes a server that is available, and records it.
func (c *call) excludes(server *balance.Server, excluded func(*balance.Server) bool) bool {
	if !excluded(server) {
		return false
	}
	c.passed.tried = true
	return true
}

// refuseForBackoff ends a request that only a server which is backing off could take.
func (c *call) refuseForBackoff(server *balance.Server) bool {
	c.passed.reset()
	c.passBackoff(server)
	return c.finish(verdict.NotRun, verdict.CodeServerBackoff)
}

// countKeptAway counts the request if it was kept away from a server.
func (c *call) countKeptAway() {
	if c.options.Availability == nil {
		return
	}
	if c.passed.leaving {
		c.options.Availability.CountKeptAway(availability.ReasonLeaving)
	}
	if c.passed.backoff {
		c.options.Availability.CountKeptAway(availability.ReasonBackoff)
	}
}
