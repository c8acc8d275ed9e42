package dispatch

import (
	"net/http"
	"time"

	"guavacrank.example/gateway/admission"
	"guavacrank.example/gateway/memory"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/port"
	"guavacrank.example/traffic/verdict"
)

// Request is a caller's request. If the caller retries, that is a new Request.
type Request struct {
	Head   port.RequestHead
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	// Header holds the headers to forward; the dispatcher does not modify it.
	Header http.Header
	Body   *memory.Body
	// Trailer holds the fields after the body; the dispatcher does not modify it.
	Trailer http.Header
	Route   *model.Route
	// Service is the route's target that was picked for the request.
	Service string
	// Arrived is when the request's headers were read, on the dispatcher's clock.
	Arrived time.Duration
	// Deadline is the earlier of the caller's and the route's deadline, on the
	// dispatcher's clock.
	Deadline time.Duration
}

// Response is a backend server's complete response.
type Response struct {
	Status int
	Header http.Header
	// Body must be released after use.
	Body *memory.Body
	// Trailer holds the fields after the body.
	Trailer http.Header
}

// Result is the final result of a request.
type Result struct {
	Verdict verdict.Verdict
	Code    verdict.Code
	// Response is set if the verdict is Answered.
	Response *Response
	// RetryAfter is the delay after which the caller may retry a request that
	// has not run.
	RetryAfter time.Duration
	// Attempts are the attempts that have ended, in the order of their ends.
	Attempts []Attempt
	// Room is what was known of the room for a request that was refused for want of it, or
	// nil.
	Room *admission.Room
	// Avoided are servers that did not get the request, maxAvoided at most.
	Avoided []AvoidedServer
}

// Attempt is one attempt to send a request to a backend server.
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
