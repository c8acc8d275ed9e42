// Command stopslow plays a planned stop of a gateway while a caller reads slowly.
package main

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

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
	// workTime is how long the servers take for a request.
	workTime = 20 * time.Millisecond
	patience = 8 * time.Second
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
		"read": rig.Route(host, "/read/", "idempotent", 8*time.Second, 2*time.Second),
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

// judge plays the caller and judges what it gets.
func judge(record *rig.Record, g *rig.Gateway, servers *rig.Servers) (int, error) {
	conn, err := dial(g.Callers)
	if err != nil {
		return rig.NotRun, err
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	first := "r-0000"
	sentAt := time.Now()
	if _, err := fmt.Fprintf(conn, "GET /read/a HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", host, rig.Wire.RequestID, first, rig.Wire.TimeLeft, patience.Milliseconds()); err != nil {
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
		fmt.Fprintf(&text, "GET /read/a HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", host, rig.Wire.RequestID, id, rig.Wire.TimeLeft, patience.Milliseconds())
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
	lost := 0
	for _, id := range ids {
		if servers.Ran(id) && !answered[id] {
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
	if response.Header.Get(rig.Wire.RequestID) != id && response.StatusCode == http.StatusOK {
		return fmt.Errorf("an answer to %q in place of %s", response.Header.Get(rig.Wire.RequestID), id)
	}
	if response.StatusCode == http.StatusOK && !bytes.Equal(got.Bytes(), body(id)) {
		return fmt.Errorf("a wrong body for %s", id)
	}
	return nil
}
