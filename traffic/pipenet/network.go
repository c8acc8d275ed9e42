// Package pipenet is a network within one process, for tests on a virtual clock.
//
// A goroutine that waits for a socket keeps the clock of testing/synctest from
// advancing; one that waits for a connection of this package does not.
package pipenet

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Network connects the listeners and callers of one test. Its zero value is a network
// without listeners. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

// Listen returns a listener at an address, which may be any text. It replaces an earlier
// listener at that address.
func (n *Network) Listen(address string) net.Listener {
	l := &listener{address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
	}
	n.listeners[address] = l
	return l
}

// Dial connects to the listener at an address. It fails with ECONNREFUSED if there is
// none.
func (n *Network) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, refused(address)
	}
	caller, server := net.Pipe()
	select {
	case l.accepted <- server:
		return caller, nil
	case <-l.closed:
		return nil, refused(address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// refused returns the error of a connection to an address without a listener.
func refused(name string) error {
	return &net.OpError{Op: "dial", Net: "pipe", Addr: address(name), Err: syscall.ECONNREFUSED}
}

// listener implements net.Listener.
type listener struct {
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	close    sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.close.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return address(l.address) }

// address is the address of a listener.
type address string

// Network implements net.Addr.
func (address) Network() string { return "pipe" }

// String implements net.Addr.
func (a address) String() string { return string(a) }
