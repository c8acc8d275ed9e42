package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"guavacrank.example/gateway/balance"
	"guavacrank.example/gateway/budget"
	"guavacrank.example/gateway/port"
	"guavacrank.example/gateway/view"
	"guavacrank.example/traffic/verdict"
)

const (
	// freeSends bounds the sends that never reached a server, for one request.
	freeSends = 4
	// mostArrivals bounds the sends of one request that reach servers, refused
	// ones included, where the route allows fewer.
	mostArrivals = 3
	// patienceShare is the part of the latency objective that a request waits
	// for an owner of its key.
	patienceShare = 0.35
	// movedPause is how long a request waits after a server said that it does
	// not hold the key, unless ownership changes before.
	movedPause = 40 * time.Millisecond
	// comeBackShare is the part of the time left after which a caller whose
	// request was not run may come back.
	comeBackShare = 0.3
	// earlyMargin is subtracted from the time left that a server is told, for
	// the way of its answer.
	earlyMargin = 2 * time.Millisecond
)

// Options configure a Dispatcher.
type Options struct {
	Dialect port.Dialect
	Budget  *budget.Budget
	Views   *view.Publisher
	// Clock is elapsed time of this VM.
	Clock func() time.Duration
}

// Dispatcher sends requests. It is safe for concurrent use.
type Dispatcher struct{ options Options }

// New returns a dispatcher.
func New(options Options) *Dispatcher { return &Dispatcher{options: options} }

// job is one request on its way.
type job struct {
	*Dispatcher
	ctx     context.Context
	request *Request
	result  Result
	// arrivals are the sends that may have reached a server.
	arrivals int
	free     int
	tried    []*balance.Server
	// mayHaveRun says that an earlier send has no proof that it did not run.
	mayHaveRun bool
}

// Do sends a request until its end. The context ends when the caller leaves;
// its deadline is the end of the request's time.
func (d *Dispatcher) Do(ctx context.Context, request *Request) Result {
	d.options.Budget.CountRequest(request.Arrived, request.Service)
	j := &job{Dispatcher: d, ctx: ctx, request: request}
	for j.next() {
	}
	switch {
	case j.result.Response != nil:
		j.end(verdict.Answered, verdict.CodeAnswered)
	case j.mayHaveRun && j.result.Verdict == verdict.NotRun:
		j.result.Verdict = verdict.MayHaveRun
	}
	if j.result.Verdict == verdict.NotRun {
		j.result.RetryAfter = time.Duration(comeBackShare * float64(j.left()))
	}
	return j.result
}

// left returns how much of the request's time is left.
func (j *job) left() time.Duration { return max(j.request.Deadline-j.options.Clock(), 0) }

// end sets the request's end and returns false.
func (j *job) end(v verdict.Verdict, code verdict.Code) bool {
	j.result.Verdict, j.result.Code = v, code
	return false
}

// next makes one step and says whether another one is needed.
func (j *job) next() bool {
	if over(j.ctx) {
		return j.end(verdict.NotRun, endCode(j.ctx))
	}
	current, changed := j.options.Views.Load()
	service := current.Services[j.request.Service]
	if service == nil {
		return j.end(verdict.NotRun, verdict.CodeNoServer)
	}
	if service.DividedByKey {
		return j.nextByKey(service, changed)
	}
	return j.nextAny(service)
}

// over says whether a request's context has ended or its deadline has passed: a
// connection may notice the deadline before the context does.
func over(ctx context.Context) bool {
	deadline, limited := ctx.Deadline()
	return ctx.Err() != nil || limited && !time.Now().Before(deadline)
}

// endCode tells why a request's context ended.
func endCode(ctx context.Context) verdict.Code {
	if errors.Is(ctx.Err(), context.Canceled) {
		return verdict.CodeCallerGone
	}
	return verdict.CodeTimeout
}

// nextAny sends to the best server of a service that is not divided by key.
func (j *job) nextAny(service *view.Service) bool {
	now := j.options.Clock()
	choice := balance.Choose(now, service.Servers, j.request.Route.LatencyObjective, j.wasTried, rand.Uint64())
	switch {
	case choice.Server == nil && len(j.tried) > 0:
		return j.end(verdict.NotRun, verdict.CodeBusy)
	case choice.Server == nil:
		return j.end(verdict.NotRun, verdict.CodeNoServer)
	case choice.ExpectedLatency > j.left():
		return j.end(verdict.NotRun, verdict.CodeTooLate)
	}
	if j.arrivals == 0 && j.request.Route.Idempotent && j.request.Route.MaxAttempts > 1 {
		return j.sendHedged(service, choice)
	}
	return j.send(choice.Server)
}

func (j *job) wasTried(server *balance.Server) bool {
	for _, tried := range j.tried {
		if tried == server {
			return true
		}
	}
	return false
}

