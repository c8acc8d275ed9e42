package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"guavacrank.example/platform/standin"
	"guavacrank.example/review/third/rig"
)

type want struct {
	method, target, sum string
	idem                bool
}

var (
	mu    sync.Mutex
	wants = map[string]want{}
	runs  = map[string]int{}
	bad   []string
)

func complain(f string, a ...any) {
	mu.Lock()
	defer mu.Unlock()
	bad = append(bad, fmt.Sprintf(f, a...))
	fmt.Println("BAD", bad[len(bad)-1])
}

func sum(b []byte) string { h := sha256.Sum256(b); return fmt.Sprintf("%x", h[:8]) }

func respBody(id string, n int) []byte { return bytes.Repeat([]byte(id+"."), n/len(id)+1)[:n] }
func respLen(id string) int {
	h := sha256.Sum256([]byte(id))
	switch h[0] % 6 {
	case 0:
		return 0
	case 1:
		return int(h[1])
	case 2:
		return 2000 + int(h[1])*8
	case 3:
		return 4000 + int(h[1])
	case 4:
		return 30000 + int(h[1])*50
	}
	return 100
}

func handler(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			w.Header().Set("Instance-Id", id)
			return
		}
		req := r.Header.Get("Request-Id")
		w.Header().Set("Request-Id", req)
		if e := r.Header.Get("Expect-Instance"); e != id {
			w.Header().Set("Not-Executed", "1")
			w.Header().Set("Instance-Id", id)
			w.WriteHeader(421)
			return
		}
		x := rand.IntN(100)
		if x < 4 {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(503)
			return
		}
		b, err := io.ReadAll(r.Body)
		if err != nil {
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(400)
			return
		}
		mu.Lock()
		wt, ok := wants[req]
		runs[req]++
		n := runs[req]
		mu.Unlock()
		if !ok {
			complain("UNASKED id %q", req)
		} else if wt.method != r.Method || wt.target != r.RequestURI || wt.sum != sum(b) {
			complain("UNASKED changed %s: %s %s %s want %v", req, r.Method, r.RequestURI, sum(b), wt)
		} else if n > 1 && !wt.idem {
			complain("TWICE %s", req)
		}
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(8*time.Millisecond)))
		if x < 8 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Response-Signature", id+"."+req)
		if x < 12 {
			w.WriteHeader(500)
			return
		}
		out := respBody(req, respLen(req))
		if x < 50 {
			w.Header().Set("Content-Length", fmt.Sprint(len(out)))
		} else {
			w.(http.Flusher).Flush()
		}
		if r.Method != "HEAD" {
			for len(out) > 0 {
				k := min(len(out), 1+rand.IntN(20000))
				if _, err := w.Write(out[:k]); err != nil {
					return
				}
				out = out[k:]
			}
		}
	})
}

var count int64

type sent struct {
	id, method string
	idem       bool
}

