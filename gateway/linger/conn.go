package linger

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

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
