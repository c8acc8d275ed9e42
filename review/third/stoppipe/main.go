// Command stoppipe plays a planned stop of a gateway while callers send requests ahead.
package main

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"guavacrank.example/review/third/rig"
)

const (
	host      = "docs.example"
	bodyBytes = 30_000
	// behind is the number of idempotent requests that a caller sends behind an order, one each
	// sendPause, without waiting for the answer to the order, and outstanding the most that it
	// leaves unanswered at a time.
	behind      = 16
	sendPause   = 8 * time.Millisecond
	outstanding = 10
	callers     = 12
	// stagger is the time between the starts of two callers.
	stagger = 17 * time.Millisecond
	// workTime is how long the servers take for a request.
	workTime    = 40 * time.Millisecond
	sigtermAt   = 500 * time.Millisecond
	playTime    = 5500 * time.Millisecond
	segmentSize = 1448
	windowBytes = 8 << 10
	// readBytes are read every readPause: about 1.6 MB/s.
	readBytes = 8 << 10
	readPause = 5 * time.Millisecond
	patience  = 4 * time.Second
)

// body returns the body of the answer to a request.
func body(id string) []byte { return bytes.Repeat([]byte(id[len(id)-1:]), bodyBytes) }

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
	servers := &rig.Servers{Work: workTime, Answer: body, Record: record}
	deployment, err := rig.Deploy(record, command, servers, map[string]any{
		"read":  rig.Route(host, "/read/", "idempotent", 5*time.Second, 600*time.Millisecond),
		"order": rig.Route(host, "/order/", "non_idempotent", 2500*time.Millisecond, 1500*time.Millisecond),
	})
	if err != nil {
		return rig.NotRun, err
	}
	defer deployment.Close()
	return judge(record, deployment.Gateways[0], servers)
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

// slowReader reads a little at a time.
type slowReader struct{ io.Reader }

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(readPause)
	return r.Reader.Read(p[:min(len(p), readBytes)])
}

// request is a request of a caller and what became of it.
type request struct {
	id       string
	order    bool // It is not idempotent.
	sentAt   time.Time
	answered bool
}

// caller sends an order and idempotent requests behind it, again and again, on one connection
// until an answer closes it.
type caller struct {
	name   string
	record *rig.Record
	conn   net.Conn
	sent   []*request
	// cut is the first request without a complete answer on a connection that no answer has
	// closed, and cutErr why.
	cut    *request
	cutErr error
}

// send sends a request. A failure shows when the answer is read.
func (c *caller) send(order bool) *request {
	r := &request{id: fmt.Sprintf("%s-%04d", c.name, len(c.sent)), order: order, sentAt: time.Now()}
	line := "GET /read/a HTTP/1.1\r\n"
	if order {
		line = "POST /order/a HTTP/1.1\r\nContent-Length: 0\r\n"
	}
	c.sent = append(c.sent, r)
	_, _ = fmt.Fprintf(c.conn, "%sHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", line, host, rig.Wire.RequestID, r.id, rig.Wire.TimeLeft, patience.Milliseconds())
	return r
}

// play returns when the time is over, or the connection has ended.
func (c *caller) play(until time.Time) {
	_ = c.conn.SetReadDeadline(until.Add(patience))
	reader := bufio.NewReader(slowReader{c.conn})
	for time.Now().Before(until) {
		group := make(chan *request, outstanding)
		closing := make(chan struct{})
		go c.sendGroup(group, closing)
		open := c.readGroup(reader, group, closing)
		for range group { // Those that were sent meanwhile.
		}
		if !open {
			return
		}
	}
}

// sendGroup sends an order and the requests behind it until the connection closes. It waits
// while too many are unanswered: those in group and the one that is read.
func (c *caller) sendGroup(group chan<- *request, closing <-chan struct{}) {
	defer close(group)
	group <- c.send(true)
	for range behind {
		select {
		case <-closing:
			return
		case <-time.After(sendPause):
		}
		group <- c.send(false)
	}
}

// readGroup reads the answers to a group and reports whether the connection is still open. It
// closes closing as soon as an answer's head says that the connection closes.
func (c *caller) readGroup(reader *bufio.Reader, group <-chan *request, closing chan<- struct{}) bool {
	for r := range group {
		closes, err := read(reader, r.id, closing)
		switch {
		case err != nil:
			c.cut, c.cutErr = r, err
			c.record.Note("caller %s: the answer to %s (order: %v) ends early: %v", c.name, r.id, r.order, err)
			if !closes {
				close(closing)
			}
			return false
		case closes:
			r.answered = true
			c.record.Note("caller %s: the answer to %s closes the connection", c.name, r.id)
			return false
		}
		r.answered = true
	}
	return true
}

// read reads the answer to a request. closes says that it closes the connection; then closing
// is closed.
func read(reader *bufio.Reader, id string, closing chan<- struct{}) (closes bool, err error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	if response.Close {
		close(closing)
	}
	got, err := io.ReadAll(response.Body)
	if err != nil {
		return response.Close, fmt.Errorf("status %d, Connection: close is %v, %d of %d bytes: %w", response.StatusCode, response.Close, len(got), response.ContentLength, err)
	}
	if response.StatusCode == http.StatusOK && (response.Header.Get(rig.Wire.RequestID) != id || !bytes.Equal(got, body(id))) {
		return response.Close, fmt.Errorf("a wrong answer to %s", id)
	}
	return response.Close, nil
}

// judge plays the callers and judges what they get.
func judge(record *rig.Record, g *rig.Gateway, servers *rig.Servers) (int, error) {
	var all []*caller
	var playing sync.WaitGroup
	until := time.Now().Add(playTime)
	for n := range callers {
		conn, err := dial(g.Callers)
		if err != nil {
			return rig.NotRun, err
		}
		defer conn.Close()
		c := &caller{name: fmt.Sprintf("c%d", n), record: record, conn: conn}
		all = append(all, c)
		playing.Go(func() { c.play(until) })
		time.Sleep(stagger)
	}
	time.Sleep(sigtermAt)
	if rig.Trouble() {
		g.Signal(syscall.SIGTERM)
	}
	playing.Wait()
	lost, orders := 0, 0
	for _, c := range all {
		answered := 0
		for _, r := range c.sent {
			if r.answered {
				answered++
			}
		}
		record.Note("caller %s: %d requests sent, %d complete answers", c.name, len(c.sent), answered)
		if !rig.Trouble() && answered != len(c.sent) {
			return rig.NotRun, fmt.Errorf("%d of %d requests were answered", answered, len(c.sent))
		}
		// Those behind the answer that was cut, or that closes, count as not read.
		if c.cut == nil || !servers.Ran(c.cut.id) {
			continue
		}
		lost++
		if c.cut.order {
			orders++
		}
		record.Note("LOST: %s (order: %v) was passed on to a server and has no complete answer (%v)", c.cut.id, c.cut.order, c.cutErr)
	}
	record.Note("%d requests were lost, %d of them orders", lost, orders)
	if lost > 0 {
		return rig.Broken, nil
	}
	return rig.Held, nil
}
