package linger

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"guavacrank.example/traffic/sockbuf"
)

const (
	// quietTime ends the lingering of a connection whose caller has neither sent nor acknowledged
	// anything for so long.
	quietTime = 5 * time.Second
	// maxTime limits the lingering of a connection.
	maxTime = 30 * time.Second
	// settleTime is how long after the last byte of a caller a connection that lingers still counts
	// as unfinished although all was acknowledged: a load balancer between may have acknowledged it.
	settleTime = 500 * time.Millisecond
	// discardBytes is the size of a read while a connection lingers.
	discardBytes = 1 << 10
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// stream is a connection that can be closed in one direction, as *net.TCPConn can.
type stream interface {
	net.Conn
	io.ReaderFrom
	CloseWrite() error
}

// state is the state of a connection.
type state uint8

const (
	// open is the state in which requests are read and responses are written.
	open state = iota
	// lingering is the state in which nothing more is written, and what is read is discarded.
	lingering
	closed
)

// Conn is a caller's connection.
type Conn struct {
	stream
	connections *Connections
	// reading is held during a read.
	reading sync.Mutex

	// The fields below are guarded by mu.

	mu    sync.Mutex
	state state
	// idle says that nothing of a request was read since all were answered.
	idle bool
	// ending says that the connection ends unless it is found not to be idle any more.
	ending bool
	// readDeadline is what was set last. It does not run while the connection is ending.
	readDeadline time.Time
	// owed says that something was written since the connection was last idle.
	owed bool
	// over says that the caller has closed its sending side, or that the connection broke.
	over bool
	// heardAt is when a byte of the caller was last discarded, or when lingering began.
	heardAt time.Time
}

// Idle notes that all requests that were read have been answered.
func (c *Conn) Idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.owed = true, false
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if !c.mayRead() {
		return 0, net.ErrClosed
	}
	n, err := c.stream.Read(p)
	return n, c.noteRead(n, err)
}

// mayRead reports whether the next request may be read.
func (c *Conn) mayRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == open && !c.ending
}

// noteRead notes the result of a read and returns its error.
func (c *Conn) noteRead(n int, err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case n > 0:
		c.received()
	case isEnd(err):
		c.over = true
	case c.ending:
		return net.ErrClosed
	}
	return err
}

// received notes that a part of a request was read. The caller holds mu.
func (c *Conn) received() {
	c.idle = false
	if c.ending {
		c.ending = false
		_ = c.stream.SetReadDeadline(c.readDeadline) // Fails only on a broken connection, whose reads fail.
	}
}

// isEnd reports whether the error of a read says that nothing more comes.
func isEnd(err error) bool { return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.noteWrite()
	return c.stream.Write(p)
}

// ReadFrom implements io.ReaderFrom.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	c.noteWrite()
	return c.stream.ReadFrom(r)
}

func (c *Conn) noteWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owed = true
}

// SetReadDeadline implements net.Conn. A connection that lingers has deadlines of its own.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = deadline
	if c.state != open || c.ending {
		return nil
	}
	return c.stream.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(deadline time.Time) error {
	return errors.Join(c.SetReadDeadline(deadline), c.SetWriteDeadline(deadline))
}

// CloseWrite ends the connection, as Close does: nothing is read any more after it.
func (c *Conn) CloseWrite() error { return c.Close() }

// Close implements net.Conn. It ends the connection and does not wait for the end of
// lingering. All later calls have no effect.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state != open:
		return nil
	case c.mayLose():
		c.state, c.heardAt = lingering, time.Now()
		go c.linger()
		return nil
	}
	return c.close()
}

// mayLose reports whether a response that was written may be lost if the connection is closed.
// None is once nothing more comes from the caller. The caller of mayLose holds mu.
func (c *Conn) mayLose() bool {
	return !c.over && (c.owed || c.unacknowledged() > 0)
}

// unacknowledged returns the number of bytes that the caller's host has not acknowledged, or
// zero if that is unknown.
func (c *Conn) unacknowledged() int {
	bytes, _ := sockbuf.Unacknowledged(c.stream)
	return bytes
}

// close closes the connection below. The caller holds mu.
func (c *Conn) close() error {
	if c.state == closed {
		return nil
	}
	if unsent := c.unacknowledged(); unsent > 0 && !c.over {
		unread, _ := sockbuf.Unread(c.stream) // Zero if unknown.
		c.connections.reportUnsent(Unsent{Bytes: unsent, Unread: unread})
	}
	c.state = closed
	c.connections.remove(c)
	return c.stream.Close()
}

// linger shuts down the writing side and closes the connection once the caller has.
func (c *Conn) linger() {
	c.endReading()
	_ = c.stream.CloseWrite() // Fails only on a broken connection, whose reads fail.
	c.discard(time.Now().Add(maxTime))
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.close() // Nothing depends on it any more.
}

// endReading makes a read that is waiting return.
func (c *Conn) endReading() {
	_ = c.stream.SetReadDeadline(longAgo) // Fails only on a broken connection, whose reads fail.
	c.reading.Lock()
	defer c.reading.Unlock()
}

// discard reads until the caller has closed the connection, until it has been quiet for
// quietTime, or until the limit.
func (c *Conn) discard(limit time.Time) {
	unacknowledged := c.unacknowledged()
	for now := time.Now(); now.Before(limit); now = time.Now() {
		err := c.discardUntil(now.Add(quietTime))
		switch {
		case isEnd(err):
			return
		case err == nil:
			continue
		}
		before := unacknowledged
		unacknowledged = c.unacknowledged()
		if unacknowledged == 0 || unacknowledged >= before {
			return
		}
	}
}

// discardUntil reads some bytes, or waits for them until a time.
func (c *Conn) discardUntil(deadline time.Time) error {
	var discarded [discardBytes]byte
	if err := c.stream.SetReadDeadline(deadline); err != nil {
		return err
	}
	n, err := c.stream.Read(discarded[:])
	c.mu.Lock()
	defer c.mu.Unlock()
	c.over = isEnd(err)
	if n > 0 {
		c.heardAt = time.Now()
	}
	return err
}

// endIdle ends the connection if it is idle and its caller has all responses. A request of
// which a part was read meanwhile is served.
func (c *Conn) endIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != open || !c.idle || c.ending || c.unacknowledged() > 0 {
		return
	}
	c.ending = true
	_ = c.stream.SetReadDeadline(longAgo) // Fails only on a broken connection, whose reads fail.
}

// unfinished reports whether the end of the process may lose a response or leave a request
// unanswered.
func (c *Conn) unfinished(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.state {
	case open:
		return !c.ending && (!c.idle || c.unacknowledged() > 0)
	case lingering:
		return now.Sub(c.heardAt) < settleTime || c.unacknowledged() > 0
	}
	return false
}

// lingers reports whether the connection lingers.
func (c *Conn) lingers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == lingering
}

// abandon closes the connection at once.
func (c *Conn) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.close() // Nothing depends on it any more.
}
