package pipeline

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"guavacrank.example/gateway/memory"
	"guavacrank.example/traffic/framing"
)

// Options configure a Listener.
type Options struct {
	// MayReadAhead says whether a request without a body may be served before those before
	// it have been answered.
	MayReadAhead func(*http.Request) bool
	// Memory counts the requests read ahead; nil sets no limit.
	Memory *memory.Account
}

// Counts are the counters of a Listener.
type Counts struct {
	// Connections is the number of connections whose callers did not wait for a response.
	Connections int64 `json:"connections"`
	// ReadAhead is the number of requests read ahead.
	ReadAhead int64 `json:"read_ahead"`
	// InTurn is the number of requests that came ahead, too, and may not be read ahead.
	InTurn int64 `json:"in_turn"`
	// Open is the number of requests read ahead without a complete response now, and MostOpen its maximum.
	Open     int64 `json:"open"`
	MostOpen int64 `json:"most_open"`
}

// Listener accepts the connections of callers. The same http.Server must serve it and
// Requests, with WithConn as part of its ConnContext and ConnState.
type Listener struct {
	framing.Listener
	options Options

	requests chan net.Conn
	closed   chan struct{}
	close    sync.Once

	connections, readAhead, inTurn, open, mostOpen atomic.Int64
}

// NewListener returns a listener whose connections are those of another one.
func NewListener(listener net.Listener, options Options) *Listener {
	return &Listener{
		Listener: framing.Listener{Listener: listener},
		options:  options,
		requests: make(chan net.Conn),
		closed:   make(chan struct{}),
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(accepted.(*framing.Conn), l), nil
}

// Requests returns the listener of requests read ahead: each is a connection of its own.
func (l *Listener) Requests() net.Listener { return requestListener{l} }

// Counts returns the counters.
func (l *Listener) Counts() Counts {
	return Counts{l.connections.Load(), l.readAhead.Load(), l.inTurn.Load(), l.open.Load(), l.mostOpen.Load()}
}

// offer passes a request to the server, if it has not been shut down.
func (l *Listener) offer(request *request) bool {
	select {
	case l.requests <- request:
		return true
	case <-l.closed:
		return false
	}
}

// opened counts a request read ahead.
func (l *Listener) opened() {
	l.readAhead.Add(1)
	open := l.open.Add(1)
	for {
		most := l.mostOpen.Load()
		if open <= most || l.mostOpen.CompareAndSwap(most, open) {
			return
		}
	}
}

// requestListener implements net.Listener.
type requestListener struct{ *Listener }

// Accept implements net.Listener.
func (l requestListener) Accept() (net.Conn, error) {
	select {
	case request := <-l.requests:
		return request, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l requestListener) Close() error {
	l.close.Do(func() { close(l.closed) })
	return nil
}
