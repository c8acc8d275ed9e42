package pipeline

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
)

const (
	// maxHeldBytes limits the bytes of a connection that are read and wait for their turn.
	maxHeldBytes = 16 << 10
	// readBytes is the size of one read ahead.
	readBytes = 2 << 10
	// requestBytes is the memory that is counted for a request read ahead: buffers, stacks
	// and headers.
	requestBytes = 32 << 10
)

// Read implements net.Conn. Reads are never concurrent: net/http waits for the end of one
// before the next. Within a request it reads a single byte to notice the end of the
// connection; what comes then was sent ahead.
func (c *Conn) Read(p []byte) (int, error) {
	switch {
	case len(p) == 1 && c.isServed():
		return 0, c.readAhead(p)
	case !c.pipelined.Load():
		return c.readFirst(p)
	}
	return c.readNext(p)
}

// readFirst reads while nothing is held or open: for the next request, unless a part of it was
// read already.
func (c *Conn) readFirst(p []byte) (int, error) {
	if c.idler != nil && c.AtBoundary() {
		c.idler.Idle()
	}
	return c.Conn.Read(p)
}

// isServed reports whether net/http has read a request to its end and nothing beyond.
func (c *Conn) isServed() bool {
	return !c.passing && (len(c.held) > 0 || c.AtBoundary())
}

// readAhead reads until net/http has responded to its request or the connection ends, and
// returns the error that says so. The requests that come are served meanwhile, or held. Behind
// one that may end the connection all are held (RFC 9112, section 9.6).
func (c *Conn) readAhead(first []byte) error {
	if len(c.held) == 0 {
		c.lastPassed = c.Closes()
		before := c.Requests()
		n, err := c.Conn.Read(first)
		if n == 0 {
			return err
		}
		if err := c.beginPipeline(); err != nil {
			return err
		}
		c.hold(first[:n], c.Requests() > before)
	}
	c.beginServing()
	for !c.aborted() {
		if !c.lastPassed {
			c.handOver()
		}
		if err := c.readMore(); err != nil {
			return err
		}
	}
	return os.ErrDeadlineExceeded
}

// readNext reads for the next request that net/http serves on this connection. Until all
// requests read ahead have been answered, those that come are read ahead, too.
func (c *Conn) readNext(p []byte) (int, error) {
	for {
		open, err := c.openAhead()
		switch {
		case err != nil:
			return 0, err
		case open == 0 && len(c.held) > 0:
			return c.pass(p), nil
		case open == 0:
			return c.readFirst(p)
		}
		c.handOver()
		if err := c.readMore(); err != nil {
			return 0, err
		}
	}
}

// openAhead returns the number of open requests that were read ahead, or why no more
// requests are read.
func (c *Conn) openAhead() (int, error) {
	c.mu.Lock()
	open, failed, closing := len(c.ahead), c.queue.Failed(), c.closing
	c.mu.Unlock()
	switch {
	case closing:
		return 0, net.ErrClosed
	case failed:
		return 0, net.ErrClosed
	}
	return open, nil
}

// beginPipeline notes that the caller has not waited for a response.
func (c *Conn) beginPipeline() error {
	if c.pipelined.Swap(true) {
		return nil
	}
	c.listener.connections.Add(1)
	return c.limitWrite() // net/http may be writing already.
}

// beginServing gives the request that net/http serves its place in the queue.
func (c *Conn) beginServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.serving {
		c.current, c.serving = c.queue.Add()
	}
}

// aborted reports whether net/http has ended the read.
func (c *Conn) aborted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return passed(c.readDeadline)
}

// hold adds bytes to the last request. complete says that it ends with them.
func (c *Conn) hold(text []byte, complete bool) {
	if len(c.held) == 0 || c.held[len(c.held)-1].complete {
		c.held = append(c.held, heldRequest{})
	}
	last := &c.held[len(c.held)-1]
	last.text = append(last.text, text...)
	c.heldBytes += len(text)
	if complete {
		last.complete = true
		last.cacheControl, last.closes = c.TakeLastHead(), c.Closes()
	}
}

