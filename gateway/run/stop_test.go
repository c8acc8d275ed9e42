package run

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/traffic/smallwindow"
)

const (
	// steadyCallers keep connections that are closed, and pause up to steadyPause between
	// two requests.
	steadyCallers = 300
	steadyPause   = 7 * time.Millisecond
	steadyRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
)

// countedListener counts the bytes that are read from its connections.
type countedListener struct {
	net.Listener
	read *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{accepted.(*net.TCPConn), l.read}, nil
}

type countedConn struct {
	*net.TCPConn
	read *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// keepAsking sends requests on a connection, one after the other, until it ends, and returns how
// many were answered.
func keepAsking(conn net.Conn, pause time.Duration) (answered int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		if _, err := io.WriteString(conn, steadyRequest); err != nil {
			return answered
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return answered
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return answered
		}
		answered++
		if response.Close {
			return answered
		}
		time.Sleep(pause)
	}
}

// http.Server.Shutdown reads requests that cross the end of their connections and drops them: their
// callers can't tell that they have not run.
func TestConnectionsAreClosedWithEveryRequestAnsweredOrUnread(t *testing.T) {
	g := NewWithT(t)
	gateway, _ := newIdleGateway(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	var read, answered atomic.Int64
	wrapped := gateway.wrapCallers(countedListener{listener, &read})
	var closing atomic.Bool
	callers := newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if closing.Load() {
			w.Header().Set("Connection", "close")
		}
	}))
	for _, listener := range wrapped {
		go callers.Serve(listener) // Ends with closeConnections.
	}
	var asking sync.WaitGroup
	for n := range steadyCallers {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		asking.Go(func() { answered.Add(keepAsking(conn, steadyPause*time.Duration(n)/steadyCallers)) })
	}
	time.Sleep(100 * time.Millisecond)
	closing.Store(true)
	gateway.closeConnections(callers, time.Now().Add(5*time.Second))
	asking.Wait()
	g.Expect(read.Load()).To(Equal(answered.Load() * int64(len(steadyRequest))))
}

// review/13: the process took itself for idle while responses waited for a caller that reads
// slowly, and ended before its time was up.
func TestTheEndWaitsForResponsesThatACallerReadsLate(t *testing.T) {
	const (
		requests      = 100
		responseBytes = 4000 // Less than net/http buffers.
		late          = 600 * time.Millisecond
		limit         = 5 * time.Second
	)
	g := NewWithT(t)
	gateway, _ := newIdleGateway(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	callers := newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(responseBytes))
		_, _ = w.Write(make([]byte, responseBytes)) // The caller may have left.
	}))
	for _, listener := range gateway.wrapCallers(listener) {
		go callers.Serve(listener) // Ends with closeConnections.
	}
	conn, err := smallwindow.Dial(listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	for range requests {
		_, err := io.WriteString(conn, steadyRequest)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Eventually(gateway.connections.Unfinished).Should(Equal(1))
	time.Sleep(100 * time.Millisecond)
	begun := time.Now()
	time.AfterFunc(late, func() { _, _ = io.Copy(io.Discard, conn) }) // A failure is seen below.
	gateway.closeConnections(callers, begun.Add(limit))
	g.Expect(time.Since(begun)).To(And(BeNumerically(">", late), BeNumerically("<", limit)))
	g.Expect(gateway.connections.Counts().ClosedUnsent).To(BeZero())
}
