// Package front takes callers' requests: it finds the route, reads the body,
// lets package dispatch bring the request to a backend server and writes the
// answer.
//
// Each request ends with one log line; successes are sampled by request id.
package front

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/dispatch"
	"guavacrank.example/gateway/logbook"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/port"
	"guavacrank.example/gateway/routing"
	"guavacrank.example/gateway/view"
	"guavacrank.example/traffic/metric"
	"guavacrank.example/traffic/verdict"
)

const (
	// standardTime is the time of a request whose caller and route name none.
	standardTime = 30 * time.Second
	// bodyLimit bounds a body if the configuration names no limit.
	bodyLimit = 64 << 20
	// bodiesShare is the part of the process's memory that bodies may take.
	bodiesShare = 4
	// sampleOf: one success in so many is logged.
	sampleOf = 32
	// startWaitShare: a request waits so small a part of its time for the first
	// configuration of a VM that has just started.
	startWaitShare = 8
	// notReadyRetry is when a caller may come back to a VM without a
	// configuration.
	notReadyRetry = 200 * time.Millisecond
	// stoppingRetry is the same for a VM that stops: others serve already.
	stoppingRetry = 20 * time.Millisecond
)

// Options configure a Handler.
type Options struct {
	Dialect    port.Dialect
	Views      *view.Publisher
	Dispatcher *dispatch.Dispatcher
	Log        *logbook.Logger
	Metrics    *metric.Table
	Clock      func() time.Duration
	// MemoryBytes is the memory limit of the process.
	MemoryBytes int64
	// OnKeyRequest is told each key that a request of a service divided by key names.
	OnKeyRequest func(service string, key uint16)
}

// Handler serves callers. It implements http.Handler.
type Handler struct {
	options  Options
	closing  atomic.Bool
	refusing atomic.Bool
	inFlight atomic.Int64
	bodies   atomic.Int64
}

// New returns a handler.
func New(options Options) *Handler { return &Handler{options: options} }

// DisableKeepAlives makes every answer the last one on its connection.
func (h *Handler) DisableKeepAlives() { h.closing.Store(true) }

// RefuseNew refuses every request that comes from now on.
func (h *Handler) RefuseNew() { h.refusing.Store(true) }

// InFlight returns the number of requests under way.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	arrived := h.options.Clock()
	if h.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	s := &served{Handler: h, w: w, r: r, arrived: arrived}
	if h.refusing.Load() {
		s.head, _ = h.options.Dialect.ReadRequest(r.Header) // Only its id is wanted, for the log.
		s.refuse(verdict.CodeStopping, stoppingRetry)
		return
	}
	s.serve()
}

// served is one request.
type served struct {
	*Handler
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Duration
	head    port.RequestHead
	route   *model.Route
	service string
	version uint64
}

// rejection is an answer of this VM's own to a request that it does not send on.
type rejection struct {
	status int
	cause  string
}

func (s *served) serve() {
	head, err := s.options.Dialect.ReadRequest(s.r.Header)
	s.head = head
	if err != nil {
		s.reject(rejection{http.StatusBadRequest, err.Error()})
		return
	}
	current := s.awaitView()
	if current == nil {
		s.refuse(verdict.CodeStore, notReadyRetry)
		return
	}
	s.version = current.Configuration.Version
	s.route = current.Routes.Find(s.r.Host, rawPath(s.r.RequestURI))
	if s.route == nil {
		s.reject(rejection{http.StatusNotFound, "no route for host " + s.r.Host + " and path " + rawPath(s.r.RequestURI)})
		return
	}
	s.service = routing.PickTarget(s.route, rand.Uint64())
	if fault := s.check(current); fault != nil {
		s.reject(*fault)
		return
	}
	s.run(current)
}

// awaitView returns the newest view, or nil if there is none after a short wait.
func (s *served) awaitView() *view.View {
	current, published := s.options.Views.Load()
	if current != nil {
		return current
	}
	allowed := standardTime
	if s.head.TimeLeft > 0 {
		allowed = s.head.TimeLeft
	}
	timer := time.NewTimer(allowed / startWaitShare)
	defer timer.Stop()
	select {
	case <-published:
	case <-timer.C:
	case <-s.r.Context().Done():
	}
	current, _ = s.options.Views.Load()
	return current
}

