package run

import "sync"

// maxRequestedKeys limits the number of keys in a report for each service.
const maxRequestedKeys = 4000

// requestedKeys collects the keys of requests. It is safe for concurrent use.
type requestedKeys struct {
	mu        sync.Mutex
	byService map[string][]uint16
}

func newRequestedKeys() *requestedKeys { return &requestedKeys{byService: make(map[string][]uint16)} }

// add adds the key of a request.
func (k *requestedKeys) add(service string, key uint16) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.byService[service]) < maxRequestedKeys {
		k.byService[service] = append(k.byService[service], key)
	}
}

// take returns and removes the collected keys.
func (k *requestedKeys) take() map[string][]uint16 {
	k.mu.Lock()
	defer k.mu.Unlock()
	taken := k.byService
	k.byService = make(map[string][]uint16)
	return taken
}
