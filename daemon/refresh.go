package daemon

import (
	"context"
	"sync"
	"time"
)

// refreshPause is the least time between two reads of one service's page that
// refusals cause on one VM.
const refreshPause = 100 * time.Millisecond

// refresher reads pages again after servers refused requests, at a bounded rate.
type refresher struct {
	mu      sync.Mutex
	pending map[string]bool
}

// begin reports whether a read of the service may start now.
func (r *refresher) begin(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending[service] {
		return false
	}
	if r.pending == nil {
		r.pending = make(map[string]bool)
	}
	r.pending[service] = true
	return true
}

func (r *refresher) end(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pending, service)
}

// refreshPage reads a service's page after a refusal showed that it changed.
// It does not block.
func (d *Daemon) refreshPage(service string) {
	if !d.refreshes.begin(service) {
		return
	}
	go func() {
		defer d.refreshes.end(service)
		d.readPage(d.killed, service)
	}()
}

// readPage reads a page and then pauses.
func (d *Daemon) readPage(ctx context.Context, service string) {
	if page, err := d.loop.pages.Read(ctx, service); err == nil && page.Version != 0 {
		d.loop.feed(ctx, page)
	}
	pause := time.NewTimer(refreshPause)
	defer pause.Stop()
	select {
	case <-pause.C:
	case <-ctx.Done():
	}
}
