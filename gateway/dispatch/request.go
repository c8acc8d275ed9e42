package dispatch

import (
	"net/http"
	"time"

	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/port"
	"guavacrank.example/traffic/verdict"
)

// Request is one attempt of a caller.
type Request struct {
	Head   port.RequestHead
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	// Header holds what is passed on; it is not changed.
	Header http.Header
	Body   []byte
	Route  *model.Route
	// Service is the route's target that was picked for the request.
	Service string
	// Arrived is when the request's head was read, on the dispatcher's clock.
	Arrived time.Duration
	// Deadline is when the caller's time or the route's ends.
	Deadline time.Duration
}

// Response is a backend server's whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Result is the end of a request.
type Result struct {
	Verdict verdict.Verdict
	Code    verdict.Code
	// Response is set if the verdict is Answered.
	Response *Response
	// RetryAfter is when the caller may come back, if the request has not run.
	RetryAfter time.Duration
	// Attempts are the sends that were made, in their order.
	Attempts []Attempt
}

// Attempt is one send to a backend server.
type Attempt struct {
	Server string
	Zone   string
	// Start and Duration are on the dispatcher's clock.
	Start, Duration time.Duration
	Verdict         verdict.Verdict
	Code            verdict.Code
	Status          int
	// Cause is the error behind a failure.
	Cause string
}
