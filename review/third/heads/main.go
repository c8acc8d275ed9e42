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

	"guavacrank.example/review/third/rig"
)

const (
	host = "docs.example"
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
	servers := &rig.Servers{Work: workTime, Answer: func(string) []byte { return []byte("done") }, Record: record}
	deployment, err := rig.Deploy(record, command, servers, map[string]any{
		"read":  rig.Route(host, "/read/", "idempotent", 5*time.Second, time.Second),
		"order": rig.Route(host, "/order/", "non_idempotent", 4*time.Second, 1500*time.Millisecond),
	})
	if err != nil {
		return rig.NotRun, err
	}
	defer deployment.Close()
	return judge(record, deployment.Gateways[0], servers)
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
		if now > rig.MemoryMB<<20 {
			record.Note("platform: %s takes %d MB of %d MB and is killed", g.Name, now>>20, rig.MemoryMB)
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
	head := fmt.Sprintf("POST /order/a HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n", host, rig.Wire.RequestID, id, rig.Wire.TimeLeft, patience.Milliseconds(), bodyBytes)
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
		_, _ = fmt.Fprintf(conn, "GET /read/a HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", host, rig.Wire.RequestID, id, rig.Wire.TimeLeft, patience.Milliseconds())
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
func judge(record *rig.Record, g *rig.Gateway, servers *rig.Servers) (int, error) {
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
	passed := 0
	for _, id := range lost {
		if servers.Ran(id) {
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
