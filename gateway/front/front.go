// Package front serves callers over HTTP: it finds the route, reads the body,
// sends the request to a backend server by package dispatch and writes the
// response.
//
// Each request is logged when it ends; successes are sampled by request ID.
package front

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/answer"
	"guavacrank.example/gateway/dispatch"
	"guavacrank.example/gateway/logbook"
	"guavacrank.example/gateway/memory"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/pipeline"
	"guavacrank.example/gateway/port"
	"guavacrank.example/gateway/routing"
	"guavacrank.example/gateway/shutdown"
	"guavacrank.example/gateway/view"
	"guavacrank.example/traffic/framing"
	"guavacrank.example/traffic/metric"
	"guavacrank.example/traffic/verdict"
)

const (
	// DefaultTimeout is the timeout of a request if the caller sets none. A shorter
	// timeout of the route takes precedence.
	DefaultTimeout = 30 * time.Second
	// startWaitDivisor limits the wait for the first configuration of a VM that has
	// just started to 1/8 of the request's timeout.
	startWaitDivisor = 8
	// notReadyRetryAfter is the Retry-After of a VM without a configuration.
	notReadyRetryAfter = 200 * time.Millisecond
)

// errConnect rejects CONNECT: its caller would take a success for a tunnel.
const errConnect = "the method CONNECT is not offered"

// errVersion rejects HTTP/1.2 and later as net/http does HTTP/2 and later.
const errVersion = "505 HTTP Version Not Supported: unsupported protocol version"

// Options configure a Handler.
type Options struct {
	HeaderCodec port.HeaderCodec
	Views       *view.Publisher
	// Confirmation, if set, says when the configuration was last known to be the newest.
	Confirmation *view.Confirmation
	// ConfigurationTime is the time after its write in which a configuration has to be
	// in force. A configuration confirmed longer ago than that may have been replaced;
	// then it denies nothing. Zero means that it always may.
	ConfigurationTime time.Duration
	Dispatcher        *dispatch.Dispatcher
	// Gate tells about the stop of this VM. If nil, it never stops.
	Gate    *shutdown.Gate
	Log     *logbook.Logger
	Metrics *metric.Table
	Clock   func() time.Duration
	// Memory counts the request bodies held; nil sets no limit.
	Memory *memory.Account
	// OnKeyRequest, if set, is called with the service and key of each request that
	// has a key.
	OnKeyRequest func(service string, key uint16)
}

// Handler serves callers' requests. It implements http.Handler.
type Handler struct {
	options           Options
	disableKeepAlives atomic.Bool
	inFlight          atomic.Int64
}

// New returns a handler.
func New(options Options) *Handler {
	if options.Gate == nil {
		options.Gate = shutdown.NewGate()
	}
	return &Handler{options: options}
}

// DisableKeepAlives closes each connection after its next response that has no request
// read ahead behind it.
func (h *Handler) DisableKeepAlives() { h.disableKeepAlives.Store(true) }

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	arrived := h.options.Clock()
	framing.RestoreHeader(r)
	if h.disableKeepAlives.Load() && pipeline.EndAfter(r.Context()) {
		w.Header().Set("Connection", "close")
	}
	ctx, end := h.options.Gate.Context(r.Context())
	defer end()
	e := &exchange{Handler: h, ctx: ctx, w: w, r: r, arrived: arrived}
	if h.options.Gate.Closed() {
		e.head, _ = h.options.HeaderCodec.ReadRequest(r.Header) // Only the ID is used, for the log.
		e.refuse(verdict.CodeStopping, shutdown.RetryAfter)
		return
	}
	e.serve()
}

// MayReadAhead reports whether a request may be served before those before it on its
// connection have been answered: it may be executed more than once, so that it does no harm
// where the caller has to send it again. The configuration may have changed when it is
// served: serve checks it again.
func (h *Handler) MayReadAhead(r *http.Request) bool {
	current, _ := h.options.Views.Load()
	if current == nil || h.disableKeepAlives.Load() || h.options.Gate.Closed() {
		return false
	}
	route := current.Routes.Find(r.Host, rawPath(originForm(r.RequestURI)))
	return route != nil && route.Kind.Idempotent()
}

// exchange is one request and its response.
type exchange struct {
	*Handler
	ctx     context.Context // Ends with the request's connection or this process.
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Duration
	head    port.RequestHead
	route   *model.Route
	service string
	version uint64
	origin  view.Origin
	// confirmedAt is when the configuration was last confirmed as of the load of the view.
	// Zero means never.
	confirmedAt time.Duration
}

// rejection is the response to an invalid request, which is not sent to a server.
type rejection struct {
	status int
	cause  string
}