func client(addr string, seed uint64, end time.Time, answered *int) {
	r := rand.New(rand.NewPCG(seed, 1))
	for n := 0; time.Now().Before(end); n++ {
		conn, err := net.DialTimeout("tcp4", addr, time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if r.IntN(2) == 0 {
			_ = conn.(*net.TCPConn).SetReadBuffer(8 << 10)
		}
		queue := make(chan sent, 200)
		total := 1 + r.IntN(60)
		slow := r.IntN(3) == 0
		go func() {
			defer close(queue)
			wr := rand.New(rand.NewPCG(seed, uint64(n)+77))
			var buf bytes.Buffer
			for i := 0; i < total; i++ {
				id := fmt.Sprintf("q%x-%x-%x", seed, n, i)
				s := sent{id: id, method: "GET", idem: true}
				path := "/read/x"
				var body []byte
				chunked := false
				switch k := wr.IntN(10); {
				case k < 5:
				case k < 6:
					s.method = "HEAD"
				case k < 8:
					s.method, s.idem, path = "POST", false, "/once/x"
					body = make([]byte, []int{0, 1, 10, 300, 5000, 17000, 40000}[wr.IntN(7)])
					chunked = wr.IntN(3) == 0
				default:
					s.method = "PUT"
					body = make([]byte, []int{0, 1, 10, 300, 5000, 17000}[wr.IntN(6)])
					chunked = wr.IntN(3) == 0
				}
				for j := range body {
					body[j] = byte(wr.IntN(256))
				}
				target := fmt.Sprintf("%s?i=%d", path, wr.IntN(1000))
				mu.Lock()
				wants[id] = want{s.method, target, sum(body), s.idem}
				mu.Unlock()
				fmt.Fprintf(&buf, "%s %s HTTP/1.1\r\nHost: docs.example\r\nRequest-Id: %s\r\nDeadline-Ms: 3000\r\nX: %s\r\n", s.method, target, id, strings.Repeat("y", wr.IntN(300)))
				switch {
				case chunked:
					buf.WriteString("Transfer-Encoding: chunked\r\n\r\n")
					for rest := body; len(rest) > 0; {
						k := min(len(rest), 1+wr.IntN(9000))
						fmt.Fprintf(&buf, "%x\r\n%s\r\n", k, rest[:k])
						rest = rest[k:]
					}
					buf.WriteString("0\r\n\r\n")
				case len(body) > 0 || s.method == "POST":
					fmt.Fprintf(&buf, "Content-Length: %d\r\n\r\n%s", len(body), body)
				default:
					buf.WriteString("\r\n")
				}
				queue <- s
				for buf.Len() > 0 && (wr.IntN(3) > 0 || i == total-1) {
					k := min(buf.Len(), 1+wr.IntN([]int{10, 300, 3000, 60000}[wr.IntN(4)]))
					if _, err := conn.Write(buf.Next(k)); err != nil {
						return
					}
					if wr.IntN(6) == 0 {
						time.Sleep(time.Duration(wr.IntN(4000)) * time.Microsecond)
					}
				}
			}
		}()
		_ = conn.SetReadDeadline(time.Now().Add(12 * time.Second))
		var src io.Reader = conn
		if slow {
			src = slowR{conn}
		}
		reader := bufio.NewReader(src)
		dead := r.IntN(8) == 0
		for s := range queue {
			if dead && r.IntN(10) == 0 {
				break
			}
			resp, err := http.ReadResponse(reader, &http.Request{Method: s.method})
			if err != nil {
				mu.Lock()
				ran := runs[s.id]
				mu.Unlock()
				fmt.Println("ENDED", s.id, s.method, "ran", ran, err)
				break
			}
			b, err := io.ReadAll(resp.Body)
			if err != nil {
				fmt.Println("CUT", s.id, s.method, resp.StatusCode, "close", resp.Close, len(b), resp.ContentLength, err)
				break
			}
			(*answered)++
			sig := resp.Header.Get("Response-Signature")
			mu.Lock()
			ran := runs[s.id]
			mu.Unlock()
			if sig != "" {
				if resp.Header.Get("Request-Id") != s.id || !strings.HasSuffix(sig, "."+s.id) {
					complain("MIXED %s got answer of %s (%s)", s.id, resp.Header.Get("Request-Id"), sig)
				}
				if resp.StatusCode == 200 && s.method != "HEAD" && !bytes.Equal(b, respBody(s.id, respLen(s.id))) {
					complain("MIXED body of %s: %d bytes want %d", s.id, len(b), respLen(s.id))
				}
			} else if resp.StatusCode/100 == 2 {
				complain("MIXED %s unsigned %d", s.id, resp.StatusCode)
			}
			if !s.idem && ran > 0 && (resp.StatusCode == 503 || resp.StatusCode == 429 || resp.StatusCode == 408 || resp.StatusCode == 421) {
				complain("REFUSED %s has run: %d %s", s.id, resp.StatusCode, b)
			}
			if resp.StatusCode/100 == 4 {
				complain("DENIED %s: %d %s", s.id, resp.StatusCode, b)
			}
			if resp.Close {
				break
			}
		}
		_ = conn.Close()
		go func() {
			for range queue {
			}
		}()
	}
}

type slowR struct{ c net.Conn }

func (s slowR) Read(p []byte) (int, error) {
	time.Sleep(2 * time.Millisecond)
	return s.c.Read(p[:min(len(p), 4096)])
}

func main() {
	command := flag.String("command", "target/guavacrankd", "")
	seed := flag.Uint64("seed", 1, "")
	dur := flag.Duration("for", 20*time.Second, "")
	stopAt := flag.Duration("stop", 0, "")
	flag.Parse()
	record, _ := rig.NewRecord("/tmp/fz/rec.txt")
	dir, _ := os.MkdirTemp("", "fz")
	store := standin.NewStore()
	sa, _ := rig.Serve(store)
	stop := make(chan struct{})
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		a, _ := rig.Serve(handler(id))
		born := time.Now().UnixMilli()
		go rig.Beat(store, id, func(seq int) map[string]any { return rig.ServerRecord("docs", a, "za", "ready", 64, seq, born) }, stop)
	}
	store.Put("op/config", map[string]any{"version": "00000001",
		"routes": map[string]any{
			"read": map[string]any{"hostname": "docs.example", "path_prefix": "/read/", "route_type": "idempotent", "timeout_ms": 5000, "target_latency_ms": 600, "priority": 1, "max_attempts": 2, "service": "docs"},
			"once": map[string]any{"hostname": "docs.example", "path_prefix": "/once/", "route_type": "non_idempotent", "timeout_ms": 5000, "target_latency_ms": 600, "priority": 1, "max_attempts": 2, "service": "docs"}},
		"services": map[string]any{"docs": map[string]any{"health_path": "/health", "max_conns": 440}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 26, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	g, err := rig.NewGateway(record, dir, *command, "vm-1", sa, rig.Settings{Zone: "za", Regions: map[string]string{"za": "ra"}, FirstStart: true, MemoryMB: 284, Bounds: rig.SmallBounds})
	if err != nil {
		panic(err)
	}
	if err := g.Start(); err != nil {
		panic(err)
	}
	defer g.Kill()
	if err := g.AwaitReady(10 * time.Second); err != nil {
		panic(err)
	}
	end := time.Now().Add(*dur)
	var wg sync.WaitGroup
	var answered [16]int
	for i := range 16 {
		wg.Go(func() { client(g.Callers, *seed*1000+uint64(i), end, &answered[i]) })
	}
	if *stopAt > 0 {
		time.Sleep(*stopAt)
		g.Signal(syscall.SIGTERM)
	}
	wg.Wait()
	t := 0
	for _, a := range answered {
		t += a
	}
	fmt.Println("answered", t, "ids", len(wants), "bad", len(bad), dir)
}