// nextByKey sends to the owner of the request's key, or waits for one.
func (j *job) nextByKey(service *view.Service, changed <-chan struct{}) bool {
	if service.Page != nil {
		if owner := service.Page.Find(j.request.Head.Key); owner != nil && len(owner.Prior) == 0 {
			if server := service.Owners[owner.Owner.Life]; server != nil && !server.Replaced() {
				return j.sendToOwner(server, changed)
			}
		}
	}
	return j.await(changed, time.Hour, verdict.CodeNoOwner)
}

// sendToOwner sends to the owner of the request's key, unless it can't answer
// in time or seems to have lost its keys.
func (j *job) sendToOwner(server *balance.Server, changed <-chan struct{}) bool {
	now := j.options.Clock()
	if server.LostKeys(now) {
		return j.await(changed, movedPause, verdict.CodeNoOwner)
	}
	if balance.ExpectedLatency(now, server) > j.left() {
		return j.end(verdict.NotRun, verdict.CodeTooLate)
	}
	if rand.Float64() < balance.ShedFraction(now, server, j.request.Route.LatencyObjective) {
		return j.end(verdict.NotRun, verdict.CodeQueueFull)
	}
	return j.send(server)
}

// await waits until the view changes, the pause has passed or the request's
// patience ends.
func (j *job) await(changed <-chan struct{}, pause time.Duration, code verdict.Code) bool {
	patience := time.Duration(patienceShare * float64(j.request.Route.LatencyObjective))
	left := min(j.request.Arrived+patience-j.options.Clock(), j.left())
	if left <= 0 {
		return j.end(verdict.NotRun, code)
	}
	timer := time.NewTimer(min(left, pause))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-j.ctx.Done():
	}
	return true
}

// send sends the request to a server, if another send is allowed, and decides
// what follows.
func (j *job) send(server *balance.Server) bool {
	if j.arrivals > 0 && !j.mayRepeat(server) {
		return j.end(verdict.NotRun, verdict.CodeBusy)
	}
	sent := j.exchange(j.ctx, server)
	j.note(server, sent)
	return j.decide(server, sent)
}

// note records a send that has ended.
func (j *job) note(server *balance.Server, sent outcome) {
	j.result.Attempts = append(j.result.Attempts, sent.Attempt)
	j.noteTried(server)
	if sent.reached {
		j.arrivals++
	}
}

// decide decides what follows the end of a send.
func (j *job) decide(server *balance.Server, sent outcome) bool {
	switch {
	case sent.answer != nil:
		return j.answered(sent)
	case sent.Verdict == verdict.NotRun:
		return j.notRun(server, sent)
	default:
		return j.unknown(sent)
	}
}

// mayRepeat takes one repeat from the shared budget, if the route allows it.
func (j *job) mayRepeat(server *balance.Server) bool {
	servers := len(j.tried)
	if !j.wasTried(server) {
		servers++
	}
	if servers > j.request.Route.MaxAttempts+j.free || j.arrivals >= max(j.request.Route.MaxAttempts, mostArrivals) {
		return false
	}
	return j.options.Budget.Spend(j.options.Clock(), j.request.Service, 0)
}

func (j *job) noteTried(server *balance.Server) {
	if !j.wasTried(server) {
		j.tried = append(j.tried, server)
	}
}

// answered takes a whole answer. A fault of the server may be asked again
// elsewhere if the route allows repeats.
func (j *job) answered(sent outcome) bool {
	j.result.Response = sent.answer
	j.end(verdict.Answered, verdict.CodeAnswered)
	if sent.answer.Status < http.StatusInternalServerError || !j.request.Route.Idempotent {
		return false
	}
	return j.another()
}

// another says whether a further send to another server makes sense: the route
// allows it and there is time.
func (j *job) another() bool {
	current, _ := j.options.Views.Load()
	service := current.Services[j.request.Service]
	if service == nil || service.DividedByKey || len(j.tried) >= j.request.Route.MaxAttempts+j.free {
		return false
	}
	return !over(j.ctx) && len(j.tried) < len(service.Servers)
}

// notRun takes a send that is proved not to have run.
func (j *job) notRun(server *balance.Server, sent outcome) bool {
	j.end(verdict.NotRun, sent.Code)
	if !sent.reached {
		j.free++
		if j.free > freeSends {
			return false
		}
	}
	current, changed := j.options.Views.Load()
	service := current.Services[j.request.Service]
	if service != nil && service.DividedByKey {
		if sent.Code == verdict.CodeShed {
			return false
		}
		return j.await(changed, movedPause, sent.Code)
	}
	return true
}

// unknown takes a send that may have run.
func (j *job) unknown(sent outcome) bool {
	j.mayHaveRun = true
	j.end(verdict.MayHaveRun, sent.Code)
	if !j.request.Route.Idempotent || over(j.ctx) {
		return false
	}
	return true
}
