package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"

	"guavacrank.example/gateway/answer"
	"guavacrank.example/gateway/balance"
	"guavacrank.example/gateway/memory"
	"guavacrank.example/gateway/port"
	"guavacrank.example/traffic/upstream"
	"guavacrank.example/traffic/verdict"
)

// outcome is the outcome of one attempt.
type outcome struct {
	Attempt
	// response is the server's complete response to this request, or nil.
	response *Response
	// reached reports that the server may have received the request.
	reached bool
	result  balance.Result
}

// streamingThreshold is the size from which a body is sent while the response
// is being read, so that an early response is noticed.
const streamingThreshold = 16 << 10

var (
	// errUnsigned reports a response that carries no signature of the server.
	errUnsigned = errors.New("response carries no server signature")
	// errUnproved reports a response whose status is withheld from the caller.
	errUnproved = errors.New("the status promises that the request has not run, and the server does not say so")
)

// exchange sends the request once and reads the complete response. ctx ends
// when the request or this attempt is canceled.
func (c *call) exchange(ctx context.Context, server *balance.Server) outcome {
	start := c.options.Clock()
	server.BeginRequest(start)
	out := c.sendOnce(ctx, server)
	now := c.options.Clock()
	server.EndRequest(now, start, out.result)
	out.Server, out.Zone = server.ID, server.Zone
	out.Start, out.Duration = start, now-start
	if out.response != nil || out.Code == verdict.CodeTimeout {
		c.durations.add(routeKey{c.request.Route.Name, c.request.Service}, out.Duration)
	}
	return out
}

func (c *call) sendOnce(ctx context.Context, server *balance.Server) outcome {
	request := c.buildRequest(server)
	response, failure := server.Pool.DoUnused(ctx, request, !c.request.Route.Kind.Idempotent(), &c.connections)
	if failure != nil {
		return c.classifyFailure(ctx, failure)
	}
	defer response.Body.Close()
	head := c.options.HeaderCodec.ReadResponse(response.StatusCode, response.Header)
	c.observe(server, head)
	body, err := c.readResponse(response.Response)
	if err != nil {
		var readFailure *upstream.Failure
		if errors.As(err, &readFailure) {
			return c.classifyFailure(ctx, readFailure)
		}
		return c.classifyFailure(ctx, &upstream.Failure{Stage: upstream.StageTruncate, Sent: true, Err: err})
	}
	out := c.classifyResponse(server, response.Response, head, body)
	if out.response == nil {
		body.Release()
	}
	return out
}

// buildRequest builds the request to send to the server.
func (c *call) buildRequest(server *balance.Server) *http.Request {
	header := make(http.Header, len(c.request.Header)+3)
	for name, values := range c.request.Header {
		header[name] = values
	}
	setUserAgent(header)
	c.options.HeaderCodec.WriteUpstream(header, port.UpstreamHead{TimeLeft: c.timeLeft() - responseMargin, Server: server.ID})
	request := &http.Request{
		Method:        c.request.Method,
		URL:           &url.URL{Opaque: c.request.Target}, // Sent as it is.
		Host:          c.request.Host,
		Header:        header,
		ContentLength: c.request.Body.Len(),
	}
	switch length := c.request.Body.Len(); {
	case length >= streamingThreshold:
		request.Body = &streamedBody{c.request.Body.NewReader()}
	case length > 0:
		request.Body = io.NopCloser(c.request.Body.NewReader())
	}
	if len(c.request.Trailer) > 0 {
		setTrailer(request, c.request.Trailer)
	}
	return request
}

// setTrailer makes a request one in chunks, which may have a trailer.
func setTrailer(request *http.Request, trailer http.Header) {
	request.Trailer = trailer
	request.ContentLength = -1
	request.TransferEncoding = []string{"chunked"}
	if request.Body == nil {
		request.Body = io.NopCloser(strings.NewReader(""))
	}
}

// userAgentAsSent is a spelling of User-Agent that net/http writes as any other field.
const userAgentAsSent = "user-agent"

