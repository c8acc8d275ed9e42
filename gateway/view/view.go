// Package view is the immutable picture that traffic reads: the configuration
// in force, the backend servers and the owners of keys.
//
// Control publishes a new View at each change; traffic shares no lock with it.
package view

import (
	"sync/atomic"

	"guavacrank.example/gateway/balance"
	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/routing"
)

// View is one picture. It must not be changed once published.
type View struct {
	Configuration *model.Configuration
	Routes        *routing.Table
	Services      map[string]*Service
}

// Service is one declared service with its servers.
type Service struct {
	model.Service
	// Servers take new requests.
	Servers []*balance.Server
	// Page tells the owners of keys; nil if the service is not divided by key
	// or nobody owns keys yet.
	Page *keys.Page
	// Owners holds the servers that the page names and that take requests.
	Owners map[model.Incarnation]*balance.Server
}

// Publisher holds the newest View. It is safe for concurrent use.
type Publisher struct{ current atomic.Pointer[published] }

type published struct {
	view    *View
	changed chan struct{}
}

// NewPublisher returns a publisher without a view.
func NewPublisher() *Publisher {
	p := &Publisher{}
	p.current.Store(&published{changed: make(chan struct{})})
	return p
}

// Load returns the newest view, nil before the first, and a channel that is
// closed when a newer one is published.
func (p *Publisher) Load() (*View, <-chan struct{}) {
	held := p.current.Load()
	return held.view, held.changed
}

// Publish replaces the view.
func (p *Publisher) Publish(v *View) {
	old := p.current.Swap(&published{view: v, changed: make(chan struct{})})
	close(old.changed)
}
