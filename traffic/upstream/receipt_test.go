package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// receiveBufferBytes is the receive buffer of a server that does not read.
	receiveBufferBytes = 4 << 10
	// longBodyBytes is a body that the client's kernel takes at once and the server's doesn't.
	longBodyBytes = 12 << 10
)

// earlyServer writes a response before it reads a request, and one after.
func earlyServer(t *testing.T, early, own string) string {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		time.Sleep(50 * time.Millisecond) // The request is on its way.
		io.WriteString(conn, early)
		time.Sleep(500 * time.Millisecond) // The client reads meanwhile.
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		io.WriteString(conn, own)
		time.Sleep(50 * time.Millisecond)
	}()
	return listener.Addr().String()
}

func TestResponseBeforeTheReceiptOfTheRequestIsNotItsOwn(t *testing.T) {
	encode := func(body string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n" + body }
	for _, afterReceipt := range []bool{false, true} {
		g := NewWithT(t)
		p := NewPool(Options{Address: earlyServer(t, encode("old"), encode("own")), MaxConnections: 1, AfterReceipt: afterReceipt})
		defer p.Close()
		request, err := http.NewRequest(http.MethodPost, "http://server/", strings.NewReader(strings.Repeat("x", longBodyBytes)))
		g.Expect(err).NotTo(HaveOccurred())
		response, failure := p.Do(context.Background(), request, false)
		g.Expect(failure).To(BeNil())
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(body)).To(Equal(map[bool]string{false: "old", true: "own"}[afterReceipt]))
	}
}

func TestResponsesAtOnceComeAfterTheReceiptOfTheRequest(t *testing.T) {
	g := NewWithT(t)
	const requests = 2000
	script := make([]string, requests)
	for at := range script {
		script[at] = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"
	}
	p := NewPool(Options{Address: scriptedServer(t, script...), MaxConnections: 1, AfterReceipt: true})
	defer p.Close()
	for range requests {
		body, failure := bodyOf(p, "1")
		g.Expect(failure).To(BeNil())
		g.Expect(body).To(Equal("own"))
	}
}
