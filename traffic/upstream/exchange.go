package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"syscall"
	"time"
)

// past is a deadline in the past: it ends every operation of a connection at once.
var past = time.Unix(1, 0)

// earlyResponseWait is how long a response is awaited after sending the request
// failed: a server that rejects a request early closes the connection after its
// response.
const earlyResponseWait = 50 * time.Millisecond

// Response is the headers of a response and its body. Body must be closed.
type Response struct {
	*http.Response
	exchange *exchange
}

// exchange is one request and its response on one connection.
type exchange struct {
	pool    *Pool
	conn    *conn
	ctx     context.Context
	request *http.Request
	stop    func() bool
	start   time.Time
	written chan error // Receives the result of a write concurrent with reading the response.
	over    bool
	// serverCloses says that the response ends the connection.
	serverCloses bool
}

// run sends the request and reads the response headers.
func (x *exchange) run() (*Response, *Failure) {
	c := x.conn
	c.begin(x.pool.options.MaxHeaderBytes, x.pool.headerMemory())
	deadline, _ := x.ctx.Deadline()
	c.SetDeadline(deadline) // The zero time means none.
	x.stop = context.AfterFunc(x.ctx, func() { c.SetDeadline(past) })

	writeErr := x.ctx.Err() // No timer has fired if the VM was suspended meanwhile.
	if writeErr == nil {
		writeErr = x.send()
	}
	if writeErr != nil && !c.sent {
		failure := &Failure{Stage: StageWrite, Timeout: x.ended(writeErr), Err: writeErr}
		x.abandon()
		return nil, failure
	}
	if writeErr != nil && x.ctx.Err() == nil {
		c.SetReadDeadline(time.Now().Add(earlyResponseWait))
	}
	response, err := x.readOwn()
	if err != nil {
		return nil, x.fail(writeErr, err)
	}
	c.limited = false
	x.serverCloses = response.Close
	x.noteKeepAlive(response)
	if !x.pool.options.AcceptUnframed && !framed(response) {
		x.abandon()
		return nil, &Failure{Stage: StageUnframed, Sent: true, Err: errors.New("neither Content-Length nor chunked")}
	}
	result := &Response{Response: response, exchange: x}
	response.Body = &body{
		source:       response.Body,
		exchange:     x,
		reusable:     writeErr == nil && !response.Close,
		endsByClose:  !framed(response),
		writeFailure: writeErr,
	}
	return result, nil
}

// maxSkippedResponses is how many responses to other requests are discarded.
const maxSkippedResponses = 2

// maxSkippedBytes is the longest body of a discarded response.
const maxSkippedBytes = 256 << 10

var errOtherRequest = errors.New("the answer belongs to another request")

// readOwn reads the headers of the response to this request. A response left
// over from an earlier request on the connection is read and discarded.
func (x *exchange) readOwn() (*http.Response, error) {
	for skipped := 0; ; skipped++ {
		response, err := readHead(x.conn, x.request)
		if err != nil || x.isOwn(response) {
			return response, err
		}
		if skipped == maxSkippedResponses || response.Close || !framed(response) {
			return nil, errOtherRequest
		}
		x.conn.limited = false
		dropped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes+1))
		if err != nil {
			return nil, unexpected(err)
		}
		if dropped > maxSkippedBytes {
			return nil, errOtherRequest
		}
		x.conn.limitHeaders(x.pool.options.MaxHeaderBytes)
		if err := x.conn.scanBuffered(); err != nil {
			return nil, err
		}
	}
}

// isOwn reports whether a response may belong to this request.
func (x *exchange) isOwn(response *http.Response) bool {
	if x.pool.options.AfterReceipt && !x.conn.received() {
		return false
	}
	matches := x.pool.options.MatchesRequest
	return matches == nil || matches(x.request, response)
}

// keepAliveMargin is subtracted from the time that a server keeps an idle
// connection open, to allow for the transit time of a request.
const keepAliveMargin = 500 * time.Millisecond

func (x *exchange) noteKeepAlive(response *http.Response) {
	if x.pool.options.KeepAliveTimeout == nil {
		return
	}
	if timeout := x.pool.options.KeepAliveTimeout(response); timeout > 0 {
		x.conn.keepAlive = max(timeout-keepAliveMargin, 0)
	}
}

// framed reports whether the response marks its own end.
func framed(response *http.Response) bool {
	return response.ContentLength >= 0 ||
		len(response.TransferEncoding) > 0 ||
		response.Request.Method == http.MethodHead
}

// send writes the request. A Streamed body is sent concurrently with
// reading the response, so that an early response is seen.
func (x *exchange) send() error {
	c := x.conn
	if _, streamed := x.request.Body.(Streamed); !streamed {
		return c.write(x.request)
	}
	x.written = make(chan error, 1)
	go func() {
		err := c.write(x.request)
		if err != nil {
			c.SetReadDeadline(time.Now().Add(earlyResponseWait))
		}
		x.written <- err
	}()
	return nil
}

// Streamed marks a request body that is sent concurrently with reading the
// response. Close must unblock a pending Read.
type Streamed interface {
	io.ReadCloser
	// Streamed has no effect.
	Streamed()
}

