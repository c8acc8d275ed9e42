package linger

import (
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// errNoStream reports a listener whose connections can't be closed in one direction.
var errNoStream = errors.New("the connection is not one of TCP")

// Unsent describes a connection that was closed while its caller had not acknowledged all
// responses.
type Unsent struct {
	// Bytes is the number of bytes that were written and not acknowledged.
	Bytes int
	// Unread is the number of bytes that were received and not read.
	Unread int
}

// Counts are the counters of Connections.
type Counts struct {
	// Open is the number of connections now, Lingering included.
	Open int `json:"open"`
	// Lingering is the number of connections that linger now.
	Lingering int `json:"lingering"`
	// ClosedUnsent is the number of connections that were closed while responses were unsent.
	ClosedUnsent int64 `json:"closed_unsent"`
}

// Connections are the connections of callers that are not closed. It is safe for concurrent use.
type Connections struct {
	onUnsent     func(Unsent)
	closedUnsent atomic.Int64

	mu        sync.Mutex
	listeners []net.Listener
	open      map[*Conn]struct{}
}

// NewConnections returns an empty set. onUnsent, if not nil, is called for each connection that is
// closed while its caller has not acknowledged all responses.
func NewConnections(onUnsent func(Unsent)) *Connections {
	return &Connections{onUnsent: onUnsent, open: make(map[*Conn]struct{})}
}

// Listen returns a listener whose connections are those of another one, which must be like those
// of TCP. Each is a Conn.
func (c *Connections) Listen(listener net.Listener) net.Listener {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listeners = append(c.listeners, listener)
	return trackedListener{listener, c}
}

// trackedListener implements net.Listener.
type trackedListener struct {
	net.Listener
	connections *Connections
}

// Accept implements net.Listener.
func (l trackedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	below, isStream := accepted.(stream)
	if !isStream {
		return nil, errors.Join(errNoStream, accepted.Close())
	}
	return l.connections.add(below), nil
}

// Counts returns the counters.
func (c *Connections) Counts() Counts {
	counts := Counts{ClosedUnsent: c.closedUnsent.Load()}
	for _, conn := range c.all() {
		counts.Open++
		if conn.lingers() {
			counts.Lingering++
		}
	}
	return counts
}

// CloseListeners ends the accepting of connections.
func (c *Connections) CloseListeners() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var errs []error
	for _, listener := range c.listeners {
		errs = append(errs, listener.Close())
	}
	return errors.Join(errs...)
}

// EndIdle ends the connections that are idle and whose callers have all responses. No request is
// read on them any more, so that their callers know that it has not run.
func (c *Connections) EndIdle() {
	for _, conn := range c.all() {
		conn.endIdle()
	}
}

// Unfinished returns the number of connections on which a request is unanswered, or whose
// callers may still lose a response.
func (c *Connections) Unfinished() int {
	now := time.Now()
	unfinished := 0
	for _, conn := range c.all() {
		if conn.unfinished(now) {
			unfinished++
		}
	}
	return unfinished
}

// Abandon closes all connections at once.
func (c *Connections) Abandon() {
	for _, conn := range c.all() {
		conn.abandon()
	}
}

// all returns the connections that are not closed.
func (c *Connections) all() []*Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.open))
}

func (c *Connections) add(below stream) *Conn {
	conn := &Conn{stream: below, connections: c, idle: true}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = struct{}{}
	return conn
}

func (c *Connections) remove(conn *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn)
}

func (c *Connections) reportUnsent(closed Unsent) {
	c.closedUnsent.Add(1)
	if c.onUnsent != nil {
		c.onUnsent(closed)
	}
}
