// Command bigbody plays the case "callers send large bodies within the limits".
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"guavacrank.example/platform/standin"
	"guavacrank.example/review/stage"
)

const (
	service = "stamps"
	// memoryMB is the memory limit of a machine, maxBody the operator's max_body_bytes.
	memoryMB = 284
	maxBody  = 67108864
	// bodyBytes is the size of a large body, uploads how many callers send one to each
	// gateway at the same time.
	bodyBytes = 60 << 20
	uploads   = 3
	callers   = 6
	// linkBytesPerSec is what the link of a machine carries (link_mbps = 1000), of which
	// the uploads take less.
	linkBytesPerSec = 100 << 20
	// allowedLost is how many requests the rule lets go unanswered.
	allowedLost = 3
	length      = 40 * time.Second
)

type tally struct {
	mu            sync.Mutex
	status        map[string]int
	ran, answered map[string]bool
	lost          []string
}

func main() {
	s, err := stage.New(nil)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(stage.CantDo)
	}
	route := func(prefix, kind string) map[string]any {
		return map[string]any{"hostname": "h.example", "path_prefix": prefix, "route_type": kind,
			"timeout_ms": 4000, "target_latency_ms": 1000, "priority": 1, "max_attempts": 2, "service": service}
	}
	s.Store.Put(stage.Wire.ConfigurationKey, map[string]any{
		"version":  "00000001",
		"routes":   map[string]any{"small": route("/stamp/", "non_idempotent"), "large": route("/scan/", "non_idempotent")},
		"services": map[string]any{service: map[string]any{"health_path": standin.HealthPath, "max_conns": 56}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	t := &tally{status: map[string]int{}, ran: map[string]bool{}, answered: map[string]bool{}}
	for at := range 4 {
		b := &stage.Backend{ID: fmt.Sprintf("i-%d", at+1), Service: service, Slots: 12, ServiceTime: 200 * time.Millisecond, Heartbeat: 1500 * time.Millisecond}
		b.OnRun = func(l *stage.Life, id string, _ int) {
			s.Note("%s runs %s", l.Name(), id)
			t.mu.Lock()
			t.ran[id] = true
			t.mu.Unlock()
		}
		if err := s.StartBackend(b); err != nil {
			s.Finish(stage.CantDo, "server: %v", err)
		}
	}
	if err := s.StartGateways(2); err != nil {
		s.Finish(stage.CantDo, "start: %v", err)
	}
	var over atomic.Bool
	var all sync.WaitGroup
	kills := make([]int, len(s.Gateways))
	for at, g := range s.Gateways {
		all.Go(func() { // The platform kills a process that exceeds its memory and starts it again.
			peak := 0
			for !over.Load() {
				time.Sleep(5 * time.Millisecond)
				used := g.Resident()
				if used > peak+20 {
					peak = used
					s.Note("%s uses %d MB", g.Name, used)
				}
				if used <= memoryMB {
					continue
				}
				kills[at]++
				s.Note("platform: %s uses %d MB of %d MB, it is killed", g.Name, used, memoryMB)
				g.Signal(syscall.SIGKILL)
				time.Sleep(500 * time.Millisecond)
				if err := g.Restart(); err != nil {
					s.Note("platform: %v", err)
					return
				}
				peak = 0
				_ = g.AwaitReady(5 * time.Second)
			}
		})
		for c := range callers {
			all.Go(func() { t.call(s, g, fmt.Sprintf("s%d.%d", at, c), &over) })
		}
	}
	time.Sleep(5 * time.Second)
	if s.Trouble {
		for at, g := range s.Gateways {
			for c := range uploads {
				all.Go(func() { upload(s, g, fmt.Sprintf("u%d.%d", at, c), &over) })
			}
		}
	}
	time.Sleep(length)
	over.Store(true)
	all.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	summary := fmt.Sprintf("processes killed for their memory: %v; small requests: %v; passed on and never answered on a kept connection: %d", kills, t.status, len(t.lost))
	if len(t.lost) > allowedLost {
		s.Finish(stage.Broken, "LOST broken: %s", summary)
	}
	s.Finish(stage.Held, "LOST held: %s", summary)
}

// call sends small requests one after the other on a kept connection.
func (t *tally) call(s *stage.Stage, g *stage.Gateway, name string, over *atomic.Bool) {
	var conn net.Conn
	var reader *bufio.Reader
	for n := 0; !over.Load(); n++ {
		kept := conn != nil
		if !kept {
			var err error
			if conn, err = net.DialTimeout("tcp4", g.Callers, time.Second); err != nil {
				conn = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
			reader = bufio.NewReader(conn)
		}
		id := fmt.Sprintf("%s.%d", name, n)
		_ = conn.SetDeadline(time.Now().Add(6 * time.Second)) // If this fails, so does the write.
		_, err := fmt.Fprintf(conn, "POST /stamp/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n", id)
		var response *http.Response
		if err == nil {
			response, err = http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
		}
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		t.mu.Lock()
		switch {
		case err != nil:
			t.status["closed"]++
			if kept && t.ran[id] {
				t.lost = append(t.lost, id)
				s.Note("client: %s to %s has run and its kept connection ended without an answer: %v", id, g.Name, err)
			} else {
				s.Note("client: %s to %s: %v", id, g.Name, err)
			}
		default:
			t.status[fmt.Sprint(response.StatusCode)]++
			s.Note("client: %s to %s: %d", id, g.Name, response.StatusCode)
		}
		t.mu.Unlock()
		if err != nil || response.Close {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// upload sends large bodies, each on a new connection.
func upload(s *stage.Stage, g *stage.Gateway, name string, over *atomic.Bool) {
	chunk := make([]byte, 64<<10)
	pause := time.Duration(len(chunk)) * time.Second / (linkBytesPerSec / uploads)
	for n := 0; !over.Load(); n++ {
		conn, err := net.DialTimeout("tcp4", g.Callers, time.Second)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		id := fmt.Sprintf("%s.%d", name, n)
		_ = conn.SetDeadline(time.Now().Add(6 * time.Second)) // If this fails, so does the write.
		_, err = fmt.Fprintf(conn, "POST /scan/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n", id, bodyBytes)
		start := time.Now()
		for sent := 0; err == nil && sent < bodyBytes; sent += len(chunk) {
			_, err = conn.Write(chunk)
			time.Sleep(time.Until(start.Add(time.Duration(sent/len(chunk)+1) * pause)))
		}
		text := ""
		if response, readErr := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost}); readErr == nil {
			text = fmt.Sprint(response.StatusCode)
		}
		s.Note("client: %s to %s, %d MB: %s %v", id, g.Name, bodyBytes>>20, text, err)
		_ = conn.Close()
		time.Sleep(time.Second)
	}
}
