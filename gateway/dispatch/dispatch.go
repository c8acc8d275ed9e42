package dispatch

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"guavacrank.example/gateway/admission"
	"guavacrank.example/gateway/availability"
	"guavacrank.example/gateway/balance"
	"guavacrank.example/gateway/budget"
	"guavacrank.example/gateway/memory"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/port"
	"guavacrank.example/gateway/shutdown"
	"guavacrank.example/gateway/view"
	"guavacrank.example/traffic/upstream"
	"guavacrank.example/traffic/verdict"
)

const (
	// maxUnreachedAttempts limits how many attempts of one request may fail
	// before they reach a server.
	maxUnreachedAttempts = 4
	// maxReachedAttempts limits how many attempts of one request may reach a
	// server, including refused ones, unless the route allows more attempts.
	maxReachedAttempts = 3
	// retryAfterShare is the share of the remaining time after which the caller
	// of a request that was not run may retry.
	retryAfterShare = 0.3
	// responseMargin is subtracted from the remaining time that a server is told,
	// to leave time for the response to travel back.
	responseMargin = 2 * time.Millisecond
)

// Options configure a Dispatcher.
type Options struct {
	HeaderCodec port.HeaderCodec
	Budget      *budget.Budget
	Views       *view.Publisher
	// Clock returns the elapsed time of this VM.
	Clock func() time.Duration
	// Memory counts the responses held; nil sets no limit.
	Memory *memory.Account
	// Availability counts the requests kept away from servers; nil counts nothing.
	Availability *availability.Table
	// Gate tells about the stop of this VM. If nil, it never stops.
	Gate *shutdown.Gate
}

// Dispatcher sends requests to backend servers. It is safe for concurrent use.
type Dispatcher struct {
	options     Options
	durations   durations
	competition competition
	// waitsEnded is closed when requests may no longer wait.
	waitsEnded chan struct{}
	endWaits   sync.Once
}

// New returns a dispatcher.
func New(options Options) *Dispatcher {
	if options.Gate == nil {
		options.Gate = shutdown.NewGate()
	}
	return &Dispatcher{
		options:    options,
		waitsEnded: make(chan struct{}),
	}
}

// EndWaits ends the long waits of requests for a server, now and from now on: this VM
// stops, and its callers are better served by another one.
func (d *Dispatcher) EndWaits() { d.endWaits.Do(func() { close(d.waitsEnded) }) }

// MayStart reports whether a request on a route, with the given deadline, may still be
// sent to a server of the service. While this VM stops, it may only if its end is to be
// expected before that of the process.
func (d *Dispatcher) MayStart(route *model.Route, service string, deadline time.Duration) bool {
	return d.mayStart(route, service, deadline, 0)
}

// mayStart is MayStart with the expected latency of the chosen server.
func (d *Dispatcher) mayStart(route *model.Route, service string, deadline, latency time.Duration) bool {
	expected := d.durations.upperBound(routeKey{route.Name, service})
	if expected > 0 {
		expected = max(expected, latency)
	}
	return d.options.Gate.MayStart(d.options.Clock(), deadline, expected)
}

// mayWait reports whether requests may still wait long for a server.
func (d *Dispatcher) mayWait() bool {
	select {
	case <-d.waitsEnded:
		return false
	default:
		return true
	}
}

// call is the state of one request while it is dispatched.
type call struct {
	*Dispatcher
	ctx     context.Context
	request *Request
	result  Result
	// reachedAttempts counts the attempts that may have reached a server.
	reachedAttempts   int
	unreachedAttempts int
	tried             []*balance.Server
	// mayHaveRun reports that an earlier attempt is not proved not to have run.
	mayHaveRun bool
	// retryPaid reports that the next attempt was charged to the retry budget.
	retryPaid bool
	// connections are those on which the request was sent.
	connections upstream.Used
	// limitedBy is a server whose limit did not admit the request.
	limitedBy *balance.Server
	// passed tells about the servers that the last choice passed over.
	passed passedOver
	// waited is the time that seems to have passed for the caller before it sent the request.
	waited time.Duration
	// admitted says that the request was found to have room.
	admitted bool
	// room is what was known of the room for the request, the zero value if nothing, and work
	// the time that a server was expected to take for it.
	room admission.Room
	work time.Duration
}

