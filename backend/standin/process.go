package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"guavacrank.example/backend"
	"guavacrank.example/backend/fence"
)

// process is the server from one start to the next kill.
type process struct {
	server  *Server
	options Options
	gate    *gate
	http    *http.Server
	started time.Duration
	killed  context.Context
	cancel  context.CancelFunc
	serving sync.WaitGroup // The accept loop and the handlers.

	mu          sync.Mutex
	fence       *fence.Fence
	busy        int
	connections int
	ended       bool // Set by kill: no handler starts any more.
	health      lagged[backend.HealthReport]
	load        lagged[backend.LoadReport]
}

// connection is what a handler knows of the connection of its request.
type connection struct{ overLimit bool }

type connectionKey struct{}

func newProcess(server *Server, boot string) *process {
	p := &process{
		server:  server,
		options: server.options,
		gate:    newGate(),
		started: server.options.Clock(),
		fence:   fence.New(boot),
	}
	p.killed, p.cancel = context.WithCancel(context.Background())
	p.http = &http.Server{
		Handler:           p.counted(http.HandlerFunc(p.serve)),
		ReadHeaderTimeout: time.Minute,
		ConnContext:       p.connectionOpened,
		ConnState:         p.connectionChanged,
	}
	return p
}

// serve passes calls of the control interface and requests to their handlers. Requests may
// have any path, also those that a http.ServeMux would redirect.
func (p *process) serve(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case http.MethodPost + " " + backend.PathGrant:
		p.serveGrant(w, r)
	case http.MethodGet + " " + backend.PathHealth:
		p.serveHealth(w, r)
	case http.MethodGet + " " + backend.PathLoad:
		p.serveLoad(w, r)
	default:
		p.serveRequest(w, r)
	}
}

// start serves on the listener. The server's lock is held.
func (p *process) start(listener net.Listener) {
	faults := p.server.faults
	p.setReports(faults)
	p.serving.Add(1)
	go func() {
		defer p.serving.Done()
		_ = p.http.Serve(&gatedListener{Listener: listener, gate: p.gate}) // Always http.ErrServerClosed.
	}()
}

func (p *process) kill() {
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	p.cancel()
	p.gate.end()
	_ = p.http.Close() // Nothing can be done about a socket that fails to close.
	p.serving.Wait()
}

// counted lets kill wait for the handlers.
func (p *process) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !p.beginHandler() {
			panic(http.ErrAbortHandler)
		}
		defer p.serving.Done()
		p.gate.pass()
		next.ServeHTTP(w, r)
	})
}

// beginHandler counts a handler, unless the server was killed.
func (p *process) beginHandler() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return false
	}
	p.serving.Add(1)
	return true
}

func (p *process) connectionOpened(ctx context.Context, _ net.Conn) context.Context {
	p.mu.Lock()
	p.connections++
	overLimit := p.connections > p.options.Connections
	p.mu.Unlock()
	p.publishReports()
	return context.WithValue(ctx, connectionKey{}, connection{overLimit: overLimit})
}

func (p *process) connectionChanged(_ net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	p.mu.Lock()
	p.connections--
	p.mu.Unlock()
	p.publishReports()
}

func (p *process) clock() int64 { return p.options.Clock().Milliseconds() }

func (p *process) serveGrant(w http.ResponseWriter, r *http.Request) {
	if !p.options.ChecksGrants {
		http.NotFound(w, r)
		return
	}
	var order backend.GrantOrder
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&order); err != nil {
		http.Error(w, "malformed grant order: "+err.Error(), http.StatusBadRequest)
		return
	}
	p.gate.pass()
	p.mu.Lock()
	answer := p.fence.Step(order, p.clock())
	p.mu.Unlock()
	writeJSON(w, answer)
}

func (p *process) serveHealth(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	report := p.health.get(p.options.Clock(), p.options.ReportLag)
	p.mu.Unlock()
	writeJSON(w, report)
}

func (p *process) serveLoad(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	report := p.load.get(p.options.Clock(), p.options.ReportLag)
	p.mu.Unlock()
	writeJSON(w, report)
}

// publishReports brings the reports up to date, to be shown after their lag.
func (p *process) publishReports() { p.setReports(p.server.Faults()) }

func (p *process) setReports(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	health := backend.HealthReport{Healthy: true, Draining: faults.Drain}
	if faults.Health != nil {
		health = *faults.Health
	}
	load := backend.LoadReport{BusySlots: p.busy, Connections: p.connections}
	if faults.Load != nil {
		load = *faults.Load
	}
	now := p.options.Clock()
	p.health.set(now, p.options.ReportLag, health)
	p.load.set(now, p.options.ReportLag, load)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // The connection is gone if it fails.
}
