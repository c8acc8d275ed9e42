package dispatch

import (
	"math/rand/v2"
	"time"

	"guavacrank.example/gateway/balance"
	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/view"
	"guavacrank.example/traffic/verdict"
)

const (
	// ownerWaitShare is the share of the latency objective that a request waits
	// for its key to have an owner if it is not known when that will be.
	ownerWaitShare = 0.35
	// notOwnerDelay is the delay before the next attempt after a server reported
	// that it does not hold the key. A change of the view ends it early.
	notOwnerDelay = 40 * time.Millisecond
	// shedRetryReserve is the share of the retry budget that requests which a full
	// server refused leave to others.
	shedRetryReserve = 0.3
	// minRoomDelay is the minimum delay before a request is sent again to a server
	// that was full. maxRoomDelayShare limits the delay to a share of the latency
	// objective.
	minRoomDelay      = 30 * time.Millisecond
	maxRoomDelayShare = 0.5
)

// sendByKey sends to the owner of the request's key, or waits until the key has
// an owner.
func (c *call) sendByKey(service *view.Service, changed <-chan struct{}) bool {
	now := c.options.Clock()
	r, server, state := c.findOwner(now, service)
	switch state {
	case ownerMoving:
		return c.waitForHandover(service, r, server, changed)
	case ownerLeft:
		c.passLeaving(server)
	case ownerBackingOff:
		return c.refuseForBackoff(server)
	case ownerLostKeys:
		return c.waitForView(changed, notOwnerDelay, verdict.CodeNoOwner)
	case ownerAway, ownerTooSlow, ownerTooLong:
		return c.finish(verdict.NotRun, state.code())
	case ownerReady:
		return c.sendToOwner(now, server, r.Size() == 1)
	}
	return c.waitForView(changed, time.Hour, verdict.CodeNoOwner)
}

// sendToOwner sends to the owner of the request's key, unless the owner is overloaded. alone
// says that the key is a range of its own: the leader has found that it is hot.
func (c *call) sendToOwner(now time.Duration, server *balance.Server, alone bool) bool {
	if rand.Float64() < balance.ShedFraction(now, server, c.request.Route.LatencyObjective) {
		return c.finish(verdict.NotRun, verdict.CodeQueueFull)
	}
	if alone && server.Throttled(now, rand.Float64()) {
		return c.finish(verdict.NotRun, verdict.CodeQueueFull)
	}
	if !c.admit(server) {
		return c.finish(verdict.NotRun, verdict.CodeServerLimit)
	}
	return c.send(server)
}

// waitForHandover waits while the keys change owner, if the request will still have
// time when that must have ended and its next owner has room for it then. Otherwise
// it waits as if nothing was known.
func (c *call) waitForHandover(service *view.Service, r *keys.Range, next *balance.Server, changed <-chan struct{}) bool {
	since, known := service.HandoverSince[r.Owner.Fence]
	end := since + service.MaxHandover
	lasts := end - c.options.Clock()
	enough := end+c.request.Route.LatencyObjective <= c.request.Deadline
	if !known || lasts <= 0 || !enough || !c.mayWait() || !next.BeginWait(service.MaxWaiting) {
		return c.waitForView(changed, time.Hour, verdict.CodeNoOwner)
	}
	defer next.EndWait()
	c.wait(changed, lasts)
	return true
}

// waitForRoom waits until a server that was full may have room again. It ends the
// request if no other attempt is allowed or the server can't respond in time.
func (c *call) waitForRoom(server *balance.Server, changed <-chan struct{}) bool {
	longest := time.Duration(maxRoomDelayShare * float64(c.request.Route.LatencyObjective))
	now := c.options.Clock()
	expected := balance.ExpectedLatency(now, server)
	delay := max(min(expected, longest), minRoomDelay)
	delay = delay/2 + rand.N(delay) // Several VMs wait for the same server.
	if server.Availability.BackoffEnd() > now+delay {
		return c.refuseForBackoff(server)
	}
	if !c.mayWait() || delay+expected > c.timeLeft() || !c.allowRetry(server, shedRetryReserve) {
		return false
	}
	c.retryPaid = true
	c.wait(changed, delay)
	return true
}

// waitForView waits until the view changes, the delay has passed or the
// request's time to wait for an owner is used up. If it is used up already, the
// request ends with the given code.
func (c *call) waitForView(changed <-chan struct{}, delay time.Duration, code verdict.Code) bool {
	ownerWait := time.Duration(ownerWaitShare * float64(c.request.Route.LatencyObjective))
	left := min(c.request.Arrived+ownerWait-c.options.Clock(), c.timeLeft())
	if left <= 0 {
		return c.finish(verdict.NotRun, code)
	}
	c.wait(changed, min(left, delay))
	return true
}

// wait waits until the view changes, the time has passed, the request ends or
// EndWaits is called.
func (c *call) wait(changed <-chan struct{}, limit time.Duration) {
	ended := c.waitsEnded
	if !c.mayWait() {
		ended = nil // Only short waits begin now.
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ended:
	case <-c.ctx.Done():
	}
}