// check looks at what a request needs before it is sent on.
func (s *served) check(current *view.View) *rejection {
	if s.head.ID == "" {
		return &rejection{http.StatusBadRequest, "the request has no id"}
	}
	if current.Services[s.service].DividedByKey && !s.head.HasKey {
		return &rejection{http.StatusBadRequest, "the request names no key"}
	}
	return nil
}

// rawPath returns the path of a request target as the caller sent it.
func rawPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// ends returns when the request's time is over.
func (s *served) ends() time.Duration {
	allowed := standardTime
	if s.head.TimeLeft > 0 {
		allowed = s.head.TimeLeft
	}
	if s.route.Timeout > 0 {
		allowed = min(allowed, s.route.Timeout)
	}
	return s.arrived + allowed
}

func (s *served) run(current *view.View) {
	if s.head.HasKey && s.options.OnKeyRequest != nil {
		s.options.OnKeyRequest(s.service, s.head.Key)
	}
	ends := s.ends()
	ctx, cancel := context.WithTimeout(s.r.Context(), ends-s.options.Clock())
	defer cancel()
	body, fault := s.readBody(current.Configuration.Limits.BodyBytes)
	defer s.bodies.Add(-int64(len(body)))
	if fault != nil {
		s.reject(*fault)
		return
	}
	result := s.options.Dispatcher.Do(ctx, &dispatch.Request{
		Head:     s.head,
		Method:   s.r.Method,
		Target:   s.r.RequestURI,
		Host:     s.r.Host,
		Header:   passedOn(s.r.Header),
		Body:     body,
		Route:    s.route,
		Service:  s.service,
		Arrived:  s.arrived,
		Deadline: ends,
	})
	s.finish(result, int64(len(body)))
}

