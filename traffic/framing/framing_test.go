package framing

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	get  = "GET /a HTTP/1.1\r\nHost: h\r\n"
	post = "POST /a HTTP/1.1\r\nHost: h\r\n"
	// coded is a request with a body in chunks.
	coded = post + "Transfer-Encoding: chunked\r\n\r\n"
)

// soundRequests end where they end for every parser.
var soundRequests = []string{
	get + "\r\n",
	get + "A: " + strings.Repeat("a", 3*keptBytes) + "\r\n\r\n",
	post + "Content-Length: 3\r\n\r\n\n\r\n",
	coded + "1;a\r\nx\r\na\r\n0123456789\r\n0\r\n\r\n",
	coded + "0\r\nA: b\r\nC: d\r\n\r\n",
	"GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET /" + strings.Repeat("a", 3*keptBytes) + " HTTP/1.0\r\nContent-Length: 1\r\n\r\nx",
}

// faultyRequests are those that net/http would accept without the check, or in part.
var faultyRequests = []string{
	get + "A: b\n\r\n",
	get + "\n",
	get + "A: b\rc\r\n\r\n",
	get + "A: b\r\n c\r\n\r\n",
	get + "A: " + strings.Repeat("a", 3*keptBytes) + "\n\r\n",
	post + "Content-Length: 0\r\nContent-Length: 0\r\n\r\n",
	post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"GET http://h/a HTTP/1.1\r\nHost: g\r\n\r\n",
	"POST /" + strings.Repeat("a", 3*keptBytes) + " HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	coded + "1 \r\nx\r\n0\r\n\r\n",
	coded + "1;a\rb\r\nx\r\n0\r\n\r\n",
	coded + "1\r\nx\n0\r\n\r\n",
	coded + "1\r\nxy0\r\n\r\n",
	coded + "0\r\n\n",
	coded + "0\r\nA: b\n\r\n",
	coded + "0\r\nA: b\r\n c\r\n\r\n",
}

// pass returns what net/http gets of bytes that come in pieces.
func pass(text string, pieceBytes int) (passed string, faulty bool) {
	var s scanner
	for rest := text; rest != ""; {
		piece := rest[:min(pieceBytes, len(rest))]
		rest = rest[len(piece):]
		sound := s.scan([]byte(piece))
		passed += piece[:sound]
		if sound < len(piece) {
			return passed + s.ending(), true
		}
	}
	return passed, false
}

// complete returns how many complete requests net/http finds.
func complete(text string) (count int) {
	reader := bufio.NewReader(strings.NewReader(text))
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return count
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return count
		}
		count++
	}
}

func TestSoundRequestsPassInPiecesOfAnySize(t *testing.T) {
	g := NewWithT(t)
	text := strings.Join(soundRequests, "")
	for _, pieceBytes := range []int{1, 2, 3, 7, 100, keptBytes, len(text)} {
		passed, faulty := pass(text, pieceBytes)
		g.Expect(faulty).To(BeFalse())
		g.Expect(passed).To(Equal(text))
	}
	g.Expect(complete(text)).To(Equal(len(soundRequests)))
}

func TestAFaultyRequestInPiecesOfAnySizeIsMalformedToNetHTTP(t *testing.T) {
	for _, text := range faultyRequests {
		for pieceBytes := 1; pieceBytes <= len(text); pieceBytes++ {
			passed, faulty := pass(soundRequests[0]+text+soundRequests[0], pieceBytes)
			if !faulty || complete(passed) != 1 {
				t.Fatalf("%q in pieces of %d: passed %q", text, pieceBytes, passed)
			}
		}
	}
}

// Guards against a cancellation of the request before by the end of the connection.
func TestAFaultAfterARequestDoesNotEndThatRequest(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusTeapot)
		case <-time.After(50 * time.Millisecond):
		}
	})}
	go func() { _ = server.Serve(Listener{listener}) }()
	defer server.Close()
	for _, faulty := range faultyRequests {
		connection, err := net.Dial("tcp4", listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(connection, get+"\r\n"+faulty)
		g.Expect(err).NotTo(HaveOccurred())
		reader := bufio.NewReader(connection)
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(http.StatusOK))
		response, err = http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Close).To(BeTrue())
		g.Expect(connection.Close()).To(Succeed())
	}
}

func BenchmarkScan(b *testing.B) {
	text := []byte(get + "User-Agent: client\r\nAccept: */*\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nfour")
	var s scanner
	b.ReportAllocs()
	for b.Loop() {
		s.scan(text)
	}
}