// Do dispatches a request and returns its final result, whose response the caller must
// release. ctx must be canceled when the caller disconnects, and its deadline must be the
// request's deadline.
func (d *Dispatcher) Do(ctx context.Context, request *Request) Result {
	d.options.Budget.CountRequest(request.Arrived, request.Service)
	c := &call{Dispatcher: d, ctx: ctx, request: request}
	c.waited = d.competition.passed(request.Route.Name, request.Head.TimeLeft)
	for c.step() {
	}
	switch {
	case c.result.Response != nil:
		c.finish(verdict.Answered, verdict.CodeAnswered)
	case c.mayHaveRun && c.result.Verdict == verdict.NotRun:
		c.result.Verdict = verdict.MayHaveRun
	}
	if c.result.Verdict == verdict.NotRun {
		c.result.RetryAfter = c.retryAfter()
	}
	c.countKeptAway()
	return c.result
}

// retryAfter returns when the caller of a request that was not run may retry. If a
// server's limit or backoff was the reason, that is when this VM may send to it again.
func (c *call) retryAfter() time.Duration {
	longest := time.Duration(retryAfterShare * float64(c.timeLeft()))
	switch c.result.Code {
	case verdict.CodeServerLimit:
		return min(c.limitedBy.RetryAfter(c.options.Clock(), c.vms()), longest)
	case verdict.CodeServerBackoff:
		return c.passed.retryAfter(c.options.Clock())
	case verdict.CodeQueueFull, verdict.CodeShed, verdict.CodeBusy:
		return min(c.returnAfter(longest), longest)
	case verdict.CodeStopping:
		return shutdown.RetryAfter
	default:
		return longest
	}
}

// vms returns the number of active VMs, or zero if unknown.
func (c *call) vms() int {
	current, _ := c.options.Views.Load()
	return current.VMs
}

// admit reports whether the server's limits admit the request now.
func (c *call) admit(server *balance.Server) bool {
	if server.Admit(c.options.Clock(), c.vms()) {
		return true
	}
	c.limitedBy = server
	return false
}

// timeLeft returns the time until the request's deadline.
func (c *call) timeLeft() time.Duration { return max(c.request.Deadline-c.options.Clock(), 0) }

// finish sets the verdict and code of the result and returns false, which ends
// the loop in Do.
func (c *call) finish(v verdict.Verdict, code verdict.Code) bool {
	c.result.Verdict, c.result.Code = v, code
	return false
}

// step makes at most one send, hedged or not, or waits once, and reports
// whether another step is needed.
func (c *call) step() bool {
	if expired(c.ctx) {
		return c.finish(verdict.NotRun, contextCode(c.ctx))
	}
	current, changed := c.options.Views.Load()
	service := current.Services[c.request.Service]
	if service == nil {
		return c.finish(verdict.NotRun, verdict.CodeNoServer)
	}
	if !c.mayStart(0) {
		return c.finish(verdict.NotRun, verdict.CodeStopping)
	}
	if service.Partitioned {
		return c.sendByKey(service, changed)
	}
	return c.sendToBest(service)
}

// mayStart reports whether a server with the given expected latency may get the request.
func (c *call) mayStart(latency time.Duration) bool {
	return c.Dispatcher.mayStart(c.request.Route, c.request.Service, c.request.Deadline, latency)
}

// expired reports whether a request's context has ended or its deadline has
// passed. A connection may detect the deadline before the context does.
func expired(ctx context.Context) bool {
	deadline, limited := ctx.Deadline()
	return ctx.Err() != nil || limited && !time.Now().Before(deadline)
}

