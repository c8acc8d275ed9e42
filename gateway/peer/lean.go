package peer

import (
	"context"
	"net/http"
)

// Headers of connect-go that its peers need not send each other.
const (
	headerProtocolVersion = "Connect-Protocol-Version"
	headerUserAgent       = "User-Agent"
	headerDate            = "Date"
)

// leanRequests sends requests without headers that their receivers ignore.
type leanRequests struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (l leanRequests) RoundTrip(request *http.Request) (*http.Response, error) {
	lean := *request
	lean.Header = request.Header.Clone()
	lean.Header.Del(headerProtocolVersion)
	lean.Header[headerUserAgent] = nil // Keeps net/http from adding its own.
	return l.next.RoundTrip(&lean)
}

// leanResponses responds without headers that peers ignore.
type leanResponses struct{ next http.Handler }

// ServeHTTP implements http.Handler.
func (l leanResponses) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header()[headerDate] = nil // Keeps net/http from adding one.
	l.next.ServeHTTP(w, r)
}

// shortened returns a function that responds to reports like next, but leaves out the
// leader from the response to a sender that named it and is prepared for that.
func shortened(next func(context.Context, *Report) (*ReportResponse, error)) func(context.Context, *Report) (*ReportResponse, error) {
	return func(ctx context.Context, report *Report) (*ReportResponse, error) {
		response, err := next(ctx, report)
		if err != nil || !report.LeaderKnown || !response.Leading || response.KnownLeader != report.Leader {
			return response, err
		}
		short := *response
		short.KnownLeader = Leadership{}
		return &short, nil
	}
}

// complete adds to a leader's response to a report what shortened left out.
func complete(report *Report, response *ReportResponse) {
	if response.Leading && response.KnownLeader == (Leadership{}) {
		response.KnownLeader = report.Leader
	}
}
