package pipeline

import (
	"io"
	"net"
	"os"
	"slices"
	"time"

	"guavacrank.example/gateway/memory"
)

// memoryKind is the kind of memory that requests read ahead are counted as.
const memoryKind = memory.ReadAhead

// turnGrace is the least time to write a response from its turn on, whatever limit it had
// before.
const turnGrace = 2 * time.Second

// request is one request read ahead, as a connection of its own. It ends after the
// response.
type request struct {
	conn         *Conn
	number       uint64
	cacheControl bool
	holding      *memory.Holding

	// The fields below are guarded by conn.mu.

	// text is what net/http has not read yet.
	text []byte
	// over says that there is nothing more to read: the response is complete, or the
	// connection has failed.
	over         bool
	answered     bool
	closed       bool
	readDeadline time.Time
	// writeDeadline is what net/http has set, and turnDeadline the one since the turn came.
	writeDeadline time.Time
	turnDeadline  time.Time
}

// TakeHead tells package framing about the head.
func (r *request) TakeHead() (cacheControl bool) { return r.cacheControl }

// Read implements net.Conn. After the text it waits for the end.
func (r *request) Read(p []byte) (int, error) {
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	for {
		switch {
		case r.over:
			return 0, io.EOF
		case len(r.text) > 0:
			n := copy(p, r.text)
			r.text = r.text[n:]
			return n, nil
		case passed(r.readDeadline):
			return 0, os.ErrDeadlineExceeded
		}
		r.conn.changed.Wait()
	}
}

// Write implements net.Conn. It waits for the turn of the response.
func (r *request) Write(p []byte) (int, error) {
	deadline, err := r.awaitWrite()
	if err != nil {
		return 0, err
	}
	if err := r.conn.Conn.SetWriteDeadline(deadline); err != nil {
		return 0, err
	}
	return r.conn.Conn.Write(p)
}

// awaitWrite waits for the turn of the response and returns the deadline of its writes.
func (r *request) awaitWrite() (time.Time, error) {
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	if !r.wait() {
		return time.Time{}, net.ErrClosed
	}
	if r.turnDeadline.IsZero() {
		r.turnDeadline = r.deadlineFrom(time.Now())
	}
	return r.turnDeadline, nil
}

// deadlineFrom returns the deadline of writes whose turn comes at a time.
func (r *request) deadlineFrom(turn time.Time) time.Time {
	if r.writeDeadline.IsZero() {
		return turn.Add(writeTimeout)
	}
	if least := turn.Add(turnGrace); r.writeDeadline.Before(least) {
		return least
	}
	return r.writeDeadline
}

// wait waits until the turn has come and reports whether it has. The caller holds conn.mu.
func (r *request) wait() bool {
	for r.conn.queue.Turn(r.number) == Later {
		r.conn.changed.Wait()
	}
	return r.conn.queue.Turn(r.number) == Now
}

// SetReadDeadline implements net.Conn. A deadline in the future has no effect: the text is
// complete.
func (r *request) SetReadDeadline(deadline time.Time) error {
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	r.readDeadline = deadline
	r.conn.changed.Broadcast()
	return nil
}

// SetWriteDeadline implements net.Conn. The deadline does not run before the turn.
func (r *request) SetWriteDeadline(deadline time.Time) error {
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	r.writeDeadline = deadline
	return nil
}

// SetDeadline implements net.Conn.
func (r *request) SetDeadline(deadline time.Time) error {
	if err := r.SetReadDeadline(deadline); err != nil {
		return err
	}
	return r.SetWriteDeadline(deadline)
}

// LocalAddr implements net.Conn.
func (r *request) LocalAddr() net.Addr { return r.conn.LocalAddr() }

// RemoteAddr implements net.Conn.
func (r *request) RemoteAddr() net.Addr { return r.conn.RemoteAddr() }

// Close implements net.Conn. Before the response is complete it closes the caller's
// connection, after the responses to the requests before.
func (r *request) Close() error {
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	if r.closed {
		return nil
	}
	r.closed, r.over = true, true
	r.holding.Release()
	if r.answered {
		return nil
	}
	r.remove()
	if r.conn.queue.Failed() {
		return nil
	}
	r.conn.queue.Close(r.number)
	r.conn.settle()
	return nil
}

// responded implements served.
func (r *request) responded() {
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	if r.answered || r.closed {
		return
	}
	r.answered, r.over = true, true
	r.remove()
	if r.conn.queue.Failed() {
		return
	}
	_ = r.conn.Conn.SetWriteDeadline(time.Time{}) // Fails only on a closed connection.
	r.conn.queue.Answered(r.number)
	r.conn.settle()
}

// remove takes the request off those of its connection. The caller holds conn.mu.
func (r *request) remove() {
	at := slices.Index(r.conn.ahead, r)
	r.conn.ahead = slices.Delete(r.conn.ahead, at, at+1)
	r.conn.listener.open.Add(-1)
}

// endAfter implements served.
func (r *request) endAfter() bool {
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	return r.conn.queue.EndAfter(r.number)
}

// awaitTurn implements served.
func (r *request) awaitTurn() bool {
	r.conn.mu.Lock()
	defer r.conn.mu.Unlock()
	return r.wait()
}
