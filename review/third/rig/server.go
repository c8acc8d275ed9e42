package rig

import (
	"io"
	"net/http"
	"sync"
	"time"

	"guavacrank.example/platform/standin"
)

// Servers are sound backend servers of one service.
type Servers struct {
	// Work is how long a server takes for a request.
	Work time.Duration
	// Answer returns the body of the answer to a request.
	Answer func(id string) []byte
	Record *Record

	mu  sync.Mutex
	ran map[string]bool
}

// Start starts a server, which writes its entry to the store until stop is closed.
func (s *Servers) Start(store *standin.Store, id, service string, stop <-chan struct{}) error {
	address, err := Serve(s.handler(id))
	if err != nil {
		return err
	}
	born := time.Now().UnixMilli()
	go Beat(store, id, func(seq int) map[string]any {
		return ServerRecord(service, address, "za", "ready", 64, seq, born)
	}, stop)
	return nil
}

// Ran reports whether a server has run a request.
func (s *Servers) Ran(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

func (s *Servers) handler(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == HealthPath {
			w.Header().Set(Wire.Server, id)
			return
		}
		request := r.Header.Get(Wire.RequestID)
		w.Header().Set(Wire.RequestID, request)
		if expected := r.Header.Get(Wire.ExpectedServer); expected != "" && expected != id {
			w.Header().Set(Wire.NotRun, "1")
			w.Header().Set(Wire.Server, id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.Header().Set(Wire.NotRun, "1")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.begin(id, request)
		time.Sleep(s.Work)
		w.Header().Set(Wire.Signature, id+"."+request)
		_, _ = w.Write(s.Answer(request)) // The gateway may have disconnected.
	})
}

func (s *Servers) begin(server, request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ran == nil {
		s.ran = make(map[string]bool)
	}
	s.ran[request] = true
	s.Record.Note("server %s runs %s", server, request)
}
