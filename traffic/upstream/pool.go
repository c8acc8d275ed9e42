// Package upstream sends requests over HTTP/1.1 connections whose number is
// bounded, and reports for each failure whether a byte of the request was sent.
//
// net/http's Transport retries some requests by itself when a reused
// connection fails, and does not report whether any byte was sent; a
// non-idempotent request needs the opposite on both counts. Requests and
// responses are written and parsed by net/http; this package only manages the
// connections.
package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Options configure a Pool.
type Options struct {
	// Address is the IP:port to connect to.
	Address string
	// MaxConnections is the maximum number of connections open at once.
	MaxConnections int
	// ConnectTimeout bounds one connection attempt.
	ConnectTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// KeptIdleTimeout is how long the connection that was used last is kept if the server
	// says that it keeps it for longer; zero means IdleTimeout.
	KeptIdleTimeout time.Duration
	// Opened counts new connections; nil counts nothing.
	Opened *Opened
	// MaxHeaderBytes limits the size of response headers.
	MaxHeaderBytes int64
	// HeaderMemory, if set, returns what counts the headers of one response.
	HeaderMemory func() HeaderMemory
	// AcceptUnframed accepts a response whose body is delimited by the close of
	// the connection, unless the connection is reset.
	AcceptUnframed bool
	// MatchesRequest reports whether a response belongs to the request; one that
	// does not is read and discarded. Nil accepts every response.
	MatchesRequest func(request *http.Request, response *http.Response) bool
	// AfterReceipt discards responses that come before the server's host has acknowledged
	// the whole request, as TCP does with the request's own response at the latest.
	AfterReceipt bool
	// KeepAliveTimeout returns how long the server keeps an idle connection open
	// according to a response; zero means that the response does not say. Nil
	// applies no such limit.
	KeepAliveTimeout func(response *http.Response) time.Duration
	// RefusalDelay is how long, in addition to a round trip, a server that has
	// reached its connection limit takes to close a new connection. A
	// non-idempotent request is sent on a new connection only after that time,
	// and so is every request for refusalMemory after the server closed one: the
	// close is then seen before the request is sent, which proves that it did
	// not run. Zero sends at once.
	RefusalDelay time.Duration
	// IdleLimit learns how long connections may stay idle and still be reused;
	// nil sets no limit.
	IdleLimit *IdleLimit
	// Control is the net.Dialer's Control function; it may be nil.
	Control func(network, address string, raw syscall.RawConn) error
	// Dial opens a connection. Nil means a net.Dialer with ConnectTimeout and Control.
	Dial Dial
}

// Dial opens a connection to an address, as the method DialContext of net.Dialer does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// HeaderMemory counts the memory for the headers of one response.
type HeaderMemory interface {
	// Grow counts bytes before memory is allocated for them. An error ends the
	// exchange.
	Grow(bytes int64) error
	// Release ends the count.
	Release()
}

// Defaults of Options.
const (
	DefaultConnectTimeout = 500 * time.Millisecond
	DefaultIdleTimeout    = 20 * time.Second
	DefaultMaxHeaderBytes = 64 << 10
	// maxIdleNonIdempotent is the idle time after which a connection is not
	// reused for a non-idempotent request: the server may be closing it.
	maxIdleNonIdempotent = time.Second
	// maxRoundTripWait bounds the round trip time that is added to RefusalDelay.
	maxRoundTripWait = 60 * time.Millisecond
	// refusalMemory is how long a server that closed a new connection is
	// expected to close other new ones.
	refusalMemory = 3 * time.Second
)

var (
	errConnectionLimit = errors.New("all connections in use")
	errClosed          = errors.New("pool closed")
	// ErrNoneOpen reports that a pool has no open connection that is idle.
	ErrNoneOpen = errors.New("no open connection")
)

// Pool is a pool of connections to one address. It is safe for concurrent use.
type Pool struct {
	options Options

	mu     sync.Mutex
	idle   []*conn // The most recently used is last.
	open   int
	limit  int
	closed bool
	// refusedUntil is the time until which every new connection is checked for
	// a close by the server before it is used.
	refusedUntil time.Time
	// ended is why the last connection ended that none has replaced yet.
	ended OpenCause
}

