package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// ending is how a server ends a connection.
type ending int

const (
	closing   ending = iota
	resetting        // After the caller has read the last byte.
)

// cutServer responds to a request with the first bytes of a response, as its headers
// Cut and End say, and ends the connection. Without Cut it responds with all of "ok".
type cutServer struct {
	listener net.Listener
	response string
	mu       sync.Mutex
	callers  map[string]*countedConn // By their addresses.
}

// countedConn is a caller's connection that counts what the caller has read and tells
// when a write has failed.
type countedConn struct {
	*net.TCPConn
	mu   sync.Mutex
	read int
	more *sync.Cond // Of mu: read has grown.

	writeFailed chan struct{}
	failOnce    sync.Once
}

func newCountedConn(conn *net.TCPConn) *countedConn {
	c := &countedConn{TCPConn: conn, writeFailed: make(chan struct{})}
	c.more = sync.NewCond(&c.mu)
	return c
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read += n
	c.more.Broadcast()
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		c.failOnce.Do(func() { close(c.writeFailed) })
	}
	return n, err
}

// tcpClosed is the state of a connection that was reset (TCP_CLOSE of Linux).
const tcpClosed = 7

// awaitReset waits until the kernel has received a reset, and leaves its error to the
// next operation.
func (c *countedConn) awaitReset(g *GomegaWithT) {
	raw, err := c.SyscallConn()
	g.Expect(err).NotTo(HaveOccurred())
	for state := uint8(0); state != tcpClosed; runtime.Gosched() {
		err := raw.Control(func(fd uintptr) {
			info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			g.Expect(infoErr).NotTo(HaveOccurred())
			state = info.State
		})
		g.Expect(err).NotTo(HaveOccurred())
	}
}

// awaitRead waits until the caller has read so many bytes.
func (c *countedConn) awaitRead(bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.read < bytes {
		c.more.Wait()
	}
}

// dial connects to the server and counts what is read. It has no timeout: how long the
// machine takes is not under test.
func (s *cutServer) dial(_ context.Context, network, address string) (net.Conn, error) {
	conn, err := net.Dial(network, address)
	if err != nil {
		return nil, err
	}
	counted := newCountedConn(conn.(*net.TCPConn))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callers[conn.LocalAddr().String()] = counted
	return counted, nil
}

// caller returns the caller's end of a connection on which a request came.
func (s *cutServer) caller(conn net.Conn) *countedConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callers[conn.RemoteAddr().String()]
}

func newCutServer(t *testing.T, response string) *cutServer {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	s := &cutServer{listener: listener, response: response, callers: make(map[string]*countedConn)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn.(*net.TCPConn))
		}
	}()
	return s
}

func (s *cutServer) serve(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	written := 0
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		cut, end := -1, closing
		fmt.Sscan(request.Header.Get("Cut"), &cut)
		fmt.Sscan(request.Header.Get("End"), &end)
		if cut < 0 {
			n, _ := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			written += n
			continue
		}
		n, _ := io.WriteString(conn, s.response[:cut])
		if end == resetting {
			s.caller(conn).awaitRead(written + n)
			conn.SetLinger(0)
		}
		return
	}
}

// cutCase is one response that is cut.
type cutCase struct {
	method string
	cut    int
	end    ending
	reused bool
}

// read sends a request whose response is cut, and returns the whole body if the
// response is taken for complete. It returns an error if there is no response that
// could be cut, because no request reached the server.
func (s *cutServer) read(c cutCase) (body string, complete bool, err error) {
	p := NewPool(Options{Address: s.listener.Addr().String(), MaxConnections: 1, AcceptUnframed: true, Dial: s.dial})
	defer p.Close()
	if c.reused {
		if failure := roundTrip(p, false); failure != nil {
			return "", false, fmt.Errorf("the first request failed: %w", failure)
		}
	}
	request := get()
	request.Method = c.method
	request.Header.Set("Cut", fmt.Sprint(c.cut))
	request.Header.Set("End", fmt.Sprint(int(c.end)))
	response, failure := p.Do(context.Background(), request, false)
	if failure != nil && !failure.Sent {
		return "", false, fmt.Errorf("the request was not sent: %w", failure)
	}
	if failure != nil {
		return "", false, nil
	}
	defer response.Body.Close()
	read, readErr := io.ReadAll(response.Body)
	return string(read), readErr == nil, nil
}

