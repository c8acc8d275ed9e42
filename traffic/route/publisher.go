package route

import "sync/atomic"

// Publisher passes the newest snapshot from the control goroutine to request
// goroutines. Readers take no lock.
type Publisher struct {
	current atomic.Pointer[published]
}

// published is a snapshot and the channel that is closed when it is replaced.
type published struct {
	snapshot *Snapshot
	replaced chan struct{}
}

// NewPublisher returns a publisher that holds an empty snapshot.
func NewPublisher() *Publisher {
	p := &Publisher{}
	p.current.Store(&published{snapshot: &Snapshot{}, replaced: make(chan struct{})})
	return p
}

// Publish replaces the snapshot and wakes all waiters for a newer one.
func (p *Publisher) Publish(snapshot *Snapshot) {
	next := &published{snapshot: snapshot, replaced: make(chan struct{})}
	close(p.current.Swap(next).replaced)
}

// Load returns the newest snapshot.
func (p *Publisher) Load() *Snapshot { return p.current.Load().snapshot }

// LoadAndWatch returns the newest snapshot and a channel that is closed once a
// newer one replaced it.
func (p *Publisher) LoadAndWatch() (*Snapshot, <-chan struct{}) {
	held := p.current.Load()
	return held.snapshot, held.replaced
}
