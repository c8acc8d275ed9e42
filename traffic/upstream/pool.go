// Package upstream sends requests over HTTP/1.1 connections whose number is
// bounded, and tells for each failure whether a byte of the request was sent.
//
// net/http's Transport repeats some requests by itself when a reused
// connection fails, and does not say what was sent; a request that must not
// run twice needs both. Requests and answers are written and parsed by
// net/http; only the connections are handled here.
package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Options configure a Pool.
type Options struct {
	// Address is the IP:port of the other side.
	Address string
	// MaxConnections is the greatest number of connections open at once.
	MaxConnections int
	// ConnectTimeout bounds one connect.
	ConnectTimeout time.Duration
	// IdleTimeout is the longest time that an unused connection is kept.
	IdleTimeout time.Duration
	// MaxHeaderBytes limits the headers of an answer.
	MaxHeaderBytes int64
	// AcceptUnframed takes an answer that ends with its connection, if the
	// connection ends without a reset.
	AcceptUnframed bool
	// MatchesRequest says whether an answer belongs to the request; one that does not
	// is read and passed over. Nil means that every answer does.
	MatchesRequest func(request *http.Request, answer *http.Response) bool
	// KeepAliveTimeout reads from an answer how long the server keeps the connection
	// open without use; zero means that it does not say. Nil never says.
	KeepAliveTimeout func(answer *http.Response) time.Duration
	// RefusalDelay is what a server takes to end a new connection for want of room,
	// beyond the way there and back. A request that must not run twice is sent on
	// a new connection only after that time, and so is every request for a while
	// after the server did so: the failure then proves that it did not run. Zero
	// sends at once.
	RefusalDelay time.Duration
	// IdleLimit learns how long connections may go unused; nil trusts all.
	IdleLimit *IdleLimit
	// Control is called with each new connection before it is made; nil does
	// nothing.
	Control func(network, address string, raw syscall.RawConn) error
}

// Defaults of Options.
const (
	DefaultConnectTimeout = 500 * time.Millisecond
	DefaultIdleTimeout    = 20 * time.Second
	DefaultMaxHeaderBytes = 64 << 10
	// freshAfter is the idle time after which a request that must not run
	// twice gets a new connection: the server may be closing an old one.
	freshAfter = time.Second
	// settleMost bounds the way there and back that is waited for.
	settleMost = 60 * time.Millisecond
	// refusedTime is how long a server that ended a new connection is expected
	// to end others.
	refusedTime = 3 * time.Second
)

var (
	errNoConnection = errors.New("all connections in use")
	errClosed       = errors.New("pool closed")
)

// Pool holds the connections to one address. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  net.Dialer

	mu     sync.Mutex
	idle   []*conn // The most recently used is last.
	open   int
	limit  int
	closed bool
	// refusedUntil ends the time in which new connections are looked at before
	// they are used.
	refusedUntil time.Time
}

// NewPool returns a pool without connections.
func NewPool(options Options) *Pool {
	if options.ConnectTimeout == 0 {
		options.ConnectTimeout = DefaultConnectTimeout
	}
	if options.IdleTimeout == 0 {
		options.IdleTimeout = DefaultIdleTimeout
	}
	if options.MaxHeaderBytes == 0 {
		options.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	return &Pool{
		options: options,
		dialer:  net.Dialer{Timeout: options.ConnectTimeout, Control: options.Control},
		limit:   options.MaxConnections,
	}
}

// SetLimit changes the greatest number of connections. Surplus ones are closed
// as they become idle.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	p.limit = limit
	var surplus []*conn
	for p.open > p.limit && len(p.idle) > 0 {
		surplus = append(surplus, p.idle[0])
		p.idle = p.idle[1:]
		p.open--
	}
	p.mu.Unlock()
	closeAll(surplus)
}

// Open returns the number of connections open or being opened.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// CloseIdle closes connections that were idle longer than the idle timeout.
func (p *Pool) CloseIdle(now time.Time) {
	p.mu.Lock()
	var old []*conn
	for len(p.idle) > 0 && now.Sub(p.idle[0].idleSince) > p.options.IdleTimeout {
		old = append(old, p.idle[0])
		p.idle = p.idle[1:]
		p.open--
	}
	p.mu.Unlock()
	closeAll(old)
}

// Close closes idle connections now and the others as their requests end.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	p.mu.Unlock()
	closeAll(idle)
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		c.Close()
	}
}

// acquire returns a live idle connection or opens one.
func (p *Pool) acquire(ctx context.Context, once bool) (*conn, *Failure) {
	for {
		c, failure := p.takeIdle(once)
		if failure != nil {
			return nil, failure
		}
		if c == nil {
			return p.dial(ctx, once)
		}
		c.unused = time.Since(c.idleSince)
		if c.alive() {
			c.reused = true
			return c, nil
		}
		p.discard(c)
	}
}

// takeIdle returns an idle connection, or nil after reserving a place for a new one.
func (p *Pool) takeIdle(once bool) (*conn, *Failure) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, &Failure{Stage: StageLimit, Err: errClosed}
	}
	if last := len(p.idle) - 1; last >= 0 {
		c := p.idle[last]
		idle := time.Since(c.idleSince)
		p.idle = p.idle[:last]
		if idle <= min(p.options.IdleTimeout, c.keepAlive) && (!once || idle <= freshAfter) && p.options.IdleLimit.Allows(time.Now(), idle) {
			return c, nil
		}
		c.Close()
		return nil, nil // Its place goes to the new connection.
	}
	if p.open >= p.limit {
		return nil, &Failure{Stage: StageLimit, Err: errNoConnection}
	}
	p.open++
	return nil, nil
}

// dial makes a connection in a place that was reserved for it.
func (p *Pool) dial(ctx context.Context, once bool) (*conn, *Failure) {
	began := time.Now()
	raw, err := p.dialer.DialContext(ctx, "tcp", p.options.Address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, &Failure{Stage: StageConnect, Timeout: ctx.Err() != nil, Err: err}
	}
	c := newConn(raw)
	if !p.settles(once) {
		return c, nil
	}
	if err := c.accepted(min(time.Since(began), settleMost) + p.options.RefusalDelay); err != nil {
		p.discard(c)
		p.refused()
		return nil, &Failure{Stage: StageRefused, Err: err}
	}
	return c, nil
}

// settles says whether a new connection is looked at before it is used.
func (p *Pool) settles(once bool) bool {
	if p.options.RefusalDelay == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return once || time.Now().Before(p.refusedUntil)
}

// refused notes that the server ended a new connection.
func (p *Pool) refused() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusedUntil = time.Now().Add(refusedTime)
}

// release returns a connection whose exchange ended cleanly.
func (p *Pool) release(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	if p.closed || p.open > p.limit {
		p.mu.Unlock()
		p.discard(c)
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// discard closes a connection.
func (p *Pool) discard(c *conn) {
	c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// Do sends one request, once, and returns the answer's head; the caller must
// close its body. With once set, the request must not run twice and gets a
// connection that the server is unlikely to be closing.
func (p *Pool) Do(ctx context.Context, request *http.Request, once bool) (*Answer, *Failure) {
	c, failure := p.acquire(ctx, once)
	if failure != nil {
		return nil, failure
	}
	x := &exchange{pool: p, conn: c, ctx: ctx, request: request, began: time.Now()}
	return x.run()
}
