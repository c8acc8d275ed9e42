// Package rig starts gateway processes between stand-ins of the platform's store and of
// servers, and records what was sent, answered and run.
package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"guavacrank.example/platform/standin"
)

// HealthPath is the path of the servers' health check.
const HealthPath = "/health"

// Exit codes of a case.
const (
	Held   = 0 // The rule held.
	Broken = 1 // The rule was broken.
	NotRun = 2 // The case couldn't run.
)

// Trouble reports whether the disruption is part of the run.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the file with what happened.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, begin: time.Now()}, nil
}

// Note writes a line with the time since the start.
func (r *Record) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// Serve serves a handler on a free loopback address and returns the address.
func Serve(handler http.Handler) (string, error) {
	address, err := standin.FreeAddress()
	if err != nil {
		return "", err
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // Ends with this process.
	return address, nil
}

// Settings are those of a gateway process beside its addresses.
type Settings struct {
	Zone       string
	Regions    map[string]string
	FirstStart bool
	MemoryMB   int
	Seeds      []string
}

// Gateway is one gateway process.
type Gateway struct {
	Name                           string
	Callers, Ready, Peers, Metrics string
	settings                       Settings
	store, command, dir            string
	record                         *Record
	output                         *os.File

	mu      sync.Mutex
	running *exec.Cmd
	ended   chan struct{}
}

// NewGateway chooses the addresses of a gateway. Start starts it.
func NewGateway(record *Record, dir, command, name, store string, settings Settings) (*Gateway, error) {
	g := &Gateway{Name: name, settings: settings, store: store, command: command, dir: dir, record: record}
	for _, address := range []*string{&g.Callers, &g.Ready, &g.Peers, &g.Metrics} {
		var err error
		if *address, err = standin.FreeAddress(); err != nil {
			return nil, err
		}
	}
	var err error
	g.output, err = os.Create(filepath.Join(dir, name+".log"))
	return g, err
}

// Start starts the process, as the deploy file does.
func (g *Gateway) Start() error {
	seeds := g.settings.Seeds
	if seeds == nil {
		seeds = []string{}
	}
	settings := map[string]any{
		"vm": g.Name, "zone": g.settings.Zone, "regions": g.settings.Regions,
		"listen":      map[string]string{"callers": g.Callers, "ready": g.Ready, "peers": g.Peers, "metrics": g.Metrics},
		"seeds":       seeds,
		"first_start": g.settings.FirstStart, "heartbeat_ms": 870, "store": g.store, "lease_least_ms": 1000,
		"memory_mb": g.settings.MemoryMB, "descriptors": 4100, "processor": 0.32, "link_mbit": 1000.0, "bounds": Wire.Bounds,
	}
	text, err := json.MarshalIndent(settings, "", " ")
	if err != nil {
		return err
	}
	file := filepath.Join(g.dir, g.Name+".yaml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	command := exec.Command(g.command, "-gateway", "-settings", file)
	command.Stdout, command.Stderr = g.output, g.output
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.mu.Lock()
	g.running, g.ended = command, ended
	g.mu.Unlock()
	g.record.Note("%s: process %d starts", g.Name, command.Process.Pid)
	go func() {
		err := command.Wait()
		g.record.Note("%s: process %d has ended (%v)", g.Name, command.Process.Pid, err)
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.record.Note("%s: %v", g.Name, s)
	_ = g.running.Process.Signal(s) // It may have ended.
}

// Ended returns a channel that is closed when the process has ended.
func (g *Gateway) Ended() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ended
}

// Kill ends the process and waits for that.
func (g *Gateway) Kill() {
	if g.running == nil {
		return
	}
	_ = g.running.Process.Signal(syscall.SIGCONT)
	_ = g.running.Process.Kill()
	<-g.Ended()
}

// AwaitReady waits until the process is ready.
func (g *Gateway) AwaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: 200 * time.Millisecond}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + g.Ready + Wire.Ready)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			g.record.Note("%s: ready", g.Name)
			return nil
		}
	}
	return errors.New(g.Name + " is not ready in time")
}

// ServerRecord is the entry of a server in the store.
func ServerRecord(service, address, zone, state string, capacity int, seq int, born int64) map[string]any {
	return map[string]any{"service": service, "address": address, "zone": zone, "version": "v1", "capacity": capacity,
		"state": state, "warmup_ms": 0, "seq": seq, "born": born}
}

// Beat writes a server's entry at every heartbeat until stop is closed.
func Beat(store *standin.Store, id string, record func(seq int) map[string]any, stop <-chan struct{}) {
	ticker := time.NewTicker(870 * time.Millisecond)
	defer ticker.Stop()
	for seq := 1; ; seq++ {
		store.Put(Wire.Servers+id, record(seq))
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
	}
}

// Main runs a case and exits.
func Main(run func() (int, error)) {
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		code = NotRun
	}
	os.Exit(code)
}

// PID returns the process's ID.
func (g *Gateway) PID() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running.Process.Pid
}

// Deployment is a store, two servers of the service docs and two gateways, which are ready and in
// touch.
type Deployment struct {
	Servers  *Servers
	Gateways []*Gateway

	dir  string
	stop chan struct{}
}

// Deploy starts a deployment with routes of the service docs. Close ends it.
func Deploy(record *Record, command string, servers *Servers, routes map[string]any) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "review3")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Servers: servers, dir: dir, stop: make(chan struct{})}
	if err := d.start(record, command, routes); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(record *Record, command string, routes map[string]any) error {
	store := standin.NewStore()
	storeAddress, err := Serve(store)
	if err != nil {
		return err
	}
	for _, id := range []string{"i-1", "i-2"} {
		if err := d.Servers.Start(store, id, "docs", d.stop); err != nil {
			return err
		}
	}
	store.Put(Wire.Configuration, map[string]any{"version": "00000001", "routes": routes,
		"services": map[string]any{"docs": map[string]any{"health_path": HealthPath, "max_conns": 410}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 26, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	settings := Settings{Zone: "za", Regions: map[string]string{"za": "ra"}, FirstStart: true, MemoryMB: MemoryMB}
	for _, name := range []string{"vm-1", "vm-2"} {
		g, err := NewGateway(record, d.dir, command, name, storeAddress, settings)
		if err != nil {
			return err
		}
		d.Gateways = append(d.Gateways, g)
		if err := g.Start(); err != nil {
			return err
		}
	}
	for _, g := range d.Gateways {
		if err := g.AwaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(inTouchAfter)
	return nil
}

// Close ends the processes.
func (d *Deployment) Close() {
	for _, g := range d.Gateways {
		g.Kill()
	}
	close(d.stop)
	_ = os.RemoveAll(d.dir) // A temporary folder.
}

const (
	// MemoryMB is the memory of a gateway, that of the site's smallest machines.
	MemoryMB = 184
	// inTouchAfter is the time after which a machine that was started is in touch.
	inTouchAfter = 5 * time.Second
)

// Route is a route of the service docs.
func Route(host, prefix, kind string, timeout, objective time.Duration) map[string]any {
	return map[string]any{"hostname": host, "path_prefix": prefix, "route_type": kind, "timeout_ms": timeout.Milliseconds(),
		"target_latency_ms": objective.Milliseconds(), "priority": 1, "max_attempts": 2, "service": "docs"}
}
