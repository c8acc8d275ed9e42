package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"guavacrank.example/gateway/balance"
	"guavacrank.example/gateway/view"
)

const (
	// hedgeFactor and hedgeShare say when an idempotent request without an
	// answer is sent to a second server as well: after so many times the
	// expected time, and after this part of the latency objective at least.
	hedgeFactor = 2.5
	hedgeShare  = 0.5
	// hedgeTimeShare is the part of the request's time that must be left.
	hedgeTimeShare = 0.35
	// hedgeSpare is the part of the budget that hedges leave for repeats after
	// a failure.
	hedgeSpare = 0.4
)

// ended is a send that has ended, with its server.
type ended struct {
	server *balance.Server
	sent   outcome
}

// sendHedged sends to a server and, if the answer takes long, to a second one
// as well. The first good answer counts; the other send is given up.
func (j *job) sendHedged(service *view.Service, first balance.Choice) bool {
	ctx, cancel := context.WithCancel(j.ctx)
	defer cancel()
	results := make(chan ended, 2)
	start := func(server *balance.Server) {
		go func() { results <- ended{server, j.exchange(ctx, server)} }()
	}
	start(first.Server)
	timer := time.NewTimer(j.hedgeAfter(first.ExpectedLatency))
	defer timer.Stop()
	running := 1
	for {
		select {
		case end := <-results:
			running--
			j.note(end.server, end.sent)
			if running == 0 || end.sent.good() {
				return j.decide(end.server, end.sent)
			}
			// The other send may still bring an answer.
			j.mayHaveRun = j.mayHaveRun || end.sent.reached
			j.result.Response = end.sent.answer
		case <-timer.C:
			if second := j.second(service, first.Server); second != nil {
				running++
				start(second)
			}
		}
	}
}

// good says whether an outcome ends the request: an answer that is not a
// server's fault.
func (o outcome) good() bool {
	return o.answer != nil && o.answer.Status < http.StatusInternalServerError
}

func (j *job) hedgeAfter(expected time.Duration) time.Duration {
	least := time.Duration(hedgeShare * float64(j.request.Route.LatencyObjective))
	return max(time.Duration(hedgeFactor*float64(expected)), least)
}

// second returns a server for a second send, or nil if none can answer in time
// or the budget has no room.
func (j *job) second(service *view.Service, first *balance.Server) *balance.Server {
	now := j.options.Clock()
	if j.left() < time.Duration(hedgeTimeShare*float64(j.request.Deadline-j.request.Arrived)) {
		return nil
	}
	other := func(server *balance.Server) bool { return server == first || j.wasTried(server) }
	choice := balance.Choose(now, service.Servers, j.request.Route.LatencyObjective, other, rand.Uint64())
	if choice.Server == nil || choice.ExpectedLatency > j.left() || !j.options.Budget.Spend(now, j.request.Service, hedgeSpare) {
		return nil
	}
	return choice.Server
}
