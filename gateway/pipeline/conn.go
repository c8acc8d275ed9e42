package pipeline

import (
	"sync"
	"sync/atomic"
	"time"

	"guavacrank.example/traffic/framing"
)

// writeTimeout limits the time to write to a caller that pipelines, where its request sets no
// limit.
const writeTimeout = 10 * time.Second

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// Conn is a caller's connection. net/http serves on it every request that was not read
// ahead.
type Conn struct {
	*framing.Conn
	listener *Listener
	// idler, if not nil, is told when all requests have been answered.
	idler idler
	// pipelined says that the caller has not waited for a response once.
	pipelined atomic.Bool

	// held, heldBytes, passing, blocked and seen belong to the goroutine that reads.

	// held are requests that were read and passed neither to net/http nor to a request of
	// its own. Only the last may be incomplete.
	held      []heldRequest
	heldBytes int
	// lastPassed says that the request that was passed last may end the connection.
	lastPassed bool
	// passing says that a part of the first of them was passed to net/http.
	passing bool
	// blocked says that the first of them may not be read ahead.
	blocked bool
	// seen is the value of changes that held was last looked through at.
	seen uint64

	mu sync.Mutex
	// writeLimited says that net/http has set a write deadline.
	writeLimited bool
	// changed is signaled with each change of the fields below that a goroutine may wait for.
	changed sync.Cond
	// changes counts the responses that have ended.
	changes uint64
	queue   Queue
	// current is the number of the request that net/http serves on this connection, if
	// serving is set. It is set only if more bytes have come meanwhile.
	current uint64
	serving bool
	// ahead are the requests read ahead without a complete response.
	ahead []*request
	// readDeadline is the deadline of reads. One that net/http sets while requests read ahead
	// are open does not run yet; idle is the time from the last of them to it.
	readDeadline time.Time
	idle         time.Duration
	// wakeReader says that the reader waits for bytes and for changes, and woken that it is
	// being woken by a deadline in the past.
	wakeReader bool
	woken      bool
	// closing says that net/http has closed the idle connection while requests read ahead
	// are open.
	closing bool
}

// heldRequest is a request that waits for its turn or for room.
type heldRequest struct {
	text         []byte
	complete     bool
	cacheControl bool // Known if complete.
	closes       bool // Known if complete.
}

// idler is a connection that ends differently while it is idle, as a linger.Conn does.
type idler interface{ Idle() }

func newConn(checked *framing.Conn, listener *Listener) *Conn {
	c := &Conn{Conn: checked, listener: listener}
	c.idler, _ = checked.Conn.(idler)
	c.changed.L = &c.mu
	return c
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.pipelined.Load() {
		if err := c.limitWrite(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// limitWrite limits the time of a write for which net/http has set no limit.
func (c *Conn) limitWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeLimited {
		return nil
	}
	return c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeLimited = !deadline.IsZero()
	return c.Conn.SetWriteDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline, c.idle = deadline, 0
	if len(c.ahead) > 0 && !deadline.IsZero() && !passed(deadline) {
		c.readDeadline, c.idle = time.Time{}, time.Until(deadline)
	}
	c.changed.Broadcast()
	return c.Conn.SetReadDeadline(c.readDeadline)
}

// passed reports whether a deadline is set and has passed.
func passed(deadline time.Time) bool { return !deadline.IsZero() && !deadline.After(time.Now()) }

// Close implements net.Conn. A shutdown of the server closes idle connections; what was
// read ahead on them is still answered.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return nil
	}
	if c.serving || len(c.ahead) == 0 || c.queue.Failed() {
		c.fail()
		return c.Conn.Close()
	}
	c.closing = true
	c.queue.End()
	c.changes++
	c.changed.Broadcast()
	c.wake()
	return nil
}

// responded implements served.
func (c *Conn) responded() {
	if !c.pipelined.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.serving {
		return
	}
	c.serving = false
	c.queue.Answered(c.current)
	c.settle()
}

// endAfter implements served.
func (c *Conn) endAfter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serving {
		return c.queue.EndAfter(c.current)
	}
	c.queue.End()
	return true
}

// awaitTurn implements served: what net/http serves on this connection has its turn.
func (c *Conn) awaitTurn() bool { return true }

// settle acts on the end of a response. The caller holds mu.
func (c *Conn) settle() {
	c.changes++
	c.changed.Broadcast()
	if c.queue.Failed() {
		c.closeAfterResponse()
		return
	}
	if len(c.ahead) == 0 {
		c.endAhead()
	}
	if c.wakeReader {
		c.wake()
	}
}

// endAhead returns to a connection on which net/http alone serves. The caller holds mu.
func (c *Conn) endAhead() {
	if c.closing {
		_ = c.Conn.Close() // All responses are written, and nothing else is to be done.
		return
	}
	if c.idle == 0 {
		return
	}
	c.readDeadline, c.idle = time.Now().Add(c.idle), 0
	_ = c.Conn.SetReadDeadline(c.readDeadline) // Fails only on a closed connection, whose reads fail.
}

// closeAfterResponse closes the connection after the response of a request read ahead. The
// caller holds mu.
func (c *Conn) closeAfterResponse() {
	c.fail()
	if c.closing {
		_ = c.Conn.Close() // The last response is written, and nothing else is to be done.
		return
	}
	_ = c.CloseWrite() // Fails only if the caller has gone; the reader closes the connection.
	c.wake()           // net/http closes the connection, too.
}

// fail cancels all requests read ahead. The caller holds mu.
func (c *Conn) fail() {
	c.queue.Fail()
	for _, request := range c.ahead {
		request.over = true
	}
	c.changes++
	c.changed.Broadcast()
}

// wake makes the reader return from its read. The caller holds mu.
func (c *Conn) wake() {
	c.woken = true
	_ = c.Conn.SetReadDeadline(longAgo) // Fails only on a closed connection, whose reads fail.
}
