package demo

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
)

// errCutOff is a connection that the cut-off VM can't make or use.
var errCutOff = errors.New("cut off")

// cutOffDialer dials unless it is cut off; then its connections break too.
type cutOffDialer struct {
	dialer net.Dialer
	cutOff *atomic.Bool
}

// DialContext dials like net.Dialer.
func (d *cutOffDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if d.cutOff.Load() {
		return nil, &net.OpError{Op: "dial", Net: network, Err: errCutOff}
	}
	conn, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &cutOffConn{Conn: conn, cutOff: d.cutOff}, nil
}

// cutOffConn breaks when it is used while cut off.
type cutOffConn struct {
	net.Conn
	cutOff *atomic.Bool
}

// Read implements net.Conn.
func (c *cutOffConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.cutOff.Load() {
		c.Conn.Close()
		return 0, errCutOff
	}
	return n, err
}

// Write implements net.Conn.
func (c *cutOffConn) Write(b []byte) (int, error) {
	if c.cutOff.Load() {
		c.Conn.Close()
		return 0, errCutOff
	}
	return c.Conn.Write(b)
}
