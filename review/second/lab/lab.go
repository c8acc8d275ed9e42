// Package lab sets up a small deployment on loopback addresses for the cases of a review: the
// store, backend servers and gateway processes started as the deploy file starts them.
package lab

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"guavacrank.example/platform/standin"
)

// Record writes the lines of a run, with the time since its start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, start: time.Now()}, err
}

// Printf writes one line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Store is the store behind a listener.
type Store struct {
	*standin.Store
	Listener net.Listener
}

// NewStore starts the store.
func NewStore() (*Store, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	store := standin.NewStore()
	go func() { _ = http.Serve(listener, store) }()
	return &Store{store, listener}, nil
}

// Address returns where the store listens.
func (s *Store) Address() string { return s.Listener.Addr().String() }

// Gateway is one gateway process.
type Gateway struct {
	Name, Callers, Ready, Peers, Metrics, Store, Zone string
	MemoryMB                                          int
	Seeds                                             string
	Dir                                               string
	FirstStart                                        bool
	Command                                           *exec.Cmd
	Ended                                             chan struct{}
	log                                               *os.File
}

// NewGateway chooses the addresses of a gateway.
func NewGateway(dir, name, zone, store string) (*Gateway, error) {
	g := &Gateway{Name: name, Zone: zone, Store: store, Dir: dir, MemoryMB: 284, FirstStart: true}
	for _, address := range []*string{&g.Callers, &g.Ready, &g.Peers, &g.Metrics} {
		var err error
		if *address, err = standin.FreeAddress(); err != nil {
			return nil, err
		}
	}
	return g, nil
}

const settings = `vm: %q
zone: %q
regions: {"hakata":"fukuoka","kurume":"fukuoka","tenmonkan":"kagoshima","kanoya":"kagoshima"}
listen:
  callers: %q
  ready: %q
  peers: %q
  metrics: %q
seeds: [%s]
first_start: %t
heartbeat_ms: 1500
store: %q
lease_least_ms: 1000
memory_mb: %d
descriptors: 4100
processor: 0.32
link_mbit: 1000.0
bounds: {drain_ms: 2000, grace_s: 6, config_ms: 2000, retry_budget_ratio: 0.2, budget_window_s: 10, budget_slack: 64, hold_max_ms: 10000}
`

// Start starts the process.
func (g *Gateway) Start(binary string) error {
	file := filepath.Join(g.Dir, g.Name+".yaml")
	text := fmt.Sprintf(settings, g.Name, g.Zone, g.Callers, g.Ready, g.Peers, g.Metrics, g.Seeds, g.FirstStart, g.Store, g.MemoryMB)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	var err error
	if g.log, err = os.OpenFile(filepath.Join(g.Dir, g.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	g.Command = exec.Command(binary, "-gateway", "-settings", file)
	g.Command.Stdout, g.Command.Stderr = g.log, g.log
	if err := g.Command.Start(); err != nil {
		return err
	}
	g.Ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		close(ended)
	}(g.Command, g.Ended)
	return nil
}

// AwaitReady waits until the readiness check passes.
func (g *Gateway) AwaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + g.Ready + Wire.Ready)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("%s is not ready after %v", g.Name, limit)
}

// Kill ends the process at once.
func (g *Gateway) Kill() {
	if g.Command == nil || g.Command.Process == nil {
		return
	}
	_ = g.Command.Process.Kill()
	<-g.Ended
	_ = g.log.Close()
}

// StartGateways starts one gateway in each zone and waits until all are ready.
func StartGateways(dir, binary, store string, zones ...string) ([]*Gateway, error) {
	var gateways []*Gateway
	seeds := ""
	for at, zone := range zones {
		g, err := NewGateway(dir, fmt.Sprintf("edge-%s-%d", zone, at+1), zone, store)
		if err != nil {
			return nil, err
		}
		gateways = append(gateways, g)
		if at < maxSeeds {
			seeds += fmt.Sprintf("%q,", g.Peers)
		}
	}
	for _, g := range gateways {
		g.Seeds = strings.TrimSuffix(seeds, ",")
		if err := g.Start(binary); err != nil {
			return gateways, err
		}
	}
	for _, g := range gateways {
		if err := g.AwaitReady(readyTime); err != nil {
			return gateways, err
		}
	}
	return gateways, nil
}

const (
	maxSeeds  = 3
	readyTime = 20 * time.Second
)

// KillAll ends the gateways that were started.
func KillAll(gateways []*Gateway) {
	for _, g := range gateways {
		g.Kill()
	}
}

// Route is a route of the configuration.
func Route(prefix, kind, service string, timeoutMS int) map[string]any {
	return map[string]any{"hostname": "shop.example", "path_prefix": prefix, "route_type": kind, "timeout_ms": timeoutMS,
		"target_latency_ms": timeoutMS / 2, "priority": 1, "service": service, "max_attempts": 2}
}

// Configuration is a configuration with services that are not divided by key.
func Configuration(routes map[string]any, services ...string) map[string]any {
	described := make(map[string]any)
	for _, name := range services {
		described[name] = map[string]any{"health_path": "/health", "max_conns": 56}
	}
	return map[string]any{"version": "00000001", "routes": routes, "services": described,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
}