// contextCode returns the code for the reason why a request's context ended.
func contextCode(ctx context.Context) verdict.Code {
	if errors.Is(context.Cause(ctx), shutdown.ErrInterrupted) {
		return verdict.CodeStopping
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return verdict.CodeCallerGone
	}
	return verdict.CodeTimeout
}

// send sends the request to a server, if another attempt is allowed, and
// reports whether another step is needed.
func (c *call) send(server *balance.Server) bool {
	if c.reachedAttempts > 0 && !c.retryPaid && !c.allowRetry(server, 0) {
		return c.finish(verdict.NotRun, verdict.CodeBusy)
	}
	c.retryPaid = false
	out := c.exchange(c.ctx, server)
	c.record(server, out)
	return c.decide(server, out)
}

// record records an attempt that has ended.
func (c *call) record(server *balance.Server, out outcome) {
	c.result.Attempts = append(c.result.Attempts, out.Attempt)
	c.addTried(server)
	if out.reached {
		c.reachedAttempts++
	}
}

// decide reports whether another step is needed after an attempt has ended.
func (c *call) decide(server *balance.Server, out outcome) bool {
	switch {
	case out.response != nil:
		return c.afterResponse(out)
	case out.Verdict == verdict.NotRun:
		return c.afterNotRun(server, out)
	default:
		return c.afterUnknown(out)
	}
}

// allowRetry reports whether the route and the retry budget allow another
// attempt, and charges it to the budget, of which reserve must remain.
func (c *call) allowRetry(server *balance.Server, reserve float64) bool {
	servers := len(c.tried)
	if !c.wasTried(server) {
		servers++
	}
	if servers > c.request.Route.MaxAttempts+c.unreachedAttempts || c.reachedAttempts >= max(c.request.Route.MaxAttempts, maxReachedAttempts) {
		return false
	}
	return c.options.Budget.Spend(c.options.Clock(), c.request.Service, reserve)
}

func (c *call) addTried(server *balance.Server) {
	if !c.wasTried(server) {
		c.tried = append(c.tried, server)
	}
}

// afterResponse handles a complete response. After a server error, another
// server may be tried if the route is idempotent.
func (c *call) afterResponse(out outcome) bool {
	c.keep(out.response)
	c.finish(verdict.Answered, verdict.CodeAnswered)
	if out.response.Status < http.StatusInternalServerError || !c.request.Route.Kind.Idempotent() {
		return false
	}
	return c.canTryAnother()
}

// canTryAnother reports whether another server can be tried: the route allows
// another attempt, time is left and a server remains that was not tried.
func (c *call) canTryAnother() bool {
	current, _ := c.options.Views.Load()
	service := current.Services[c.request.Service]
	if service == nil || service.Partitioned || len(c.tried) >= c.request.Route.MaxAttempts+c.unreachedAttempts {
		return false
	}
	return !expired(c.ctx) && c.untriedLeft(service)
}

// afterNotRun handles an attempt that is proved not to have run.
func (c *call) afterNotRun(server *balance.Server, out outcome) bool {
	c.finish(verdict.NotRun, out.Code)
	if !out.reached {
		c.unreachedAttempts++
		if c.unreachedAttempts > maxUnreachedAttempts {
			return false
		}
	}
	current, changed := c.options.Views.Load()
	service := current.Services[c.request.Service]
	if service != nil && service.Partitioned {
		if out.Code == verdict.CodeShed {
			return c.waitForRoom(server, changed)
		}
		return c.waitForView(changed, notOwnerDelay, out.Code)
	}
	return true
}

// afterUnknown handles an attempt that may have run.
func (c *call) afterUnknown(out outcome) bool {
	c.mayHaveRun = true
	c.finish(verdict.MayHaveRun, out.Code)
	if !c.request.Route.Kind.Idempotent() || expired(c.ctx) {
		return false
	}
	return true
}
