package linger

import (
	"errors"
	"os"
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
	// maxDiscarded limits the bytes that are read then: more than a pipeline has, and little of
	// a long body.
	maxDiscarded = 64 << 10
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

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
// quietTime, or until the limit. Of a caller that goes on sending it reads a part only.
func (c *Conn) discard(limit time.Time) {
	unacknowledged, discarded := c.unacknowledged(), 0
	for now := time.Now(); now.Before(limit); now = time.Now() {
		n, err := c.discardUntil(now.Add(quietTime))
		discarded += n
		switch {
		case isEnd(err):
			return
		case discarded >= maxDiscarded:
			c.awaitReceipt(now.Add(quietTime))
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

// awaitReceipt waits, without reading, until the caller's host has all that was written, or until
// the limit. The window of TCP holds the caller up.
func (c *Conn) awaitReceipt(limit time.Time) {
	for time.Now().Before(limit) {
		time.Sleep(settleTime)
		if c.unacknowledged() == 0 {
			return
		}
	}
}

// isEnd reports whether the error of a read says that nothing more comes.
func isEnd(err error) bool { return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) }

// discardUntil reads some bytes, or waits for them until a time. It returns their number.
func (c *Conn) discardUntil(deadline time.Time) (int, error) {
	var discarded [discardBytes]byte
	if err := c.stream.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := c.stream.Read(discarded[:])
	c.mu.Lock()
	defer c.mu.Unlock()
	c.over = isEnd(err)
	if n > 0 {
		c.heardAt = time.Now()
	}
	return n, err
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
