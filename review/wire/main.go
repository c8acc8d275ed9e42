// Command wire plays two cases with single requests: "path" (a path that begins with two
// slashes is changed) and "options" (a success that no server gave).
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"guavacrank.example/platform/standin"
	"guavacrank.example/review/stage"
)

const service = "cards"

func main() {
	s, err := stage.New(nil)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(stage.CantDo)
	}
	s.Store.Put(stage.Wire.ConfigurationKey, map[string]any{
		"version": "00000001",
		"routes": map[string]any{"r": map[string]any{"hostname": "h.example", "path_prefix": "/", "route_type": "non_idempotent",
			"timeout_ms": 1000, "target_latency_ms": 500, "priority": 1, "max_attempts": 2, "service": service}},
		"services": map[string]any{service: map[string]any{"health_path": standin.HealthPath, "max_conns": 56}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	var mu sync.Mutex
	ran := map[string]string{} // Target by request ID.
	for at := range 3 {
		b, err := standin.StartBackend(standin.BackendOptions{ID: fmt.Sprintf("i-%d", at+1), Service: service, Zone: "za", Slots: 4,
			ServiceTime: 20 * time.Millisecond, Heartbeat: 1500 * time.Millisecond, Store: s.Store,
			OnRun: func(r standin.Run) {
				s.Note("%s runs %s: %s %s", r.Server, r.ID, r.Method, r.Target)
				mu.Lock()
				ran[r.ID] = r.Target
				mu.Unlock()
			}})
		if err != nil {
			s.Finish(stage.CantDo, "server: %v", err)
		}
		s.AtEnd(b.Stop)
	}
	if err := s.StartGateways(2); err != nil {
		s.Finish(stage.CantDo, "start: %v", err)
	}
	play := map[string]func(s *stage.Stage, sent func(id string) string) []string{"path": path, "options": options}[os.Args[1]]
	broken := play(s, func(id string) string {
		mu.Lock()
		defer mu.Unlock()
		return ran[id]
	})
	if len(broken) > 0 {
		s.Finish(stage.Broken, "broken %d times, first: %s", len(broken), broken[0])
	}
	s.Finish(stage.Held, "held")
}

// send sends one request and returns the status and the signature of its answer.
func send(s *stage.Stage, g *stage.Gateway, id, method, target string) (int, string) {
	conn, err := net.DialTimeout("tcp4", g.Callers, time.Second)
	if err != nil {
		s.Finish(stage.CantDo, "client: %v", err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second)) // If this fails, so does the write.
	_, _ = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n", method, target, id)
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		s.Note("client: %s %s %s to %s: %v", id, method, target, g.Name, err)
		return 0, ""
	}
	body, _ := io.ReadAll(response.Body)
	signature := response.Header.Get(stage.Wire.Signature)
	s.Note("client: %s %s %s to %s: %d, signature %q, body %q", id, method, target, g.Name, response.StatusCode, signature, body)
	return response.StatusCode, signature
}

// path compares the paths that servers run with those that clients sent.
func path(s *stage.Stage, ran func(id string) string) (broken []string) {
	names := []string{"b%2Fc", "b;c=1", "orders/2026-12", "b%7Cc%2Fd"}
	if s.Trouble {
		names = append(names, "b|c%2Fd", "käse%2Fbrot", "a^b", "{id}/x")
	}
	for at := range 40 {
		for n, name := range names {
			id, target := fmt.Sprintf("p%d.%d", at, n), "//shop/"+name+"?q=1"
			send(s, s.Gateways[at%len(s.Gateways)], id, http.MethodPost, target)
			if got := ran(id); got != "" && got != target {
				text := fmt.Sprintf("UNASKED: %s was sent with %s and runs with %s", id, target, got)
				s.Note("BROKEN %s", text)
				broken = append(broken, text)
			}
		}
	}
	return broken
}

// options looks for successes that bear no server's signature.
func options(s *stage.Stage, _ func(id string) string) (broken []string) {
	targets := []string{"/", "/shop/x", "/shop/*"}
	if s.Trouble {
		targets = append(targets, "*")
	}
	for at := range 40 {
		for n, target := range targets {
			id := fmt.Sprintf("o%d.%d", at, n)
			status, signature := send(s, s.Gateways[at%len(s.Gateways)], id, http.MethodOptions, target)
			if status/100 == 2 && strings.TrimSpace(signature) == "" {
				text := fmt.Sprintf("MIXED: %s, OPTIONS %s, is answered %d without a server's signature", id, target, status)
				s.Note("BROKEN %s", text)
				broken = append(broken, text)
			}
		}
	}
	return broken
}