func TestResponseCutAnywhereIsNotComplete(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: 1\r\nProof: s\r\n"
	responses := []struct {
		name, method, text, body string
	}{
		{"with a length", "GET", head + "Content-Length: 12\r\n\r\nthe response", "the response"},
		{"with the length first", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nId: 1\r\nProof: s\r\n\r\nthe response", "the response"},
		{"empty", "GET", head + "Content-Length: 0\r\n\r\n", ""},
		{"in chunks", "GET", head + "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nthe\r\n00a\r\n responses\r\n0\r\n\r\n", "the responses"},
		{"in chunks with a trailer", "GET", head + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n3\r\nthe\r\n0\r\nSum: 12\r\n\r\n", "the"},
		{"after information", "GET", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: 3\r\n\r\nthe", "the"},
		{"without content", "GET", "HTTP/1.1 204 No Content\r\nId: 1\r\nProof: s\r\n\r\n", ""},
		{"to HEAD", "HEAD", head + "Content-Length: 12\r\n\r\n", ""},
		{"a refusal", "GET", "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nfull", "full"},
	}
	for _, response := range responses {
		t.Run(response.name, func(t *testing.T) {
			t.Parallel()
			s := newCutServer(t, response.text)
			eachCut(response.method, len(response.text), func(c cutCase) {
				body, complete, err := s.read(c)
				whole := c.cut == len(response.text)
				switch {
				case err != nil:
					t.Errorf("%+v: nothing was tested: %v", c, err)
				case whole && (!complete || body != response.body):
					t.Errorf("%+v: the whole response was read as %q, complete: %v", c, body, complete)
				case !whole && complete:
					t.Errorf("%+v: %q was taken for complete: body %q", c, response.text[:c.cut], body)
				}
			})
		})
	}
}

func TestResponseWithoutLengthEndsOnlyWithAClose(t *testing.T) {
	t.Parallel()
	head := "HTTP/1.1 200 OK\r\nId: 1\r\nProof: s\r\n\r\n"
	text := head + "the response"
	s := newCutServer(t, text)
	eachCut("GET", len(text), func(c cutCase) {
		body, complete, err := s.read(c)
		if err != nil {
			t.Errorf("%+v: nothing was tested: %v", c, err)
			return
		}
		closed := c.cut >= len(head) && c.end == closing // It can't be told from a whole one.
		if complete != closed || complete && body != text[len(head):c.cut] {
			t.Errorf("%+v: %q, complete: %v, body %q", c, text[:c.cut], complete, body)
		}
	})
}

// cutWorkers is how many responses are read at once.
const cutWorkers = 16

// eachCut calls check for a cut after every number of bytes, a close or a reset, and a
// new or a reused connection.
func eachCut(method string, length int, check func(cutCase)) {
	cases := make(chan cutCase)
	var done sync.WaitGroup
	for range cutWorkers {
		done.Go(func() {
			for c := range cases {
				check(c)
			}
		})
	}
	for cut := range length + 1 {
		for _, reused := range []bool{false, true} {
			cases <- cutCase{method, cut, closing, reused}
			cases <- cutCase{method, cut, resetting, reused}
		}
	}
	close(cases)
	done.Wait()
}

// pacedBody is a streamed body whose second part is sent when told so.
type pacedBody struct {
	first  *bytes.Reader
	second *strings.Reader
	send   chan struct{}
}

func (b *pacedBody) Read(p []byte) (int, error) {
	if b.first.Len() > 0 {
		return b.first.Read(p)
	}
	<-b.send
	return b.second.Read(p)
}

func (*pacedBody) Close() error { return nil }
func (*pacedBody) Streamed()    {}

// A failed write takes the error of the reset, so that reading ends as if the server
// had closed the connection.
func TestResponseWithoutLengthIsNotCompleteAfterAResetSeenByTheWriter(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	caller, reset := make(chan *countedConn, 1), make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		part := "HTTP/1.1 200 OK\r\n\r\npart"
		io.WriteString(conn, part)
		(<-caller).awaitRead(len(part))
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
		close(reset)
	}()
	var counted *countedConn
	dial := func(_ context.Context, network, address string) (net.Conn, error) {
		conn, err := net.Dial(network, address)
		if err != nil {
			return nil, err
		}
		counted = newCountedConn(conn.(*net.TCPConn))
		caller <- counted
		return counted, nil
	}
	p := NewPool(Options{Address: listener.Addr().String(), MaxConnections: 1, AcceptUnframed: true, Dial: dial})
	defer p.Close()
	const size = 64 << 10
	body := &pacedBody{first: bytes.NewReader(make([]byte, size)), second: strings.NewReader(strings.Repeat("x", size)), send: make(chan struct{})}
	request := get()
	request.Method, request.Body, request.ContentLength = "POST", body, 2*size
	response, failure := p.Do(context.Background(), request, false)
	g.Expect(failure).To(BeNil())
	defer response.Body.Close()
	<-reset
	counted.awaitReset(g)
	close(body.send)
	<-counted.writeFailed // By the rest of the body.
	read, err := io.ReadAll(response.Body)
	g.Expect(err).To(HaveOccurred(), "%q was taken for the whole body", read)
	g.Expect(p.Open()).To(BeZero())
}