// readBody reads the whole body within the limit.
func (s *served) readBody(limit int64) ([]byte, *rejection) {
	if s.r.Body == nil || s.r.Body == http.NoBody {
		return nil, nil
	}
	if limit <= 0 {
		limit = bodyLimit
	}
	limit = min(limit, s.options.MemoryBytes/bodiesShare-s.bodies.Load())
	body, err := io.ReadAll(io.LimitReader(s.r.Body, limit+1))
	s.bodies.Add(int64(len(body)))
	switch {
	case err != nil:
		return body, &rejection{http.StatusBadRequest, "reading the body: " + err.Error()}
	case int64(len(body)) > limit:
		return body, &rejection{http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is longer than %d bytes", limit)}
	}
	return body, nil
}

// finish writes a result and its log lines.
func (s *served) finish(result dispatch.Result, bodyBytes int64) {
	answerBytes := int64(0)
	switch {
	case result.Code == verdict.CodeCallerGone:
		// Nobody reads an answer.
	case result.Verdict == verdict.Answered:
		answerBytes = int64(len(result.Response.Body))
		s.writeAnswer(result.Response)
	case result.Verdict == verdict.NotRun:
		s.writeOwn(http.StatusServiceUnavailable, result.Verdict, result.Code, result.RetryAfter)
	case result.Code == verdict.CodeTimeout:
		s.writeOwn(http.StatusGatewayTimeout, result.Verdict, result.Code, 0)
	default:
		s.writeOwn(http.StatusBadGateway, result.Verdict, result.Code, 0)
	}
	s.record(result, bodyBytes, answerBytes)
	s.log(result)
	if result.Code == verdict.CodeCallerGone {
		panic(http.ErrAbortHandler) // net/http closes the connection without an answer.
	}
}

// writeAnswer passes a backend server's answer on unchanged.
func (s *served) writeAnswer(answer *dispatch.Response) {
	header := s.w.Header()
	for name, values := range passedOn(answer.Header) {
		header[name] = values
	}
	// A nil value keeps net/http from adding a header that the server did not send.
	for _, name := range []string{"Content-Type", "Date"} {
		if _, sent := answer.Header[name]; !sent {
			header[name] = nil
		}
	}
	if s.r.Method == http.MethodHead {
		if length := answer.Header.Get("Content-Length"); length != "" {
			header.Set("Content-Length", length)
		}
	} else if answer.Status != http.StatusNoContent && answer.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	s.w.WriteHeader(answer.Status)
	s.write(answer.Body)
}

// write sends bytes to the caller. A caller that is gone is noticed by net/http,
// which ends the connection.
func (s *served) write(body []byte) {
	if _, err := s.w.Write(body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		s.options.Log.Event(event.CallerLeft, err.Error(), zap.String("request", s.head.ID))
	}
}

// refuse ends a request that was not run.
func (s *served) refuse(code verdict.Code, retryAfter time.Duration) {
	s.writeOwn(http.StatusServiceUnavailable, verdict.NotRun, code, retryAfter)
	s.log(dispatch.Result{Verdict: verdict.NotRun, Code: code, RetryAfter: retryAfter})
}

// writeOwn writes an answer of this VM's own.
func (s *served) writeOwn(status int, v verdict.Verdict, code verdict.Code, retryAfter time.Duration) {
	header := s.w.Header()
	header.Set(verdict.Header, v.String())
	header.Set(verdict.HeaderCode, string(code))
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	s.w.WriteHeader(status)
	s.write([]byte(v.String() + ": " + string(code) + "\n"))
}

// reject answers a request that can't be served as it is.
func (s *served) reject(fault rejection) {
	s.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.w.WriteHeader(fault.status)
	s.write([]byte(fault.cause + "\n"))
	s.options.Log.Event(event.RequestRejected, fault.cause,
		zap.String("request", s.head.ID), zap.Int("status", fault.status), zap.Uint64("configuration", s.version))
}

func (s *served) record(result dispatch.Result, bodyBytes, answerBytes int64) {
	o := metric.Observation{Total: s.options.Clock() - s.arrived, Attempts: len(result.Attempts), RequestBytes: bodyBytes, AnswerBytes: answerBytes}
	for _, send := range result.Attempts {
		o.Backend += send.Duration
	}
	if len(result.Attempts) > 0 {
		o.Queue = result.Attempts[0].Start - s.arrived
	}
	s.options.Metrics.Class(s.service, routeKind(s.route)).Record(result.Verdict, result.Code, o)
}

// routeKind names the kind of a route for the metrics.
func routeKind(route *model.Route) string {
	if route.Idempotent {
		return "idempotent"
	}
	return "non_idempotent"
}

// log writes the lines of a request's end.
func (s *served) log(result dispatch.Result) {
	number := event.RequestAnswered
	switch {
	case result.Code == verdict.CodeCallerGone:
		number = event.CallerLeft
	case result.Verdict == verdict.NotRun:
		number = event.RequestNotRun
	case result.Verdict == verdict.MayHaveRun:
		number = event.RequestMayHaveRun
	case len(result.Attempts) < 2 && result.Response.Status < http.StatusInternalServerError && !sampled(s.head.ID):
		return
	}
	fields := []zap.Field{
		zap.String("request", s.head.ID),
		zap.String("service", s.service),
		zap.String("code", string(result.Code)),
		zap.Duration("took", s.options.Clock()-s.arrived),
		zap.Duration("allowed", s.head.TimeLeft),
		zap.Uint64("configuration", s.version),
	}
	if s.route != nil {
		fields = append(fields, zap.String("route", s.route.Name))
	}
	if s.head.HasKey {
		fields = append(fields, zap.Uint16("key", s.head.Key))
	}
	if result.Response != nil {
		fields = append(fields, zap.Int("status", result.Response.Status))
	}
	if result.RetryAfter > 0 {
		fields = append(fields, zap.Duration("retry_after", result.RetryAfter))
	}
	for at, send := range result.Attempts {
		fields = append(fields, zap.String("send_"+strconv.Itoa(at+1), describe(send)))
	}
	s.options.Log.Event(number, "", fields...)
}

// describe puts one send into a few words.
func describe(send dispatch.Attempt) string {
	text := fmt.Sprintf("%s in %s after %s: %s %s", send.Server, send.Zone, send.Duration.Round(time.Millisecond), send.Verdict, send.Code)
	if send.Status != 0 {
		text += " " + strconv.Itoa(send.Status)
	}
	if send.Cause != "" {
		text += " (" + send.Cause + ")"
	}
	return text
}

// sampled says whether a success is logged; all VMs choose alike.
func sampled(id string) bool {
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, id) // Writing to a hash never fails.
	return hash.Sum32()%sampleOf == 0
}