// readMore reads bytes, or waits for a change where none may be read. It returns without
// any after a change.
func (c *Conn) readMore() error {
	if !c.prepareRead() {
		return nil
	}
	text := make([]byte, min(readBytes, maxHeldBytes-c.heldBytes))
	before := c.Requests()
	n, err := c.Conn.Read(text)
	woken, restored := c.endRead()
	if n > 0 {
		c.hold(text[:n], c.Requests() > before)
	}
	switch {
	case woken && (err == nil || errors.Is(err, os.ErrDeadlineExceeded)):
		return restored
	case err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !c.Faulty():
		c.leave()
	}
	return err
}

// prepareRead reports whether bytes may be read. Otherwise there was a change.
func (c *Conn) prepareRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	full := c.Faulty() || c.heldBytes >= maxHeldBytes
	for full && c.changes == c.seen && !passed(c.readDeadline) {
		c.changed.Wait()
	}
	if full || c.changes != c.seen {
		c.seen = c.changes
		return false
	}
	c.wakeReader = len(c.held) > 0
	return true
}

// endRead reports whether the read was ended to look at a change.
func (c *Conn) endRead() (woken bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	woken = c.woken
	c.wakeReader, c.woken = false, false
	if woken {
		err = c.Conn.SetReadDeadline(c.readDeadline) // It was replaced to wake the reader.
	}
	return woken, err
}

// leave cancels all requests of a caller that has left.
func (c *Conn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail()
}

// handOver has the held requests served that may be read ahead, up to the first one that may
// not.
func (c *Conn) handOver() {
	for len(c.held) > 0 && c.held[0].complete && !c.blocked && c.handOverFirst() {
		c.removeFirst()
	}
}

// handOverFirst has the first held request served, if it may be read ahead.
func (c *Conn) handOverFirst() bool {
	first := c.held[0]
	if !c.mayReadAhead(first.text) {
		c.block()
		return false
	}
	request, added := c.open(first)
	if !added {
		return false
	}
	if !c.listener.offer(request) {
		_ = request.Close() // Never fails.
		return false
	}
	return true
}

// block keeps the first held request for its turn on this connection.
func (c *Conn) block() {
	c.blocked = true
	c.listener.inTurn.Add(1)
}

// mayReadAhead reports whether a complete request may be served before those before it
// have been answered.
func (c *Conn) mayReadAhead(text []byte) bool {
	request, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(text), len(text)))
	if err != nil {
		return false // net/http rejects it when its turn comes.
	}
	return request.Proto == "HTTP/1.1" && request.Method != http.MethodConnect && !request.Close &&
		request.ContentLength == 0 && len(request.TransferEncoding) == 0 &&
		request.Header.Get("Expect") == "" && request.Header.Get("Upgrade") == "" &&
		c.listener.options.MayReadAhead(request)
}

// open gives a request its place in the queue, if there is one and memory for it.
func (c *Conn) open(held heldRequest) (opened *request, added bool) {
	holding := c.listener.options.Memory.Hold(memoryKind)
	if err := holding.Reserve(requestBytes); err != nil {
		c.block()
		return nil, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	number, added := c.queue.Add()
	if !added {
		holding.Release()
		return nil, false
	}
	opened = &request{conn: c, number: number, text: held.text, cacheControl: held.cacheControl, holding: holding}
	c.ahead = append(c.ahead, opened)
	c.listener.opened()
	return opened, true
}

// pass passes bytes of the first held request to net/http.
func (c *Conn) pass(p []byte) int {
	first := &c.held[0]
	n := copy(p, first.text)
	first.text = first.text[n:]
	c.heldBytes -= n
	c.passing = len(first.text) > 0
	if c.passing {
		return n
	}
	if first.complete {
		c.ReturnHead(first.cacheControl)
		c.lastPassed = first.closes
	}
	c.removeFirst()
	return n
}

// removeFirst removes the first held request.
func (c *Conn) removeFirst() {
	c.heldBytes -= len(c.held[0].text)
	c.held = slices.Delete(c.held, 0, 1)
	c.blocked = false
}
