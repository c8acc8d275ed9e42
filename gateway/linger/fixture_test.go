package linger

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/traffic/smallwindow"
)

const (
	// longBytes is a response that no such caller's host takes at once.
	longBytes = 300_000
	// sendPause is the time between two requests of a caller that sends on.
	sendPause = 2 * time.Millisecond
	// readBytes are read every readPause by a caller that reads slowly.
	readBytes = 8 << 10
	readPause = time.Millisecond
	// idleTimeout is that of the server.
	idleTimeout = 500 * time.Millisecond
	// writeTime limits the writing of some responses.
	writeTime = 100 * time.Millisecond
	// patience limits the time of a caller.
	patience = 20 * time.Second
)

// site is an HTTP server whose connections are tracked, on a loopback address.
type site struct {
	*GomegaWithT
	connections *Connections
	server      *http.Server
	address     string
}

func newSite(t *testing.T) *site {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &site{GomegaWithT: NewWithT(t), connections: NewConnections(nil), address: listener.Addr().String()}
	s.server = &http.Server{Handler: http.HandlerFunc(serve), ReadHeaderTimeout: time.Minute, IdleTimeout: idleTimeout, MaxHeaderBytes: 1 << 10}
	s.server.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			conn.(*Conn).Idle()
		}
	}
	go s.server.Serve(s.connections.Listen(listener)) // Ends with Close.
	t.Cleanup(func() {
		s.server.Close()
		s.connections.Abandon()
	})
	return s
}

// serve answers with the bytes that the query names, within writeTime if it says so. It closes
// the connection if the query says so, and does not read more than 10 bytes of a body.
func serve(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Has("close") {
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength != 0 {
		_, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, 10))
		var tooLong *http.MaxBytesError
		if errors.As(err, &tooLong) {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
	}
	if query.Has("limited") {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTime)) // Fails only if the caller has left.
	}
	n, _ := strconv.Atoi(query.Get("bytes")) // Zero without it.
	w.Header().Set("Content-Length", strconv.Itoa(n))
	_, _ = w.Write(make([]byte, n)) // The caller may have left.
}

// dial returns a connection of a caller with little room.
func (s *site) dial(t *testing.T) *net.TCPConn {
	conn, err := smallwindow.Dial(s.address)
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(conn.SetReadDeadline(time.Now().Add(patience))).To(Succeed())
	t.Cleanup(func() { conn.Close() })
	return conn
}

func get(target string) string { return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// sendOn sends a text again and again until the returned function is called. The server may
// close the connection meanwhile.
func sendOn(conn net.Conn, text string) (stop func()) {
	stopped, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-stopped:
				return
			case <-time.After(sendPause):
			}
			_, _ = io.WriteString(conn, text)
		}
	}()
	return func() {
		close(stopped)
		<-ended
	}
}

// slowReader reads a little at a time.
type slowReader struct{ io.Reader }

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(readPause)
	return r.Reader.Read(p[:min(len(p), readBytes)])
}

// zeros is a body without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// answers returns what a caller that reads slowly gets up to the end of its connection: a
// status and a length each. The last may be cut.
func answers(conn net.Conn) string {
	reader := bufio.NewReader(slowReader{conn})
	var got []string
	for {
		response, err := http.ReadResponse(reader, nil)
		if errors.Is(err, io.ErrUnexpectedEOF) && len(got) > 0 || errors.Is(err, io.EOF) {
			return strings.Join(got, ", ")
		}
		if err != nil {
			return strings.Join(append(got, err.Error()), ", ")
		}
		n, err := io.Copy(io.Discard, response.Body)
		if err != nil {
			return strings.Join(append(got, fmt.Sprintf("%d cut at %d: %v", response.StatusCode, n, err)), ", ")
		}
		got = append(got, fmt.Sprintf("%d with %d", response.StatusCode, n))
	}
}
