// Package view provides the immutable snapshot that request handling reads: the
// configuration in force, the backend servers and the owners of keys.
//
// The control loop publishes a new View at each change. Request handling shares
// no lock with it.
package view

import (
	"sync/atomic"
	"time"

	"guavacrank.example/gateway/balance"
	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/routing"
)

// View is a snapshot. It must not be modified after it is published.
type View struct {
	Configuration *model.Configuration
	Routes        *routing.Table
	Services      map[string]*Service
	// VMs is the number of active VMs, or zero if unknown.
	VMs int
	// Origin is that of Configuration.
	Origin Origin
}

// Service is a configured service with its backend servers.
type Service struct {
	model.Service
	// Servers are the servers that accept new requests.
	Servers []*balance.Server
	// Page is the ownership page. It is nil if the service is not partitioned or
	// no keys have been assigned yet.
	Page *keys.Page
	// Owners holds the servers that own keys according to Page and accept
	// requests.
	Owners map[model.Incarnation]*balance.Server
	// HandoverSince is when this VM learned that the ranges with a fence change
	// owner, MaxHandover the time after which the new owner holds them at the latest
	// if it can be reached.
	HandoverSince map[uint64]time.Duration
	MaxHandover   time.Duration
	// MaxWaiting is the number of requests that may wait on this VM for one server
	// to get their keys.
	MaxWaiting int
}

// Publisher holds the current View. It is safe for concurrent use.
type Publisher struct{ current atomic.Pointer[published] }

// published is a view with a channel that is closed when the view is replaced.
type published struct {
	view     *View
	replaced chan struct{}
}

// NewPublisher returns a Publisher without a view.
func NewPublisher() *Publisher {
	p := &Publisher{}
	p.current.Store(&published{replaced: make(chan struct{})})
	return p
}

// Load returns the current view, or nil before the first one, and a channel that
// is closed when the view is replaced.
func (p *Publisher) Load() (*View, <-chan struct{}) {
	current := p.current.Load()
	return current.view, current.replaced
}

// Publish replaces the current view and notifies the users of the old one.
func (p *Publisher) Publish(v *View) {
	old := p.current.Swap(&published{view: v, replaced: make(chan struct{})})
	close(old.replaced)
}
