package upstream

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"guavacrank.example/traffic/framing"
)

// bufferBytes is the size of a connection's read buffer, and of a request's write buffer.
const bufferBytes = 4 << 10

// headerWeight is how many bytes of memory a byte of parsed headers takes at most.
const headerWeight = 16

// errHeadersTooLarge reports a response whose headers exceed the limit.
var errHeadersTooLarge = errors.New("answer headers too large")

// errUnsolicited reports bytes on a connection on which no request was sent.
var errUnsolicited = errors.New("the server sent something before it was asked")

// conn is one connection with its buffers. One request uses it at a time.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	idleSince time.Time
	reused    bool
	idleTime  time.Duration // How long it was idle before the current request.
	// keepAlive is how long the server keeps the idle connection open, less
	// keepAliveMargin; math.MaxInt64 until a response states it.
	keepAlive time.Duration
	// sent reports whether a byte of the current request was handed to the kernel.
	sent bool
	// headerBytes is how many of maxHeaderBytes may still be read while limited is
	// set, that is, until the headers are complete.
	headerBytes    int64
	maxHeaderBytes int64
	limited        bool
	// head follows the headers while limited is set.
	head framing.ResponseScanner
	// headerMemory counts the headers of the current response beyond the first
	// bufferBytes; nil does not count. countedBytes is what it has counted.
	headerMemory HeaderMemory
	countedBytes int64
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw, keepAlive: math.MaxInt64}
	c.reader = bufio.NewReaderSize((*connReader)(c), bufferBytes)
	return c
}

type connReader conn

// Read reads from the connection, at most headerBytes while limited.
func (r *connReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.Conn.Read(p)
	}
	if r.head.Faulty() {
		return 0, framing.ErrAmbiguousHeaders // bufio.Reader.ReadLine forgets an error after a part of a line.
	}
	if r.headerBytes <= 0 {
		return 0, errHeadersTooLarge
	}
	if int64(len(p)) > r.headerBytes {
		p = p[:r.headerBytes]
	}
	if err := (*conn)(r).countHeaders(int64(len(p))); err != nil {
		return 0, err
	}
	n, err := r.Conn.Read(p)
	r.headerBytes -= int64(n)
	if headErr := r.head.Scan(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// writers holds the write buffers of requests, so that an idle connection has none.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferBytes) }}

// write writes a request.
func (c *conn) write(request *http.Request) error {
	writer := writers.Get().(*bufio.Writer)
	writer.Reset((*connWriter)(c))
	defer func() {
		writer.Reset(nil)
		writers.Put(writer)
	}()
	if err := writeRequest(writer, request); err != nil {
		return err
	}
	return writer.Flush()
}

type connWriter conn

// Write writes to the connection and records whether the kernel took a byte.
func (w *connWriter) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	if n > 0 {
		w.sent = true
	}
	return n, err
}

// begin prepares the connection for one request. headerMemory, which may be nil, counts
// the response's headers beyond what the reader buffers at once.
func (c *conn) begin(maxHeaderBytes int64, headerMemory HeaderMemory) {
	c.sent = false
	c.headerMemory = headerMemory
	c.countedBytes = 0
	c.limitHeaders(maxHeaderBytes)
}

// countHeaders counts header bytes that are read next.
func (c *conn) countHeaders(next int64) error {
	beyond := c.maxHeaderBytes - c.headerBytes + next - bufferBytes
	missing := beyond*headerWeight - c.countedBytes
	if c.headerMemory == nil || missing <= 0 {
		return nil
	}
	if err := c.headerMemory.Grow(missing); err != nil {
		return err
	}
	c.countedBytes += missing
	return nil
}

// end ends the count of the headers of the current response.
func (c *conn) end() {
	if c.headerMemory != nil {
		c.headerMemory.Release()
	}
}

// limitHeaders limits the bytes that are read until the headers are complete.
func (c *conn) limitHeaders(maxHeaderBytes int64) {
	c.limited = true
	c.headerBytes = maxHeaderBytes
	c.maxHeaderBytes = maxHeaderBytes
	c.head.Reset()
}

// scanBuffered follows the headers of the next response as far as they were read with the
// one before.
func (c *conn) scanBuffered() error {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	return c.head.Scan(buffered)
}

// alive reports, without blocking, whether an idle connection can be reused:
// false if the server has closed it or sent unsolicited bytes.
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

// awaitRefusal waits for the given time and returns an error if the server
// closes the new connection meanwhile.
func (c *conn) awaitRefusal(wait time.Duration) error {
	c.SetReadDeadline(time.Now().Add(wait))
	_, err := c.reader.Peek(1)
	c.SetReadDeadline(time.Time{})
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	if err == nil {
		return errUnsolicited
	}
	return unexpected(err)
}

// unexpected replaces io.EOF by io.ErrUnexpectedEOF.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux.
const tcpUserTimeout = 18

// UserTimeout returns a net.Dialer's Control that sets TCP_USER_TIMEOUT: the
// kernel fails a connection whose bytes stay unacknowledged for the given time,
// so that a lost peer causes an error instead of a hang.
func UserTimeout(after time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(after.Milliseconds()))
		})
		return errors.Join(err, setErr)
	}
}
