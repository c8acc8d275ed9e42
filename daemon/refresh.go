package daemon

import (
	"context"
	"sync"
	"time"
)

// refreshInterval is the minimum time between two reads of a service's page that
// rejected requests cause on one VM.
const refreshInterval = 100 * time.Millisecond

// pageRefresher limits the rate at which pages are read again after servers have
// rejected requests.
type pageRefresher struct {
	mu      sync.Mutex
	pending map[string]bool
}

// begin reports whether a read of the service's page may start now, and if so
// marks it as pending.
func (r *pageRefresher) begin(service string) bool {
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

func (r *pageRefresher) end(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pending, service)
}

// refreshPage reads a service's page after a rejected request showed that the known
// one is outdated. It does not block.
func (d *Daemon) refreshPage(service string) {
	if !d.refresher.begin(service) {
		return
	}
	go func() {
		defer d.refresher.end(service)
		d.readPage(d.killed, service)
	}()
}

// readPage reads a page, then waits for refreshInterval.
func (d *Daemon) readPage(ctx context.Context, service string) {
	if page, err := d.loop.pages.Read(ctx, service); err == nil && page.Version != 0 {
		d.loop.feed(ctx, page)
	}
	delay := time.NewTimer(refreshInterval)
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-ctx.Done():
	}
}
