package dispatch

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"

	"guavacrank.example/gateway/balance"
	"guavacrank.example/gateway/port"
	"guavacrank.example/traffic/upstream"
	"guavacrank.example/traffic/verdict"
)

// outcome is how one send ended.
type outcome struct {
	Attempt
	// answer is a whole answer of the server to this request.
	answer *Response
	// reached says that the server may have seen the request.
	reached bool
	result  balance.Result
}

// streamedBytes is the size from which a body is sent beside reading the
// answer, so that an early answer is seen.
const streamedBytes = 16 << 10

// errUnproved reports a success without the server's signature.
var errUnproved = errors.New("the answer carries no signature of a server")

// exchange sends the request once and reads the whole answer. The context ends
// when the request or this send is given up.
func (j *job) exchange(ctx context.Context, server *balance.Server) outcome {
	began := j.options.Clock()
	server.BeginRequest(began)
	sent := j.attempt(ctx, server)
	now := j.options.Clock()
	server.EndRequest(now, began, sent.result)
	sent.Server, sent.Zone = server.ID, server.Zone
	sent.Start, sent.Duration = began, now-began
	return sent
}

func (j *job) attempt(ctx context.Context, server *balance.Server) outcome {
	request := j.outgoing(server)
	answer, failure := server.Pool.Do(ctx, request, !j.request.Route.Idempotent)
	if failure != nil {
		return j.failed(ctx, failure)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		var cut *upstream.Failure
		if errors.As(err, &cut) {
			return j.failed(ctx, cut)
		}
		return j.failed(ctx, &upstream.Failure{Stage: upstream.StageTruncate, Sent: true, Err: err})
	}
	return j.whole(server, answer.Response, body)
}

// outgoing builds the request as the server gets it.
func (j *job) outgoing(server *balance.Server) *http.Request {
	header := make(http.Header, len(j.request.Header)+3)
	for name, values := range j.request.Header {
		header[name] = values
	}
	if _, named := header["User-Agent"]; !named {
		header["User-Agent"] = nil // Keeps net/http from adding its own.
	}
	j.options.Dialect.WriteSend(header, port.SendHead{TimeLeft: j.left() - earlyMargin, Server: server.ID})
	request := &http.Request{
		Method:        j.request.Method,
		URL:           targetURL(j.request.Target),
		Host:          j.request.Host,
		Header:        header,
		ContentLength: int64(len(j.request.Body)),
	}
	switch {
	case len(j.request.Body) >= streamedBytes:
		request.Body = newStreamedBody(j.request.Body)
	case len(j.request.Body) > 0:
		request.Body = io.NopCloser(bytes.NewReader(j.request.Body))
	}
	return request
}

// targetURL returns a URL that net/http writes exactly as the target.
func targetURL(target string) *url.URL {
	if strings.HasPrefix(target, "//") {
		path, query, _ := strings.Cut(target, "?")
		decoded, err := url.PathUnescape(path)
		if err != nil {
			decoded = path
		}
		return &url.URL{Path: decoded, RawPath: path, RawQuery: query, ForceQuery: strings.HasSuffix(target, "?")}
	}
	return &url.URL{Opaque: target}
}

// whole judges a whole answer.
func (j *job) whole(server *balance.Server, response *http.Response, body []byte) outcome {
	head := j.options.Dialect.ReadAnswer(response.StatusCode, response.Header)
	sent := outcome{reached: true}
	sent.Status = response.StatusCode
	switch {
	case head.NotRun:
		sent.Verdict, sent.result = verdict.NotRun, balance.Refused
		sent.Code = verdict.CodeShed
		if head.Misdirected {
			sent.Code, sent.result = verdict.CodeMoved, balance.NotOwner
		}
		if head.Misdirected && head.Server != "" && head.Server != server.ID {
			sent.Code, sent.result = verdict.CodeConnect, balance.Replaced
			sent.Cause = "server " + head.Server + " has the address now"
		}
	case !head.Proved:
		sent.Verdict, sent.Code, sent.result = verdict.MayHaveRun, verdict.CodePeer, balance.Incomplete
		sent.Cause = errUnproved.Error()
	default:
		sent.Verdict, sent.Code, sent.result = verdict.Answered, verdict.CodeAnswered, balance.Succeeded
		sent.answer = &Response{Status: response.StatusCode, Header: response.Header, Body: body}
		if response.StatusCode >= http.StatusInternalServerError {
			sent.result = balance.ServerError
		}
	}
	return sent
}

// failed judges a send without a whole answer.
func (j *job) failed(ctx context.Context, failure *upstream.Failure) outcome {
	sent := outcome{reached: failure.Sent}
	sent.Cause = failure.Error()
	sent.Verdict = verdict.MayHaveRun
	if !failure.Sent {
		sent.Verdict = verdict.NotRun
	}
	sent.Code, sent.result = failureCode(failure.Stage), balance.Incomplete
	if failure.Stage == upstream.StageConnect {
		sent.result = balance.Unreachable
	}
	if failure.Stage == upstream.StageLimit || failure.Stage == upstream.StageRefused {
		sent.result = balance.Refused
	}
	if over(ctx) {
		sent.Code, sent.result = endCode(ctx), balance.Canceled
	}
	return sent
}

func failureCode(stage upstream.Stage) verdict.Code {
	codes := [...]verdict.Code{
		upstream.StageLimit:    verdict.CodeConnections,
		upstream.StageConnect:  verdict.CodeConnect,
		upstream.StageRefused:  verdict.CodeConnections,
		upstream.StageWrite:    verdict.CodeWrite,
		upstream.StageAnswer:   verdict.CodeReset,
		upstream.StageTruncate: verdict.CodeTruncated,
		upstream.StageUnframed: verdict.CodeUnframed,
	}
	return codes[stage]
}

// streamedBody is a body that is sent beside reading the answer.
type streamedBody struct {
	io.Reader
}

func newStreamedBody(body []byte) *streamedBody {
	return &streamedBody{Reader: bytes.NewReader(body)}
}

// Close implements io.Closer; reading from memory never waits.
func (*streamedBody) Close() error { return nil }

// Streamed implements upstream.Streamed.
func (*streamedBody) Streamed() {}
