// Command stopslow plays a planned stop of a gateway while a caller reads slowly.
package main

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"guavacrank.example/platform/standin"
	"guavacrank.example/review/third/rig"
)

const (
	host      = "docs.example"
	bodyBytes = 2400
	// requests that the caller sends ahead on its connection.
	requests = 90
	// pause is for how long the caller reads nothing.
	pause       = 4600 * time.Millisecond
	sigtermAt   = 400 * time.Millisecond
	segmentSize = 1448
	windowBytes = 8 << 10
	grace       = 6 * time.Second
	patience    = 8 * time.Second
)

// runs are the requests that servers have run.
type runs struct {
	mu  sync.Mutex
	ids map[string]bool
}

func body(id string) []byte { return bytes.Repeat([]byte(id[len(id)-1:]), bodyBytes) }

func (s *runs) handler(record *rig.Record, id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			w.Header().Set("Instance-Id", id)
			return
		}
		request := r.Header.Get("Request-Id")
		w.Header().Set("Request-Id", request)
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
			w.Header().Set("Not-Executed", "1")
			w.Header().Set("Instance-Id", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		s.mu.Lock()
		s.ids[request] = true
		s.mu.Unlock()
		record.Note("server %s runs %s", id, request)
		time.Sleep(20 * time.Millisecond)
		w.Header().Set("Response-Signature", id+"."+request)
		w.Header().Set("Content-Length", fmt.Sprint(bodyBytes))
		_, _ = w.Write(body(request))
	})
}

func main() {
	command := flag.String("command", "target/guavacrankd", "the daemon's program")
	file := flag.String("record", "record.txt", "the record")
	flag.Parse()
	rig.Main(func() (int, error) { return play(*command, *file) })
}

func play(command, file string) (int, error) {
	record, err := rig.NewRecord(file)
	if err != nil {
		return rig.NotRun, err
	}
	dir, err := os.MkdirTemp("", "stopslow")
	if err != nil {
		return rig.NotRun, err
	}
	defer os.RemoveAll(dir)
	store := standin.NewStore()
	storeAddress, err := rig.Serve(store)
	if err != nil {
		return rig.NotRun, err
	}
	seen := &runs{ids: make(map[string]bool)}
	stop := make(chan struct{})
	defer close(stop)
	for _, id := range []string{"i-1", "i-2"} {
		address, err := rig.Serve(seen.handler(record, id))
		if err != nil {
			return rig.NotRun, err
		}
		born := time.Now().UnixMilli()
		go rig.Beat(store, id, func(seq int) map[string]any {
			return rig.ServerRecord("docs", address, "za", "ready", 64, seq, born)
		}, stop)
	}
	store.Put("op/config", map[string]any{"version": "00000001",
		"routes": map[string]any{"read": map[string]any{"hostname": host, "path_prefix": "/read/", "route_type": "idempotent",
			"timeout_ms": 8000, "target_latency_ms": 2000, "priority": 1, "max_attempts": 2, "service": "docs"}},
		"services": map[string]any{"docs": map[string]any{"health_path": "/health", "max_conns": 440}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 26, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	settings := rig.Settings{Zone: "za", Regions: map[string]string{"za": "ra"}, FirstStart: true, MemoryMB: 184, Bounds: rig.GrazBounds}
	var gateways []*rig.Gateway
	for _, name := range []string{"vm-1", "vm-2"} {
		g, err := rig.NewGateway(record, dir, command, name, storeAddress, settings)
		if err != nil {
			return rig.NotRun, err
		}
		if err := g.Start(); err != nil {
			return rig.NotRun, err
		}
		defer g.Kill()
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		if err := g.AwaitReady(10 * time.Second); err != nil {
			return rig.NotRun, err
		}
	}
	time.Sleep(5 * time.Second) // All are in touch.
	return judge(record, gateways[0], seen)
}

// dial opens a caller's connection as over Ethernet, with little room for what is not read.
func dial(address string) (net.Conn, error) {
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentSize)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
		})
	}}
	return dialer.Dial("tcp4", address)
}

// judge plays the caller and judges what it gets.
func judge(record *rig.Record, g *rig.Gateway, seen *runs) (int, error) {
	conn, err := dial(g.Callers)
	if err != nil {
		return rig.NotRun, err
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	first := "r-0000"
	sentAt := time.Now()
	if _, err := fmt.Fprintf(conn, "GET /read/a HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", host, first, patience.Milliseconds()); err != nil {
		return rig.NotRun, err
	}
	if err := read(reader, first); err != nil {
		return rig.NotRun, err
	}
	sentAt = time.Now()
	var ids []string
	var text bytes.Buffer
	for n := 1; n <= requests; n++ {
		id := fmt.Sprintf("r-%04d", n)
		ids = append(ids, id)
		fmt.Fprintf(&text, "GET /read/a HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", host, id, patience.Milliseconds())
	}
	if _, err := conn.Write(text.Bytes()); err != nil {
		return rig.NotRun, err
	}
	record.Note("caller: sent %d requests ahead on one connection and reads nothing for %v", requests, pause)
	time.Sleep(sigtermAt)
	if rig.Trouble() {
		g.Signal(syscall.SIGTERM)
	}
	time.Sleep(time.Until(sentAt.Add(pause)))
	record.Note("caller: reads on")
	answered := make(map[string]bool)
	_ = conn.SetReadDeadline(sentAt.Add(patience))
	for _, id := range ids {
		if err := read(reader, id); err != nil {
			record.Note("caller: after %d complete answers: %v", len(answered), err)
			break
		}
		answered[id] = true
	}
	record.Note("caller: %d complete answers, %v after the requests were sent", len(answered), time.Since(sentAt).Round(time.Millisecond))
	seen.mu.Lock()
	defer seen.mu.Unlock()
	lost := 0
	for _, id := range ids {
		if seen.ids[id] && !answered[id] {
			lost++
			record.Note("LOST: %s was passed on to a server and has no complete answer", id)
		}
	}
	if lost > 0 {
		return rig.Broken, nil
	}
	if !rig.Trouble() && len(answered) != requests {
		return rig.NotRun, fmt.Errorf("%d of %d requests were answered", len(answered), requests)
	}
	return rig.Held, nil
}

// read reads the answer to a request.
func read(reader *bufio.Reader, id string) error {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var got bytes.Buffer
	if _, err := got.ReadFrom(response.Body); err != nil {
		return err
	}
	if response.Header.Get("Request-Id") != id && response.StatusCode == http.StatusOK {
		return fmt.Errorf("an answer to %q in place of %s", response.Header.Get("Request-Id"), id)
	}
	if response.StatusCode == http.StatusOK && !bytes.Equal(got.Bytes(), body(id)) {
		return fmt.Errorf("a wrong body for %s", id)
	}
	return nil
}
