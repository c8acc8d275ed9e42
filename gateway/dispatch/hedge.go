package dispatch

import (
	"context"
	"net/http"
	"time"

	"guavacrank.example/gateway/balance"
	"guavacrank.example/traffic/verdict"
)

const (
	// hedgeDelayFactor and hedgeMinDelayShare set when an idempotent request
	// without a response is also sent to a second server: after this multiple of
	// the expected latency, but not before this share of the latency objective.
	hedgeDelayFactor   = 2.5
	hedgeMinDelayShare = 0.5
	// hedgeMinTimeShare is the share of the request's time that must remain.
	hedgeMinTimeShare = 0.35
	// hedgeBudgetReserve is the share of the retry budget that hedged requests
	// leave for retries after a failure.
	hedgeBudgetReserve = 0.4
)

// finishedAttempt is an attempt that has ended, with its server.
type finishedAttempt struct {
	server  *balance.Server
	outcome outcome
}

// deliver passes the attempt on, or releases its response if the request is over.
func (f finishedAttempt) deliver(results chan<- finishedAttempt, over <-chan struct{}) {
	select {
	case results <- f:
	case <-over:
		f.outcome.release()
	}
}

// sendHedged sends to a server and, if the response is slow, to a second one as
// well. The first usable response wins; the other attempt is canceled.
func (c *call) sendHedged(first balance.Choice) bool {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	results, over := make(chan finishedAttempt), make(chan struct{})
	defer close(over)
	start := func(server *balance.Server) {
		go func() { finishedAttempt{server, c.exchange(ctx, server)}.deliver(results, over) }()
	}
	start(first.Server)
	timer := time.NewTimer(c.hedgeDelay(first.ExpectedLatency))
	defer timer.Stop()
	running := 1
	for {
		select {
		case finished := <-results:
			running--
			c.record(finished.server, finished.outcome)
			if running == 0 || finished.outcome.usable() {
				return c.decide(finished.server, finished.outcome)
			}
			// The other attempt may still return a response.
			c.mayHaveRun = c.mayHaveRun || finished.outcome.Verdict != verdict.NotRun
			c.keep(finished.outcome.response)
		case <-timer.C:
			if second := c.secondServer(first.Server); second != nil {
				running++
				start(second)
			}
		}
	}
}

// usable reports whether the outcome is a response other than a server error.
func (o outcome) usable() bool {
	return o.response != nil && o.response.Status < http.StatusInternalServerError
}

func (c *call) hedgeDelay(expected time.Duration) time.Duration {
	minimum := time.Duration(hedgeMinDelayShare * float64(c.request.Route.LatencyObjective))
	return max(time.Duration(hedgeDelayFactor*float64(expected)), minimum)
}

// secondServer returns a server for a hedged request, or nil if no server is
// expected to respond in time or the retry budget does not allow one. The servers may have
// changed since the first attempt.
func (c *call) secondServer(first *balance.Server) *balance.Server {
	now := c.options.Clock()
	current, _ := c.options.Views.Load()
	service := current.Services[c.request.Service]
	if service == nil || c.timeLeft() < time.Duration(hedgeMinTimeShare*float64(c.request.Deadline-c.request.Arrived)) {
		return nil
	}
	excluded := func(server *balance.Server) bool { return server == first || c.wasTried(server) }
	choice := c.choose(service, excluded)
	if choice.Server == nil || choice.ExpectedLatency > c.timeLeft() || !c.mayStart(choice.ExpectedLatency) || !c.options.Budget.Spend(now, c.request.Service, hedgeBudgetReserve) {
		return nil
	}
	return choice.Server
}
