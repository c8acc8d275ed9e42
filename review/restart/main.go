// Command restart plays the cases "a server starts again at its address within a second"
// and, with the argument cut, "a server starts again while it is cut off from the store".
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
	// heartbeat is that of chikushi-gw.
	heartbeat = 1500 * time.Millisecond
	// With the argument cut there are cutServers servers. cutTogether of them (a share of
	// 0.22 or less) are cut off for cutFor, crash at once and are down for cutDownFor.
	cuts        = 10
	cutServers  = 13
	cutTogether = 2
	cutDownFor  = 500 * time.Millisecond
	cutFor      = 3 * time.Second
	cutGap      = 5 * time.Second
)

// fences checks that a life takes a key only with a fencing token above those with
// which all other lives and servers had it.
type fences struct {
	mu     sync.Mutex
	holder [65536]*stage.Life
	high   [65536]uint64
	broken []string
	shared []string // Keys that two servers held.
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

// sharedLimit is the rule's bound for keys that two servers hold.
const sharedLimit = 500 * time.Millisecond

// watch looks for keys that two servers that are up hold for longer than sharedLimit.
func (f *fences) watch(s *stage.Stage, backends []*stage.Backend) {
	type pair struct {
		key  int
		a, b *stage.Life
	}
	since, reported := map[pair]time.Time{}, map[[2]*stage.Life]bool{}
	for {
		time.Sleep(20 * time.Millisecond)
		now, seen := time.Now(), map[pair]bool{}
		for key := 0; key < 65536; key += 256 {
			var holder *stage.Life
			for _, b := range backends {
				l := b.Current()
				if l == nil || !l.Holds(key) {
					continue
				}
				if holder == nil {
					holder = l
					continue
				}
				p := pair{key, holder, l}
				seen[p] = true
				if _, known := since[p]; !known {
					since[p] = now
				}
				if d := now.Sub(since[p]); d > sharedLimit && !reported[[2]*stage.Life{holder, l}] {
					reported[[2]*stage.Life{holder, l}] = true
					text := fmt.Sprintf("%s and %s both hold key %d for %v", holder.Name(), l.Name(), key, d.Round(time.Millisecond))
					s.Note("BROKEN %s", text)
					f.mu.Lock()
					f.shared = append(f.shared, text)
					f.mu.Unlock()
				}
			}
		}
		for p := range since {
			if !seen[p] {
				s.Note("key %d was held by %s and %s for %v", p.key, p.a.Name(), p.b.Name(), now.Sub(since[p]).Round(time.Millisecond))
				delete(since, p)
			}
		}
	}
}

func main() {
	s, err := stage.New(nil)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(stage.CantDo)
	}
	s.Store.Put(stage.Wire.ConfigurationKey, map[string]any{
		"version": "00000001",
		"routes": map[string]any{"r": map[string]any{"hostname": "h.example", "path_prefix": "/keyed/", "route_type": "idempotent",
			"timeout_ms": 1000, "target_latency_ms": 500, "priority": 1, "max_attempts": 2, "service": service}},
		"services": map[string]any{service: map[string]any{"health_path": standin.HealthPath, "max_conns": 56, "sharded": true}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	check := &fences{}
	var backends []*stage.Backend
	cut := len(os.Args) > 1 && os.Args[1] == "cut"
	count, restarts := servers, crashes
	if cut {
		count, restarts = cutServers, cuts*cutTogether
	}
	for at := range count {
		b := &stage.Backend{ID: fmt.Sprintf("i-%d", at+1), Service: service, Slots: 4, Sharded: true, ServiceTime: 100 * time.Millisecond, Heartbeat: heartbeat}
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
	go check.watch(s, backends)
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
				request.Header.Set(stage.Wire.RequestID, fmt.Sprintf("q%d", n))
				request.Header.Set(stage.Wire.TimeLeft, "2000")
				request.Header.Set(stage.Wire.Key, fmt.Sprint(key))
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
	restart := func(b *stage.Backend, down time.Duration) {
		b.Kill()
		time.Sleep(down)
		if err := b.Start(); err != nil {
			s.Finish(stage.CantDo, "restart: %v", err)
		}
	}
	next := 0
	for round := 0; cut && round < cuts; round++ {
		var all sync.WaitGroup
		for range cutTogether {
			b := backends[next%count]
			next++
			all.Go(func() {
				if !s.Trouble {
					return
				}
				b.CutFromStore(true)
				restart(b, cutDownFor)
				time.Sleep(cutFor - cutDownFor)
				b.CutFromStore(false)
			})
		}
		all.Wait()
		time.Sleep(cutGap)
	}
	for at := 0; !cut && at < crashes; at++ {
		if s.Trouble {
			restart(backends[at%count], downFor)
		}
		time.Sleep(crashGap)
	}
	mu.Lock()
	defer mu.Unlock()
	check.mu.Lock()
	defer check.mu.Unlock()
	if len(check.shared) > 0 {
		s.Finish(stage.Broken, "OWNER broken: keys held by two servers %d times in %d restarts, first: %s; fences that did not rise: %d; answers %v", len(check.shared), restarts, check.shared[0], len(check.broken), status)
	}
	if len(check.broken) > 0 {
		s.Finish(stage.Broken, "OWNER broken %d times in %d restarts, first: %s; answers %v", len(check.broken), restarts, check.broken[0], status)
	}
	s.Finish(stage.Held, "OWNER held; answers %v", status)
}
