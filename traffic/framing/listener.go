// Package framing checks the bytes of callers' connections before net/http parses them. It
// passes on only requests whose fields and end every parser finds at the same place
// (RFC 9112, sections 2.2, 5.2, 6.3 and 7.1), and ends any other so that it is malformed
// to net/http as well, which answers 400 and closes the connection.
//
// net/http accepts some that are not: it drops a Content-Length beside a Transfer-Encoding,
// joins folded fields, takes a bare LF for the end of a line, and ignores the Host field
// beside an absolute target.
//
// ResponseScanner does the same for the headers of servers' responses.
package framing

import (
	"bytes"
	"errors"
	"io"
	"net"
)

// errNotTCP reports a listener for something else than TCP.
var errNotTCP = errors.New("the connection is not one of TCP")

// streamConn is a connection that can be closed in one direction, as *net.TCPConn can.
type streamConn interface {
	net.Conn
	io.ReaderFrom
	CloseWrite() error
}

// Listener is a TCP listener, or one of a test whose connections are like those of TCP,
// whose connections are checked.
type Listener struct {
	net.Listener
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, isTCP := accepted.(streamConn)
	if !isTCP {
		return nil, errors.Join(errNotTCP, accepted.Close())
	}
	checked := &Conn{Conn: tcp, tcp: tcp}
	checked.scanner.onHead = checked.heads.add
	return checked, nil
}

// Conn passes on the bytes of a connection up to the first fault.
type Conn struct {
	net.Conn
	tcp     streamConn
	scanner scanner
	heads   sentHeads
	// rest is what came with the end of a request and belongs to later ones. It was not
	// checked yet.
	rest   []byte
	faulty bool
	// ending is what is still to be read in place of the bytes from the fault on.
	ending string
}

// CloseWrite shuts down the writing side; net/http uses it after a rejection.
func (c *Conn) CloseWrite() error { return c.tcp.CloseWrite() }

// ReadFrom implements io.ReaderFrom; net/http uses it for long responses.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) { return c.tcp.ReadFrom(r) }

// Requests returns the number of complete requests that were read.
func (c *Conn) Requests() uint64 { return c.scanner.requests }

// AtBoundary reports whether the end of a request was read and nothing of the next one.
func (c *Conn) AtBoundary() bool {
	return c.scanner.requests > 0 && c.scanner.part == requestLine && !c.scanner.line.begun
}

// Closes reports whether the request that was read last may end the connection: it says so, or
// is one of HTTP/1.0.
func (c *Conn) Closes() bool { return c.scanner.head.closes || c.scanner.head.old }

// Faulty reports whether a fault was found. Then nothing of the connection is read any more,
// its end neither.
func (c *Conn) Faulty() bool { return c.faulty }

// Read implements net.Conn. It does not read beyond the end of a request. Reads are never
// concurrent: net/http waits for the end of one before the next.
func (c *Conn) Read(p []byte) (int, error) {
	if c.faulty {
		return c.readEnding(p)
	}
	n, err := c.fetch(p)
	done, sound := c.scanner.scanRequest(p[:n])
	c.keep(p[done:n])
	if sound && done == n {
		return n, err
	}
	if sound {
		return done, nil // An error comes again after the rest.
	}
	c.faulty = true
	c.ending = c.scanner.ending()
	if done == 0 {
		return c.readEnding(p)
	}
	return done, nil
}

// fetch reads from the rest, or from the connection.
func (c *Conn) fetch(p []byte) (int, error) {
	if len(c.rest) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// keep puts back what was fetched last and not read.
func (c *Conn) keep(unread []byte) {
	switch {
	case len(unread) > 0:
		c.rest = append(bytes.Clone(unread), c.rest...)
	case len(c.rest) == 0:
		c.rest = nil
	}
}

// readEnding reads the rest of the ending.
func (c *Conn) readEnding(p []byte) (int, error) {
	if c.ending == "" {
		return 0, io.EOF
	}
	n := copy(p, c.ending)
	c.ending = c.ending[n:]
	return n, nil
}
