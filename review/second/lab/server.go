package lab

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is a small backend server of a service that is not divided by key. It follows
// PROTOCOL: it echoes Request-Id, checks Expect-Instance and the number of its slots, and signs
// what it answers once it has begun to work.
type Server struct {
	ID, Service, Zone string
	Slots             int
	Work              time.Duration
	// OnRun is called when the server begins to work on a request.
	OnRun func(server, id string)
	// Answer, if set, may answer a request that has run and reports whether it did.
	Answer func(w http.ResponseWriter, r *http.Request) bool

	listener net.Listener
	born     int64
	mu       sync.Mutex
	running  int
}

// Start listens and writes the server's record every 1.5 s until done is closed.
func (s *Server) Start(store *Store, done <-chan struct{}) error {
	var err error
	if s.listener, err = net.Listen("tcp4", "127.0.0.1:0"); err != nil {
		return err
	}
	s.born = time.Now().UnixMilli()
	go func() { _ = http.Serve(s.listener, s) }()
	go s.heartbeats(store, done)
	return nil
}

func (s *Server) heartbeats(store *Store, done <-chan struct{}) {
	for seq := 1; ; seq++ {
		store.Put(Wire.Servers+s.ID, map[string]any{"service": s.Service, "address": s.listener.Addr().String(), "zone": s.Zone,
			"version": "v1", "capacity": s.Slots, "state": "ready", "warmup_ms": 0, "seq": seq, "born": s.born})
		select {
		case <-done:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set(Wire.Server, s.ID)
		return
	}
	id := r.Header.Get(Wire.RequestID)
	w.Header().Set(Wire.RequestID, id)
	if expected := r.Header.Get(Wire.ExpectedServer); expected != "" && expected != s.ID {
		s.reject(w, http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil || id == "" {
		s.reject(w, http.StatusBadRequest)
		return
	}
	if !s.begin() {
		s.reject(w, http.StatusServiceUnavailable)
		return
	}
	defer s.end()
	s.OnRun(s.ID, id)
	time.Sleep(s.Work)
	w.Header().Set(Wire.Signature, s.ID+"."+id)
	if s.Answer != nil && s.Answer(w, r) {
		return
	}
	fmt.Fprintf(w, "answer of %s to %s", s.ID, id)
}

// reject answers a request that has not run.
func (s *Server) reject(w http.ResponseWriter, status int) {
	w.Header().Set(Wire.NotRun, "1")
	w.Header().Set(Wire.Server, s.ID)
	w.WriteHeader(status)
}

func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.Slots {
		return false
	}
	s.running++
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