// setUserAgent makes net/http write the values that came in: of User-Agent it writes only
// the first value, none if that is empty, and its own if there is none.
func setUserAgent(header http.Header) {
	values := header["User-Agent"]
	if len(values) == 1 && values[0] != "" {
		return
	}
	header["User-Agent"] = nil
	if len(values) > 0 {
		header[userAgentAsSent] = values
	}
}

// classifyResponse returns the outcome of an attempt with a complete response.
func (c *call) classifyResponse(server *balance.Server, response *http.Response, head port.ResponseHead, body *memory.Body) outcome {
	out := outcome{reached: true}
	out.Status = response.StatusCode
	if head.Signed || head.NotRun && (head.Server == "" || head.Server == server.ID) {
		server.Limit.Observe(c.options.Clock(), head.Limited, head.RequestsPerSecond)
	}
	switch answer.Judge(c.request.Route.Kind, response.StatusCode, head) {
	case answer.Refused:
		out.Verdict = verdict.NotRun
		out.Code, out.result, out.Cause = refusal(server, head)
	case answer.Unsigned:
		out.Verdict, out.Code, out.result = verdict.MayHaveRun, verdict.CodePeer, balance.Incomplete
		out.Cause = errUnsigned.Error()
	case answer.Unproved:
		out.Verdict, out.Code, out.result = verdict.MayHaveRun, verdict.CodeUnproved, resultOf(response.StatusCode)
		out.Cause = errUnproved.Error()
	case answer.Forwarded:
		out.Verdict, out.Code, out.result = verdict.Answered, verdict.CodeAnswered, resultOf(response.StatusCode)
		out.response = &Response{Status: response.StatusCode, Header: response.Header, Body: body, Trailer: response.Trailer}
	}
	return out
}

// refusal returns why a server has not run a request.
func refusal(server *balance.Server, head port.ResponseHead) (code verdict.Code, result balance.Result, cause string) {
	switch {
	case !head.Misdirected:
		return verdict.CodeShed, balance.Refused, ""
	case head.Server != "" && head.Server != server.ID:
		return verdict.CodeConnect, balance.Replaced, "server " + head.Server + " now uses the address"
	default:
		return verdict.CodeMoved, balance.NotOwner, ""
	}
}

// resultOf returns what the status of a server's own response says about the server.
func resultOf(status int) balance.Result {
	if status >= http.StatusInternalServerError {
		return balance.ServerError
	}
	return balance.Succeeded
}

// classifyFailure returns the outcome of an attempt without a complete response.
func (c *call) classifyFailure(ctx context.Context, failure *upstream.Failure) outcome {
	out := outcome{reached: failure.Sent}
	out.Cause = failure.Error()
	out.Verdict = verdict.MayHaveRun
	if !failure.Sent {
		out.Verdict = verdict.NotRun
	}
	out.Code, out.result = failureCode(failure.Stage), balance.Incomplete
	if failure.Stage == upstream.StageConnect {
		out.result = balance.Unreachable
	}
	if failure.Stage == upstream.StageLimit || failure.Stage == upstream.StageRefused {
		out.result = balance.Refused
	}
	if expired(ctx) {
		out.Code, out.result = contextCode(ctx), balance.Canceled
	}
	return out
}

func failureCode(stage upstream.Stage) verdict.Code {
	codes := [...]verdict.Code{
		upstream.StageLimit:    verdict.CodeConnections,
		upstream.StageConnect:  verdict.CodeConnect,
		upstream.StageRefused:  verdict.CodeConnections,
		upstream.StageWrite:    verdict.CodeWrite,
		upstream.StageResponse: verdict.CodeReset,
		upstream.StageTruncate: verdict.CodeTruncated,
		upstream.StageUnframed: verdict.CodeUnframed,
	}
	return codes[stage]
}

// streamedBody is a body that is sent while the response is being read.
type streamedBody struct {
	io.Reader
}

// Close implements io.Closer. Reads come from memory and never block.
func (*streamedBody) Close() error { return nil }

// Streamed implements upstream.Streamed.
func (*streamedBody) Streamed() {}
