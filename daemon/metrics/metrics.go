// Package metrics publishes the metrics of each daemon under one expvar variable.
//
// The variable "guavacrank" is an object with one member for each daemon in the
// process, named after its VM. A process normally has one; the demo has several.
package metrics

import (
	"expvar"
	"sync"
)

// variableName is the name of the expvar variable.
const variableName = "guavacrank"

// Source returns a daemon's metrics as a value that encodes to JSON. It must be
// safe for concurrent use.
type Source func() any

var (
	mu      sync.Mutex
	sources = make(map[string]Source)
	publish sync.Once
)

// Register publishes the metrics of a VM's daemon until the returned function is
// called.
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

// collect returns the metrics of every registered daemon.
func collect() any {
	mu.Lock()
	registered := make(map[string]Source, len(sources))
	for vm, source := range sources {
		registered[vm] = source
	}
	mu.Unlock()
	values := make(map[string]any, len(registered))
	for vm, source := range registered {
		values[vm] = source()
	}
	return values
}
