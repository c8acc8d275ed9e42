package framing

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
)

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// WithConn returns a context for the requests of a connection; it is an
// http.Server's ConnContext.
func WithConn(ctx context.Context, accepted net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, accepted)
}

// RestoreHeader removes from a request what net/http has added to its header: a
// Cache-Control beside a Pragma. It must be called once for each request of a connection,
// in their order.
func RestoreHeader(request *http.Request) {
	checked, isChecked := request.Context().Value(connKey{}).(interface{ TakeHead() bool })
	if isChecked && !checked.TakeHead() {
		delete(request.Header, "Cache-Control")
	}
}

// TakeHead returns whether the head of the request that is handled next has a Cache-Control.
func (c *Conn) TakeHead() (cacheControl bool) { return c.heads.take() }

// TakeLastHead returns the same of the head that was read last, which then counts as
// handled.
func (c *Conn) TakeLastHead() (cacheControl bool) { return c.heads.takeLast() }

// ReturnHead makes a head that was taken the one of the request that is handled next.
func (c *Conn) ReturnHead(cacheControl bool) { c.heads.addFirst(cacheControl) }

// sentHeads holds, for each head that was passed on and not handled yet, whether it has
// a Cache-Control.
type sentHeads struct {
	mu      sync.Mutex
	waiting []bool
}

func (h *sentHeads) add(cacheControl bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiting = append(h.waiting, cacheControl)
}

// take returns what was added first. Without any it is true, so that nothing is removed.
func (h *sentHeads) take() (cacheControl bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.waiting) == 0 {
		return true
	}
	cacheControl = h.waiting[0]
	h.waiting = append(h.waiting[:0], h.waiting[1:]...)
	return cacheControl
}

// takeLast returns what was added last. There must be one.
func (h *sentHeads) takeLast() (cacheControl bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := len(h.waiting) - 1
	cacheControl = h.waiting[last]
	h.waiting = h.waiting[:last]
	return cacheControl
}

// addFirst adds a head before all others.
func (h *sentHeads) addFirst(cacheControl bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waiting = slices.Insert(h.waiting, 0, cacheControl)
}
