// Package smallwindow opens TCP connections that have little room for what was not read, for
// tests of callers that read slowly: what they have not read stays in the other side's send queue.
package smallwindow

import (
	"net"
	"syscall"
	"time"
)

const (
	// Bytes is the receive buffer of a connection.
	Bytes = 8 << 10
	// segmentBytes is the size of its segments, as over Ethernet. Over loopback they are larger
	// than the window, which is then used slowly.
	segmentBytes = 1448
	dialTimeout  = time.Second
)

// Dial connects to an address, IP:port.
func Dial(address string) (*net.TCPConn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: limit}
	conn, err := dialer.Dial("tcp4", address)
	if err != nil {
		return nil, err
	}
	return conn.(*net.TCPConn), nil
}

// limit sets the options of a socket.
func limit(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
		if optionErr == nil {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, Bytes)
		}
	})
	if err != nil {
		return err
	}
	return optionErr
}
