package framing

import (
	"context"
	"net"
	"net/http"
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
	checked, isChecked := request.Context().Value(connKey{}).(*conn)
	if isChecked && !checked.heads.take() {
		delete(request.Header, "Cache-Control")
	}
}

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