// NewPool returns a pool without open connections.
func NewPool(options Options) *Pool {
	if options.ConnectTimeout == 0 {
		options.ConnectTimeout = DefaultConnectTimeout
	}
	if options.IdleTimeout == 0 {
		options.IdleTimeout = DefaultIdleTimeout
	}
	options.KeptIdleTimeout = max(options.KeptIdleTimeout, options.IdleTimeout)
	if options.MaxHeaderBytes == 0 {
		options.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if options.Dial == nil {
		dialer := &net.Dialer{Timeout: options.ConnectTimeout, Control: options.Control}
		options.Dial = dialer.DialContext
	}
	return &Pool{options: options, limit: options.MaxConnections}
}

// SetLimit changes the maximum number of connections. Surplus ones are closed
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

// Close closes idle connections immediately and the others when their requests end.
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

// Used holds the connections on which a request was sent. It is safe for concurrent
// use; nil holds none.
type Used struct {
	mu    sync.Mutex
	conns []*conn
}

func (u *Used) has(c *conn) bool {
	if u == nil {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Contains(u.conns, c)
}

func (u *Used) add(c *conn) {
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns = append(u.conns, c)
}

// acquire returns an idle connection that is still open and not in used, or opens one.
func (p *Pool) acquire(ctx context.Context, nonIdempotent bool, used *Used) (*conn, *Failure) {
	for {
		c, cause, failure := p.takeIdle(nonIdempotent, used)
		if failure != nil {
			return nil, failure
		}
		if c == nil {
			p.options.Opened.add(cause)
			return p.dial(ctx, nonIdempotent)
		}
		c.idleTime = time.Since(c.idleSince)
		if c.alive() {
			c.reused = true
			return c, nil
		}
		p.discard(c, OpenedAfterClose)
	}
}

// dial opens a connection in a slot that was reserved for it.
func (p *Pool) dial(ctx context.Context, nonIdempotent bool) (*conn, *Failure) {
	start := time.Now()
	raw, err := p.options.Dial(ctx, "tcp", p.options.Address)
	if err != nil {
		p.freeSlot(OpenedAfterFailure)
		return nil, &Failure{Stage: StageConnect, Timeout: ctx.Err() != nil, Err: err}
	}
	c := newConn(raw)
	if !p.checksNew(nonIdempotent) {
		return c, nil
	}
	if err := c.awaitRefusal(min(time.Since(start), maxRoundTripWait) + p.options.RefusalDelay); err != nil {
		p.discard(c, OpenedAfterRefusal)
		p.recordRefusal()
		return nil, &Failure{Stage: StageRefused, Err: err}
	}
	return c, nil
}

// checksNew reports whether a new connection is checked before it is used.
func (p *Pool) checksNew(nonIdempotent bool) bool {
	if p.options.RefusalDelay == 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return nonIdempotent || time.Now().Before(p.refusedUntil)
}

// recordRefusal records that the server closed a new connection.
func (p *Pool) recordRefusal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusedUntil = time.Now().Add(refusalMemory)
}

// release makes a connection idle after its exchange ended cleanly.
func (p *Pool) release(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	if p.closed || p.open > p.limit {
		p.mu.Unlock()
		p.discard(c, OpenedForLoad)
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// discard closes a connection and frees its slot. cause is why a new one will be needed.
func (p *Pool) discard(c *conn, cause OpenCause) {
	c.Close()
	p.freeSlot(cause)
}

// freeSlot frees the slot of a connection.
func (p *Pool) freeSlot(cause OpenCause) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.ended = cause
}

// Do sends one request, without retries, and returns the response headers; the
// caller must close the body. A request with nonIdempotent set gets a connection
// that the server is unlikely to be closing. A request target in URL.Opaque is sent as
// it is; Method must be set.
func (p *Pool) Do(ctx context.Context, request *http.Request, nonIdempotent bool) (*Response, *Failure) {
	return p.DoUnused(ctx, request, nonIdempotent, nil)
}

// DoUnused is Do on a connection that is not in used, which is added to it. A request
// that is sent again never sees a copy of an earlier response to it in this way.
func (p *Pool) DoUnused(ctx context.Context, request *http.Request, nonIdempotent bool, used *Used) (*Response, *Failure) {
	c, failure := p.acquire(ctx, nonIdempotent, used)
	if failure != nil {
		return nil, failure
	}
	used.add(c)
	return p.exchange(ctx, c, request)
}

// DoOpen is Do on a connection that is open already. Without one it sends nothing and
// fails with ErrNoneOpen: a new connection may lead to another process.
func (p *Pool) DoOpen(ctx context.Context, request *http.Request) (*Response, *Failure) {
	c, _, failure := p.takeIdle(false, nil)
	switch {
	case failure != nil:
		return nil, failure
	case c == nil:
		p.freeSlot(OpenedForLoad)
		return nil, &Failure{Stage: StageLimit, Err: ErrNoneOpen}
	}
	c.idleTime = time.Since(c.idleSince)
	if !c.alive() {
		p.discard(c, OpenedAfterClose)
		return nil, &Failure{Stage: StageLimit, Err: ErrNoneOpen}
	}
	c.reused = true
	return p.exchange(ctx, c, request)
}

// exchange sends a request on a connection.
func (p *Pool) exchange(ctx context.Context, c *conn, request *http.Request) (*Response, *Failure) {
	x := &exchange{pool: p, conn: c, ctx: ctx, request: request, start: time.Now()}
	return x.run()
}

func (p *Pool) headerMemory() HeaderMemory {
	if p.options.HeaderMemory == nil {
		return nil
	}
	return p.options.HeaderMemory()
}
