// Package metrics publishes each daemon's figures under one expvar variable.
//
// The variable "guavacrank" is an object with one member for each daemon of
// the process, named by its VM. A process normally has one; the demo has several.
package metrics

import (
	"expvar"
	"sync"
)

// variableName is the name of the expvar variable.
const variableName = "guavacrank"

// Source returns a daemon's figures as a value that encodes to JSON. It is
// called from many goroutines.
type Source func() any

var (
	mu      sync.Mutex
	sources = make(map[string]Source)
	publish sync.Once
)

// Register publishes the figures of a VM's daemon until the returned function
// is called.
func Register(vm string, source Source) (unregister func()) {
	publish.Do(func() { expvar.Publish(variableName, expvar.Func(collect)) })
	mu.Lock()
	defer mu.Unlock()
	sources[vm] = source
	return func() {
		mu.Lock()
		defer mu.Unlock()
		delete(sources, vm)
	}
}

// collect returns the figures of every registered daemon.
func collect() any {
	mu.Lock()
	registered := make(map[string]Source, len(sources))
	for vm, source := range sources {
		registered[vm] = source
	}
	mu.Unlock()
	figures := make(map[string]any, len(registered))
	for vm, source := range registered {
		figures[vm] = source()
	}
	return figures
}
