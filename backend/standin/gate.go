package standin

import (
	"net"
	"sync"
)

// gate holds everything that passes it while it is shut, as a frozen process does.
type gate struct {
	mu    sync.Mutex
	open  chan struct{} // Closed while the gate is open.
	shut  bool
	ended bool // The process is gone: nothing passes any more.
}

func newGate() *gate {
	open := make(chan struct{})
	close(open)
	return &gate{open: open}
}

// close shuts the gate until reopen.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut {
		return
	}
	g.shut = true
	g.open = make(chan struct{})
}

func (g *gate) reopen() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.shut {
		return
	}
	g.shut = false
	close(g.open)
}

// end lets everything that waits go on, to find that the process is gone.
func (g *gate) end() {
	g.mu.Lock()
	g.ended = true
	g.mu.Unlock()
	g.reopen()
}

// pass waits until the gate is open and reports whether the process still runs.
func (g *gate) pass() bool {
	for {
		g.mu.Lock()
		open, shut, ended := g.open, g.shut, g.ended
		g.mu.Unlock()
		if ended {
			return false
		}
		if !shut {
			return true
		}
		<-open
	}
}

// gatedListener accepts nothing while the gate is shut; the kernel's backlog
// still takes connections, as for a frozen process.
type gatedListener struct {
	net.Listener
	gate *gate
}

// Accept implements net.Listener.
func (l *gatedListener) Accept() (net.Conn, error) {
	if !l.gate.pass() {
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !l.gate.pass() {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	return &gatedConn{Conn: conn, gate: l.gate}, nil
}

// gatedConn neither reads nor writes while the gate is shut. Bytes stay in the
// kernel's buffers and are read once it opens.
type gatedConn struct {
	net.Conn
	gate *gate
}

// Read implements net.Conn.
func (c *gatedConn) Read(b []byte) (int, error) {
	if !c.gate.pass() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(b)
	if !c.gate.pass() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *gatedConn) Write(b []byte) (int, error) {
	if !c.gate.pass() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}
