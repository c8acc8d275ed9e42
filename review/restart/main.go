// Command restart plays the case "a server starts again at its address within a second".
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"guavacrank.example/platform/standin"
	"guavacrank.example/review/stage"
)

const (
	service = "recipes"
	servers = 6
	// downFor is how long a server that crashed is down.
	downFor = 300 * time.Millisecond
	// crashes is how many servers crash, one after the other, each crashGap.
	crashes  = 12
	crashGap = 4 * time.Second
)

// fences checks that a life takes a key only with a fencing token above those with
// which all other lives and servers had it.
type fences struct {
	mu     sync.Mutex
	holder [65536]*stage.Life
	high   [65536]uint64
	broken []string
}

func (f *fences) granted(s *stage.Stage, l *stage.Life, from, to int, fence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	bad := -1
	for key := from; key <= to; key++ {
		if f.holder[key] != nil && f.holder[key] != l && fence <= f.high[key] && bad < 0 {
			bad = key
		}
	}
	if bad >= 0 {
		text := fmt.Sprintf("%s takes keys %d to %d with fence %d; %s had key %d with fence %d", l.Name(), from, to, fence, f.holder[bad].Name(), bad, f.high[bad])
		f.broken = append(f.broken, text)
		s.Note("BROKEN %s", text)
	} else {
		s.Note("%s takes keys %d to %d with fence %d", l.Name(), from, to, fence)
	}
	for key := from; key <= to; key++ {
		if fence >= f.high[key] {
			f.holder[key], f.high[key] = l, fence
		}
	}
}

func main() {
	s, err := stage.New(nil)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(stage.CantDo)
	}
	s.Store.Put("op/config", map[string]any{
		"version": "00000001",
		"routes": map[string]any{"r": map[string]any{"hostname": "h.example", "path_prefix": "/keyed/", "route_type": "idempotent",
			"timeout_ms": 1000, "target_latency_ms": 500, "priority": 1, "max_attempts": 2, "service": service}},
		"services": map[string]any{service: map[string]any{"health_path": standin.HealthPath, "max_conns": 56, "sharded": true}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	check := &fences{}
	var backends []*stage.Backend
	for at := range servers {
		b := &stage.Backend{ID: fmt.Sprintf("i-%d", at+1), Service: service, Slots: 4, Sharded: true, ServiceTime: 100 * time.Millisecond, Heartbeat: 870 * time.Millisecond}
		b.OnGrant = func(l *stage.Life, from, to int, fence uint64) { check.granted(s, l, from, to, fence) }
		b.OnRun = func(l *stage.Life, id string, key int) { s.Note("%s runs %s, key %d", l.Name(), id, key) }
		if err := s.StartBackend(b); err != nil {
			s.Finish(stage.CantDo, "server: %v", err)
		}
		backends = append(backends, b)
	}
	if err := s.StartGateways(3); err != nil {
		s.Finish(stage.CantDo, "start: %v", err)
	}
	client := &http.Client{Timeout: 2500 * time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 40}}
	var mu sync.Mutex
	status := map[int]int{}
	go func() {
		for n := 0; ; n++ {
			time.Sleep(50 * time.Millisecond)
			go func() {
				g, key := s.Gateways[n%3], (n*7919)%65536
				request, _ := http.NewRequest(http.MethodGet, "http://"+g.Callers+"/keyed/x", nil)
				request.Host = "h.example"
				request.Header.Set("Request-Id", fmt.Sprintf("q%d", n))
				request.Header.Set("Deadline-Ms", "2000")
				request.Header.Set("Shard-Key", fmt.Sprint(key))
				code := 0
				if response, err := client.Do(request); err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
					code = response.StatusCode
				}
				s.Note("client: q%d, key %d, to %s: %d", n, key, g.Name, code)
				mu.Lock()
				status[code]++
				mu.Unlock()
			}()
		}
	}()
	time.Sleep(6 * time.Second)
	for at := range crashes {
		if s.Trouble {
			b := backends[at%servers]
			b.Kill()
			time.Sleep(downFor)
			if err := b.Start(); err != nil {
				s.Finish(stage.CantDo, "restart: %v", err)
			}
		}
		time.Sleep(crashGap)
	}
	mu.Lock()
	defer mu.Unlock()
	if len(check.broken) > 0 {
		s.Finish(stage.Broken, "OWNER broken %d times in %d restarts, first: %s; answers %v", len(check.broken), crashes, check.broken[0], status)
	}
	s.Finish(stage.Held, "OWNER held; answers %v", status)
}