func (e *exchange) serve() {
	head, err := e.options.HeaderCodec.ReadRequest(e.r.Header)
	e.head = head
	if err != nil {
		e.reject(rejection{http.StatusBadRequest, err.Error()})
		return
	}
	if e.r.ProtoMajor == 1 && e.r.ProtoMinor > 1 {
		e.w.Header().Set("Connection", "close")
		e.reject(rejection{http.StatusHTTPVersionNotSupported, errVersion})
		return
	}
	if e.r.Method == http.MethodConnect {
		e.reject(rejection{http.StatusNotImplemented, errConnect})
		return
	}
	current := e.waitForView()
	if current == nil {
		e.refuse(verdict.CodeStore, notReadyRetryAfter)
		return
	}
	e.version, e.origin = current.Configuration.Version, current.Origin
	target := originForm(e.r.RequestURI)
	e.route = current.Routes.Find(e.r.Host, rawPath(target))
	if e.route == nil {
		e.deny(rejection{http.StatusNotFound, "no route for host " + e.r.Host + " and path " + rawPath(target)})
		return
	}
	if !e.route.Kind.Idempotent() && !pipeline.AwaitTurn(e.ctx) {
		panic(http.ErrAbortHandler) // Nobody reads the response, and nothing was sent.
	}
	if len(e.route.Targets) == 0 {
		e.refuse(verdict.CodeNoServer, notReadyRetryAfter)
		return
	}
	e.service = routing.PickTarget(e.route, rand.Uint64())
	if e.head.ID == "" {
		e.reject(rejection{http.StatusBadRequest, "the request has no id"})
		return
	}
	if current.Services[e.service].Partitioned && !e.head.HasKey {
		e.deny(rejection{http.StatusBadRequest, "the request names no key"})
		return
	}
	e.forward(current)
}

// waitForView returns the newest view, or nil if there is still none after a short
// wait.
func (e *exchange) waitForView() *view.View {
	current, changed := e.loadView()
	if current != nil {
		return current
	}
	timer := time.NewTimer(e.callerTimeout() / startWaitDivisor)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-e.ctx.Done():
	}
	current, _ = e.loadView()
	return current
}

// callerTimeout returns how long the caller waits for the response.
func (e *exchange) callerTimeout() time.Duration {
	if e.head.TimeLeft > 0 {
		return e.head.TimeLeft
	}
	return DefaultTimeout
}

// deadline returns the request's deadline.
func (e *exchange) deadline() time.Duration {
	timeout := e.callerTimeout()
	if e.route.Timeout > 0 {
		timeout = min(timeout, e.route.Timeout)
	}
	return e.arrived + timeout
}

// forward sends the request to a backend server and writes the response.
func (e *exchange) forward(current *view.View) {
	if e.head.HasKey && e.options.OnKeyRequest != nil {
		e.options.OnKeyRequest(e.service, e.head.Key)
	}
	deadline := e.deadline()
	if !e.options.Dispatcher.MayStart(e.route, e.service, deadline) {
		e.refuse(verdict.CodeStopping, shutdown.RetryAfter)
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, deadline-e.options.Clock())
	defer cancel()
	body, err := e.readBody(ctx, current.Configuration.Limits.BodyBytes)
	defer body.Release()
	if err != nil {
		e.refuseBody(err)
		return
	}
	trailer, err := e.trailer()
	if err != nil {
		e.refuseBody(err)
		return
	}
	result := e.options.Dispatcher.Do(ctx, &dispatch.Request{
		Head:     e.head,
		Method:   e.r.Method,
		Target:   originForm(e.r.RequestURI),
		Host:     e.r.Host,
		Header:   forwardedHeaders(e.r.Header),
		Body:     body,
		Trailer:  trailer,
		Route:    e.route,
		Service:  e.service,
		Arrived:  e.arrived,
		Deadline: deadline,
	})
	if result.Response != nil {
		defer result.Response.Body.Release()
	}
	e.finish(result, body.Len())
}

// finish writes the response, the metrics and the log lines of a result.
func (e *exchange) finish(result dispatch.Result, bodyBytes int64) {
	responseBytes := int64(0)
	switch {
	case result.Code == verdict.CodeCallerGone:
		// Nobody reads the response.
	case result.Verdict == verdict.Answered:
		responseBytes = result.Response.Body.Len()
		e.writeResponse(result.Response)
	default:
		e.writeError(result.Verdict, result.Code, result.RetryAfter)
	}
	e.record(result, bodyBytes, responseBytes)
	e.log(result)
	if result.Code == verdict.CodeCallerGone {
		panic(http.ErrAbortHandler) // net/http closes the connection without a response.
	}
}

// refuse responds to a request that this VM does not accept at the moment, and
// logs it.
func (e *exchange) refuse(code verdict.Code, retryAfter time.Duration) {
	e.writeError(verdict.NotRun, code, retryAfter)
	e.log(dispatch.Result{Verdict: verdict.NotRun, Code: code, RetryAfter: retryAfter})
}

// writeError writes this VM's response to a request without a server's response.
func (e *exchange) writeError(v verdict.Verdict, code verdict.Code, retryAfter time.Duration) {
	header := e.w.Header()
	header.Set(verdict.Header, v.String())
	header.Set(verdict.HeaderCode, string(code))
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if code == verdict.CodeStopping && pipeline.EndAfter(e.ctx) {
		header.Set("Connection", "close") // The caller's next request needs another VM.
	}
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	e.w.WriteHeader(answer.Status(v, code))
	e.write(strings.NewReader(v.String() + ": " + string(code) + "\n"))
}

// reject responds to an invalid request, and logs it.
func (e *exchange) reject(rejected rejection) {
	e.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	e.w.WriteHeader(rejected.status)
	e.write(strings.NewReader(rejected.cause + "\n"))
	e.options.Log.Event(event.RequestRejected, rejected.cause, append(e.configurationFields(),
		zap.String("request", e.head.ID), zap.Int("status", rejected.status))...)
}
