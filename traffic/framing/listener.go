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
	checked := &conn{Conn: tcp, tcp: tcp}
	checked.scanner.onHead = checked.heads.add
	return checked, nil
}

// conn passes on the bytes of a connection up to the first fault.
type conn struct {
	net.Conn
	tcp     streamConn
	scanner scanner
	heads   sentHeads
	faulty  bool
	// ending is what is still to be read in place of the bytes from the fault on.
	ending string
}

// CloseWrite shuts down the writing side; net/http uses it after a rejection.
func (c *conn) CloseWrite() error { return c.tcp.CloseWrite() }

// ReadFrom implements io.ReaderFrom; net/http uses it for long responses.
func (c *conn) ReadFrom(r io.Reader) (int64, error) { return c.tcp.ReadFrom(r) }

// Read implements net.Conn. Reads are never concurrent: net/http waits for the end of one
// before the next.
func (c *conn) Read(p []byte) (int, error) {
	if c.faulty {
		return c.readEnding(p)
	}
	n, err := c.Conn.Read(p)
	sound := c.scanner.scan(p[:n])
	if sound == n {
		return n, err
	}
	c.faulty = true
	c.ending = c.scanner.ending()
	if sound == 0 {
		return c.readEnding(p)
	}
	return sound, nil
}

// readEnding reads the rest of the ending.
func (c *conn) readEnding(p []byte) (int, error) {
	if c.ending == "" {
		return 0, io.EOF
	}
	n := copy(p, c.ending)
	c.ending = c.ending[n:]
	return n, nil
}