// readHead reads the response headers and skips informational responses.
func readHead(c *conn, request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, unexpected(err)
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("unexpected switch of protocols")
		}
		if response.StatusCode >= http.StatusOK {
			restoreHeader(c, response)
			return response, nil
		}
	}
}

// restoreHeader removes what net/http has added to the headers: a Cache-Control beside a
// Pragma.
func restoreHeader(c *conn, response *http.Response) {
	if !c.head.CacheControl() {
		delete(response.Header, "Cache-Control")
	}
}

// fail ends the exchange without a response.
func (x *exchange) fail(writeErr, readErr error) *Failure {
	if writeErr == nil && x.written != nil {
		writeErr = x.bodyError()
	}
	failure := &Failure{Stage: StageResponse, Timeout: x.ended(readErr), Reused: x.conn.reused, IdleTime: x.conn.idleTime, Err: readErr}
	if writeErr != nil {
		failure.Stage, failure.Err = StageWrite, writeErr
		failure.Timeout = x.ended(writeErr)
	}
	// Abandoning a streamed body ends the context, so Timeout is determined
	// first; whether a byte was sent is known only once the writer has ended.
	x.abandon()
	failure.Sent = x.conn.sent
	x.learn(failure)
	return failure
}

// closeDetectionTime is the time within which a dead or refused connection fails.
const closeDetectionTime = 100 * time.Millisecond

// learn records a connection that ended without a response: a reused one was
// dead, a new one was refused.
func (x *exchange) learn(failure *Failure) {
	switch {
	case failure.Timeout || !closedByPeer(failure.Err) || time.Since(x.start) > closeDetectionTime || x.conn.headerBytes < x.pool.options.MaxHeaderBytes:
		// The server may have processed the request or sent part of a response.
	case x.conn.reused:
		x.pool.options.IdleLimit.ReportDead(time.Now(), x.conn.idleTime)
	default:
		x.pool.recordRefusal()
	}
}

// closedByPeer reports whether the server closed or reset the connection.
func closedByPeer(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.ErrUnexpectedEOF)
}

// ended reports whether err comes from the end of the context or its deadline.
func (x *exchange) ended(err error) bool {
	return x.ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// abandon closes the connection, which cancels the request at the server, and
// waits until the request's body is no longer read.
func (x *exchange) abandon() {
	if x.over {
		return
	}
	x.over = true
	x.conn.end()
	x.stop()
	x.conn.SetDeadline(past)
	x.awaitBody()
	x.pool.discard(x.conn, x.endCause())
}

// endCause returns why the connection of an abandoned exchange ends.
func (x *exchange) endCause() OpenCause {
	switch {
	case x.serverCloses:
		return OpenedAfterClose
	case x.ctx.Err() != nil:
		return OpenedAfterCancel
	default:
		return OpenedAfterFailure
	}
}

func (x *exchange) awaitBody() {
	if x.written == nil {
		return
	}
	x.request.Body.Close()
	<-x.written
	x.written = nil
}

// finish ends an exchange whose response was read completely.
func (x *exchange) finish(reusable bool) {
	if x.over {
		return
	}
	if !reusable || x.written != nil && !x.bodySent() || !x.stop() {
		x.abandon()
		return
	}
	x.over = true
	x.conn.end()
	x.conn.SetDeadline(time.Time{}) // A passed one would make the idle connection look dead.
	x.pool.release(x.conn)
}

// bodySent reports, without blocking, whether the request's body was sent completely.
func (x *exchange) bodySent() bool {
	return x.bodyError() == nil && x.written == nil
}

// bodyError returns, without blocking, why sending the request's body failed,
// or nil.
func (x *exchange) bodyError() error {
	select {
	case err := <-x.written:
		x.written = nil
		return err
	default:
		return nil
	}
}

// awaitSent waits briefly until the request's body was sent, and returns why it was
// not sent completely, or nil.
func (x *exchange) awaitSent() error {
	if x.written == nil {
		return nil
	}
	x.conn.SetWriteDeadline(time.Now().Add(earlyResponseWait))
	x.request.Body.Close()
	err := <-x.written
	x.written = nil
	return err
}

// body is a response body. It releases the connection at its end.
type body struct {
	source   io.ReadCloser
	exchange *exchange
	reusable bool
	whole    bool
	// endsByClose reports that the response ends with its connection.
	endsByClose bool
	// writeFailure is why the request was not sent completely before the response
	// was read, or nil.
	writeFailure error
}

// Read returns a *Failure when the response ends early.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.source.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		err = b.unprovedEnd()
	}
	if err == nil {
		b.whole = true
		b.exchange.finish(b.reusable)
		return n, io.EOF
	}
	failure := &Failure{Stage: StageTruncate, Sent: true, Timeout: b.exchange.ended(err), Err: err}
	b.exchange.abandon()
	return n, failure
}

// unprovedEnd returns why the end of the connection does not end the response, or nil.
// If sending failed too, the connection may have been reset: the kernel reports a reset
// only once, to a write or to a read.
func (b *body) unprovedEnd() error {
	if !b.endsByClose {
		return nil
	}
	if b.writeFailure != nil {
		return b.writeFailure
	}
	return b.exchange.awaitSent()
}

// Close ends the exchange; if the response was not read to its end, the connection
// is closed.
func (b *body) Close() error {
	if !b.whole {
		b.exchange.abandon()
	}
	return nil
}
