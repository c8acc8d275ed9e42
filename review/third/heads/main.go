// Command heads plays callers whose requests have long heads of many short fields.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"guavacrank.example/platform/standin"
	"guavacrank.example/review/third/rig"
)

const (
	host     = "docs.example"
	memoryMB = 184
	// orders are sent at the same time, each with a head of headBytes.
	orders    = 800
	headBytes = 16_000
	bodyBytes = 20_000
	// bodyTime is how long a caller takes to send a body.
	bodyTime = 3 * time.Second
	patience = 4 * time.Second
	lookers  = 30
	workTime = 300 * time.Millisecond
	playTime = 9 * time.Second
)

// runs are the requests that servers have run.
type runs struct {
	mu  sync.Mutex
	ids map[string]bool
}

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
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		s.ids[request] = true
		s.mu.Unlock()
		record.Note("server %s runs %s", id, request)
		time.Sleep(workTime)
		w.Header().Set("Response-Signature", id+"."+request)
		_, _ = io.WriteString(w, "done") // The gateway may have disconnected.
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
	dir, err := os.MkdirTemp("", "heads")
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
	for n := range 6 {
		id := fmt.Sprintf("i-%d", n)
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
		"routes": map[string]any{
			"read": map[string]any{"hostname": host, "path_prefix": "/read/", "route_type": "idempotent",
				"timeout_ms": 5000, "target_latency_ms": 1000, "priority": 1, "max_attempts": 2, "service": "docs"},
			"order": map[string]any{"hostname": host, "path_prefix": "/order/", "route_type": "non_idempotent",
				"timeout_ms": 4000, "target_latency_ms": 1500, "priority": 1, "max_attempts": 2, "service": "docs"}},
		"services": map[string]any{"docs": map[string]any{"health_path": "/health", "max_conns": 440}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 26, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	settings := rig.Settings{Zone: "za", Regions: map[string]string{"za": "ra"}, FirstStart: true, MemoryMB: memoryMB, Bounds: rig.GrazBounds}
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

// resident returns the resident memory of a process in bytes.
func resident(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// watch does what the platform does: it kills a process that exceeds its memory. It returns the
// highest memory seen, and whether the process was killed.
func watch(record *rig.Record, g *rig.Gateway, until time.Time) (most int64, killed bool) {
	for time.Now().Before(until) {
		now := resident(g.PID())
		most = max(most, now)
		if now > memoryMB<<20 {
			record.Note("platform: %s takes %d MB of %d MB and is killed", g.Name, now>>20, memoryMB)
			g.Signal(syscall.SIGKILL)
			return most, true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return most, false
}

// fields returns lines of a head, one field each, up to a length.
func fields(length int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var text strings.Builder
	for n := 0; text.Len() < length; n++ {
		name := []byte{'x', letters[n/676%26], letters[n/26%26], letters[n%26]}
		fmt.Fprintf(&text, "%s:1\r\n", name)
	}
	return text.String()
}

// order sends one order and returns the status of its answer, zero without one.
func order(address, id, long string) int {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(patience + time.Second))
	head := fmt.Sprintf("POST /order/a HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n", host, id, patience.Milliseconds(), bodyBytes)
	if _, err := io.WriteString(conn, head+long+"\r\n"); err != nil {
		return 0
	}
	const parts = 10
	for range parts {
		time.Sleep(bodyTime / parts)
		if _, err := conn.Write(make([]byte, bodyBytes/parts)); err != nil {
			break
		}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// look sends idempotent requests on a kept connection, each after the answer to the one before.
// It returns the ID of the one without an answer, if any.
func look(record *rig.Record, address, name string, until time.Time) (unanswered string, answered int) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return "", 0
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; time.Now().Before(until); n++ {
		id := fmt.Sprintf("%s-%04d", name, n)
		_ = conn.SetDeadline(time.Now().Add(patience))
		_, _ = fmt.Fprintf(conn, "GET /read/a HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", host, id, patience.Milliseconds())
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err != nil {
			record.Note("caller %s: %s has no answer: %v", name, id, err)
			return id, answered
		}
		if response.StatusCode == http.StatusOK {
			answered++
		}
	}
	return "", answered
}

// judge plays the callers and judges what they get.
func judge(record *rig.Record, g *rig.Gateway, seen *runs) (int, error) {
	until := time.Now().Add(playTime)
	var playing sync.WaitGroup
	var mu sync.Mutex
	lost, answered := []string{}, 0
	for n := range lookers {
		playing.Go(func() {
			id, count := look(record, g.Callers, fmt.Sprintf("c%d", n), until)
			mu.Lock()
			defer mu.Unlock()
			answered += count
			if id != "" {
				lost = append(lost, id)
			}
		})
	}
	statuses := make(map[int]int)
	long := ""
	if rig.Trouble() {
		long = fields(headBytes)
	}
	var most int64
	killed := false
	playing.Go(func() { most, killed = watch(record, g, until) })
	for n := range orders {
		playing.Go(func() {
			status := order(g.Callers, fmt.Sprintf("o-%d", n), long)
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
		time.Sleep(500 * time.Microsecond)
	}
	record.Note("callers: %d orders with heads of %d bytes are on their way", orders, len(long)+150)
	playing.Wait()
	record.Note("%s took %d MB at most; killed: %v; orders by status: %v; %d lookups answered", g.Name, most>>20, killed, statuses, answered)
	seen.mu.Lock()
	defer seen.mu.Unlock()
	passed := 0
	for _, id := range lost {
		if seen.ids[id] {
			passed++
			record.Note("LOST: %s was passed on to a server and its connection closed without an answer", id)
		}
	}
	switch {
	case passed > 3:
		return rig.Broken, nil
	case answered < lookers:
		return rig.NotRun, fmt.Errorf("%d lookups were answered", answered)
	}
	return rig.Held, nil
}
