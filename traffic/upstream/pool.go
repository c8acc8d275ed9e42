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
	// Connections is the greatest number of connections open at once.
	Connections int
	// ConnectTimeout bounds one connect.
	ConnectTimeout time.Duration
	// IdleTimeout is the longest time that an unused connection is kept.
	IdleTimeout time.Duration
	// MaxHeaderBytes limits the headers of an answer.
	MaxHeaderBytes int64
	// AcceptUnframed takes an answer that ends with its connection, if the
	// connection ends without a reset.
	AcceptUnframed bool
	// Belongs says whether an answer belongs to the request; one that does not
	// is read and passed over. Nil means that every answer does.
	Belongs func(request *http.Request, answer *http.Response) bool
	// KeepAlive reads from an answer how long the server keeps the connection
	// open without use; zero means that it does not say. Nil never says.
	KeepAlive func(answer *http.Response) time.Duration
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
		limit:   options.Connections,
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
			return p.dial(ctx)
		}
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
		if idle <= min(p.options.IdleTimeout, c.keepAlive) && (!once || idle <= freshAfter) {
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

func (p *Pool) dial(ctx context.Context) (*conn, *Failure) {
	raw, err := p.dialer.DialContext(ctx, "tcp", p.options.Address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, &Failure{Stage: StageConnect, Timeout: ctx.Err() != nil, Err: err}
	}
	return newConn(raw), nil
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
	x := &exchange{pool: p, conn: c, ctx: ctx, request: request}
	return x.run()
}
