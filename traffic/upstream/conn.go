package upstream

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net"
	"os"
	"syscall"
	"time"
)

// bufferBytes is the size of a connection's read and write buffers.
const bufferBytes = 4 << 10

// errHeadersTooLarge reports an answer whose headers exceed the limit.
var errHeadersTooLarge = errors.New("answer headers too large")

// errUnasked reports bytes on a connection on which nothing was asked.
var errUnasked = errors.New("the server sent something before it was asked")

// conn is one connection with its buffers. One request uses it at a time.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	writer    *bufio.Writer
	idleSince time.Time
	reused    bool
	unused    time.Duration // How long it was idle before the request under way.
	// keepAlive is how long the server keeps the connection without use, less
	// a margin; the greatest duration until it says.
	keepAlive time.Duration
	// sent says that a byte of the current request was handed to the kernel.
	sent bool
	// headerBytes limits what may be read until the headers are complete.
	headerBytes int64
	limited     bool
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw, keepAlive: math.MaxInt64}
	c.reader = bufio.NewReaderSize((*connReader)(c), bufferBytes)
	c.writer = bufio.NewWriterSize((*connWriter)(c), bufferBytes)
	return c
}

type connReader conn

// Read reads from the connection, at most headerBytes while limited.
func (r *connReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.Conn.Read(p)
	}
	if r.headerBytes <= 0 {
		return 0, errHeadersTooLarge
	}
	if int64(len(p)) > r.headerBytes {
		p = p[:r.headerBytes]
	}
	n, err := r.Conn.Read(p)
	r.headerBytes -= int64(n)
	return n, err
}

type connWriter conn

// Write writes to the connection and notes whether a byte was taken.
func (w *connWriter) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	if n > 0 {
		w.sent = true
	}
	return n, err
}

// begin prepares the connection for one request.
func (c *conn) begin(maxHeaderBytes int64) {
	c.sent = false
	c.limited = true
	c.headerBytes = maxHeaderBytes
}

// alive looks, without waiting, whether the server has closed an idle
// connection or sent something that nobody asked for.
func (c *conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var probe [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(errno, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// accepted looks for a while whether the server ends a connection that it has
// just been asked for.
func (c *conn) accepted(wait time.Duration) error {
	c.SetReadDeadline(time.Now().Add(wait))
	_, err := c.reader.Peek(1)
	c.SetReadDeadline(time.Time{})
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	if err == nil {
		return errUnasked
	}
	return unexpected(err)
}

// unexpected turns a clean end of the connection into an unexpected one.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux.
const tcpUserTimeout = 18

// UserTimeout returns a net.Dialer's Control that ends a connection
// whose bytes stay unacknowledged for the given time: one whose other side is
// gone then fails instead of staying silent.
func UserTimeout(after time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(after.Milliseconds()))
		})
		return errors.Join(err, setErr)
	}
}
