package front

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// silence is how long a caller waits for the rest of the answers to bytes that end
	// within a request.
	silence = 50 * time.Millisecond
	// randomMessages is the number of requests of the seeded run.
	randomMessages = 3000
	// lastRequest follows the bytes of a test, so that the connection ends.
	lastRequest = "GET /last HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n"
)

// byteWire is a caller's raw socket before a Handler and a server's raw socket behind it.
type byteWire struct {
	address string
	// answer is what the server answers to each request.
	answer string
	// rest, if set, is sent a while after answer.
	rest string

	mu sync.Mutex
	// received are the requests as the server received them, faults those that it could
	// not read.
	received []rawMessage
	faults   []string
}

func newByteWire(t testing.TB) *byteWire {
	w := &byteWire{answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}
	_, w.address = serveCallersFrom(t, rawTimeout, serveConnections(t, w.serve))
	return w
}

// serve reads requests as bytes and answers each.
func (w *byteWire) serve(conn net.Conn) {
	defer conn.Close()
	text, buffer := "", make([]byte, 64<<10)
	for {
		rest := text
		message, err := takeMessage(&rest)
		switch {
		case err == nil:
			text = rest
			w.record(message, "")
			if _, err := io.WriteString(conn, w.answer); err != nil {
				return
			}
			if w.rest != "" {
				time.Sleep(silence)
				_, _ = io.WriteString(conn, w.rest) // The gateway may have closed it.
			}
			continue
		case errors.Is(err, errMalformed):
			w.record(message, text)
			return
		}
		n, err := conn.Read(buffer)
		if err != nil {
			return // The connection has ended.
		}
		text += string(buffer[:n])
	}
}

func (w *byteWire) record(message rawMessage, fault string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if fault != "" {
		w.faults = append(w.faults, fault)
		return
	}
	w.received = append(w.received, message)
}

// take returns what the server has received since the last call.
func (w *byteWire) take() (received []rawMessage, faults []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	received, faults = w.received, w.faults
	w.received, w.faults = nil, nil
	return received, faults
}

// send sends bytes on a new connection and returns all that comes back until its end, or
// for wait if that is not zero.
func (w *byteWire) send(t testing.TB, text string, wait time.Duration) string {
	t.Helper()
	conn, err := net.Dial("tcp4", w.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	limit := rawTimeout
	if wait > 0 {
		limit = wait
	}
	_ = conn.SetDeadline(time.Now().Add(limit))
	_, _ = io.WriteString(conn, text) // It may have answered and closed before the end.
	answers, err := io.ReadAll(conn)
	if errors.Is(err, os.ErrDeadlineExceeded) && wait == 0 {
		t.Fatalf("%q: the connection does not end; answers %q", text, answers)
	}
	return string(answers)
}

// statuses returns the status codes of answers.
func statuses(t testing.TB, answers string) (codes []int) {
	t.Helper()
	reader := bufio.NewReader(strings.NewReader(answers))
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return codes
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			t.Fatalf("answers %q: %v", answers, err)
		}
		if response.StatusCode >= http.StatusOK {
			codes = append(codes, response.StatusCode)
		}
	}
}

// messagesOf returns the requests that bytes consist of, and what ended them.
func messagesOf(text string) (messages []rawMessage, err error) {
	for text != "" {
		message, err := takeMessage(&text)
		if err != nil {
			return messages, err
		}
		messages = append(messages, message)
	}
	return messages, nil
}

// exchange sends bytes and fails unless each request was forwarded as it is or rejected
// before anything was sent. It returns what the server received and the status codes.
func (w *byteWire) exchange(t testing.TB, text string) ([]rawMessage, []int) {
	t.Helper()
	sent, err := messagesOf(text)
	wait := time.Duration(0)
	if errors.Is(err, errIncomplete) {
		wait = silence
	}
	codes := statuses(t, w.send(t, text, wait))
	received, faults := w.take()
	if len(faults) > 0 {
		t.Fatalf("%q: the server received %q", text, faults)
	}
	next := 0
	for _, message := range received {
		for next < len(sent) && !message.same(sent[next]) {
			next++
		}
		if next == len(sent) {
			t.Fatalf("%q: the server received %+v; sent %+v (%v)", text, message, sent, err)
		}
		next++
	}
	forwarded := 0
	for _, code := range codes {
		if code == http.StatusOK {
			forwarded++
		} else if code < http.StatusBadRequest || code >= http.StatusInternalServerError && code != http.StatusNotImplemented && code != http.StatusHTTPVersionNotSupported {
			t.Fatalf("%q: status %d", text, code)
		}
	}
	if forwarded != len(received) && wait == 0 {
		t.Fatalf("%q: the server received %d requests, %d were answered", text, len(received), forwarded)
	}
	return received, codes
}

// Requests that no client of the users sends, and that parsers read differently.
var disputedRequests = map[string]string{
	"length and chunks":            "POST /a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"chunks and length":            "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
	"the same length twice":        "POST /a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx",
	"chunks in HTTP/1.0":           "POST /a HTTP/1.0\r\nHost: h.example\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"chunks in a long HTTP/1.0":    "POST /" + strings.Repeat("a", 20_000) + " HTTP/1.0\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"codings twice":                "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"folded field":                 "GET /a HTTP/1.1\r\nHost: h.example\r\nA: b\r\n c\r\n\r\n",
	"folded field with a tab":      "GET /a HTTP/1.1\r\nHost: h.example\r\nA: b\r\n\tc\r\n\r\n",
	"folded length":                "POST /a HTTP/1.1\r\nHost: h.example\r\nContent-Length:\r\n 1\r\n\r\nx",
	"bare LF after the request":    "GET /a HTTP/1.1\nHost: h.example\r\n\r\n",
	"bare LF after a field":        "GET /a HTTP/1.1\r\nHost: h.example\r\nA: b\nC: d\r\n\r\n",
	"bare LF at the end":           "GET /a HTTP/1.1\r\nHost: h.example\r\n\n",
	"bare CR in a field":           "GET /a HTTP/1.1\r\nHost: h.example\r\nA: b\rC: d\r\n\r\n",
	"two CRs":                      "GET /a HTTP/1.1\r\nHost: h.example\r\nA: b\r\r\n\r\n",
	"absolute target, other host":  "GET http://h.example/a HTTP/1.1\r\nHost: other.example\r\n\r\n",
	"absolute target, other port":  "GET http://h.example/a HTTP/1.1\r\nHost: h.example:81\r\n\r\n",
	"absolute target with a user":  "GET http://u@h.example/a HTTP/1.1\r\nHost: h.example\r\n\r\n",
	"absolute target, other sort":  "GET ftp://h.example/a HTTP/1.1\r\nHost: h.example\r\n\r\n",
	"absolute target, escaped":     "GET http://h%2Eexample/a HTTP/1.1\r\nHost: h%2Eexample\r\n\r\n",
	"zone in the host":             "GET /a HTTP/1.1\r\nHost: [fe80::1%25en0]\r\n\r\n",
	"two hosts":                    "GET /a HTTP/1.1\r\nHost: h.example\r\nHost: h.example\r\n\r\n",
	"space before the colon":       "GET /a HTTP/1.1\r\nHost: h.example\r\nContent-Length : 1\r\n\r\nx",
	"space at the beginning":       "GET /a HTTP/1.1\r\n Host: h.example\r\n\r\n",
	"signed length":                "POST /a HTTP/1.1\r\nHost: h.example\r\nContent-Length: +1\r\n\r\nx",
	"list of lengths":              "POST /a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1, 1\r\n\r\nx",
	"empty length":                 "POST /a HTTP/1.1\r\nHost: h.example\r\nContent-Length:\r\n\r\n",
	"coding with a parameter":      "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked;a=b\r\n\r\n0\r\n\r\n",
	"coding in quotes":             "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: \"chunked\"\r\n\r\n0\r\n\r\n",
	"identity coding":              "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: identity\r\nContent-Length: 1\r\n\r\nx",
	"space after a chunk's size":   "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n1 \r\nx\r\n0\r\n\r\n",
	"chunk's size with a prefix":   "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n0x1\r\nx\r\n0\r\n\r\n",
	"bare LF after a chunk's size": "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n1\nx\r\n0\r\n\r\n",
	"bare CR in an extension":      "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n1;a\rb\r\nx\r\n0\r\n\r\n",
	"bare LF in an extension":      "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n1;a\nb\r\nx\r\n0\r\n\r\n",
	"chunk longer than its size":   "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nxy\r\n0\r\n\r\n",
	"bare LF after a chunk":        "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\n0\r\n\r\n",
	"folded trailer":               "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n c\r\n\r\n",
	"bare LF in the trailer":       "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: b\nC: d\r\n\r\n",
	"length in the trailer":        "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 1\r\n\r\n",
	"length as a trailer":          "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\nTrailer: Content-Length\r\n\r\n0\r\n\r\n",
	"host in the trailer":          "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nHost: b\r\n\r\n",
	"control byte in the trailer":  "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: \x01\r\n\r\n",
	"bare LF after the last chunk": "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\n",
}

func TestARequestThatParsersReadDifferentlyIsRejectedBeforeAnythingIsSent(t *testing.T) {
	w := newByteWire(t)
	for name, text := range disputedRequests {
		t.Run(name, func(t *testing.T) {
			received, codes := w.exchange(t, text+lastRequest)
			NewWithT(t).Expect(received).To(BeEmpty())
			NewWithT(t).Expect(codes).To(HaveLen(1), "and the connection is closed")
		})
	}
}

// properRequests are unusual, but every parser reads them the same way.
var properRequests = map[string]string{
	"no body":                      "GET /a HTTP/1.1\r\nHost: h.example\r\n\r\n",
	"HTTP/1.0":                     "GET /a HTTP/1.0\r\nHost: h.example\r\nConnection: keep-alive\r\n\r\n",
	"body with a length":           "POST /a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n\r\n\r\n\n\x00",
	"long body":                    "POST /a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x\r\n\r\n", 20_000),
	"length with zeros":            "POST /a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0004\r\n\r\nfour",
	"body of a GET":                "GET /a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n\r\nfour",
	"body in chunks":               "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\nA\r\n0123456789\r\n0\r\n\r\n",
	"coding in capitals":           "POST /a HTTP/1.1\r\nHOST: h.example\r\nTRANSFER-ENCODING: Chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
	"empty body in chunks":         "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"body of DELETE in chunks":     "DELETE /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
	"chunk extensions":             "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n1;a=b;c=\"d e\"\r\na\r\n0;e\r\n\r\n",
	"chunk's size with zeros":      "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n000a\r\n0123456789\r\n000\r\n\r\n",
	"duplicate fields in order":    "GET /a HTTP/1.1\r\nHost: h.example\r\nB: 2\r\nA: 3\r\nb: 1\r\nB:\r\nA: 1\r\n\r\n",
	"values that look alike":       "GET /a HTTP/1.1\r\nHost: h.example\r\nA: a,b\r\nA: a, b\r\nA:a  b\t\r\nB: \xe4\xff;=\"\\\r\n\r\n",
	"user agents":                  "GET /a HTTP/1.1\r\nHost: h.example\r\nUser-Agent: u\r\nUser-Agent: v\r\nUser-Agent:\r\n\r\n",
	"empty user agent":             "GET /a HTTP/1.1\r\nHost: h.example\r\nUser-Agent:\r\n\r\n",
	"old field of caches":          "GET /a HTTP/1.1\r\nHost: h.example\r\nPragma: no-cache\r\n\r\nGET /a HTTP/1.1\r\nHost: h.example\r\nPragma: no-cache\r\ncache-control: no-cache\r\n\r\n",
	"trailer":                      "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\nTrailer: B, A, None\r\n\r\n1\r\nx\r\n0\r\nB: 2\r\nA: 1\r\nb: 1\r\n\r\n",
	"trailer that isn't announced": "GET /a HTTP/1.1\r\nHost: h.example\r\nA: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: 2\r\nX:\r\n\r\n",
	"trailer of a long body":       "POST /a HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n8000\r\n" + strings.Repeat("x", 0x8000) + "\r\n0\r\nA: 1\r\n\r\n",
	"odd names":                    "GET /a HTTP/1.1\r\nHost: h.example\r\n!#$%&'*+-.^_`|~9: 1\r\nx_y: 2\r\nX-Y: 3\r\n\r\n",
	"long fields":                  "GET /a HTTP/1.1\r\nHost: h.example\r\nA: " + strings.Repeat("a", 20_000) + "\r\nB: b\r\n\r\n",
	"long target":                  "GET /" + strings.Repeat("a", 20_000) + " HTTP/1.1\r\nHost: h.example\r\n\r\n",
	"host with a port":             "GET /a HTTP/1.1\r\nHost: h.example:8080\r\n\r\n",
	"host in capitals":             "GET /a HTTP/1.1\r\nHost: H.Example\r\n\r\n",
	"absolute target":              "GET http://h.example:80/a?b HTTP/1.1\r\nHost: h.example:80\r\n\r\n",
	"fields of the connection":     "GET /a HTTP/1.1\r\nHost: h.example\r\nConnection: a, X-b\r\nA: 1\r\nX-B: 2\r\nC: 3\r\nKeep-Alive: 5\r\nTE: trailers\r\nUpgrade: h2c\r\n\r\n",
	"fields without a body":        "GET /a HTTP/1.1\r\nHost: h.example\r\nContent-Type: a\r\nContent-Encoding: b\r\nRange: bytes=0-\r\nIf-None-Match: \"x\"\r\n\r\n",
	"many fields":                  "GET /a HTTP/1.1\r\nHost: h.example\r\n" + strings.Repeat("A: b\r\n", 2000) + "\r\n",
	"method of its own":            "x!y /a HTTP/1.1\r\nHost: h.example\r\n\r\n",
	"empty line before the second": "POST /a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1\r\n\r\nx",
}

func TestARequestThatAllParsersReadAlikeIsForwardedAsItCameIn(t *testing.T) {
	w := newByteWire(t)
	for name, text := range properRequests {
		t.Run(name, func(t *testing.T) {
			received, codes := w.exchange(t, text+text+lastRequest)
			sent, err := messagesOf(text + text + lastRequest)
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			NewWithT(t).Expect(received).To(HaveLen(len(sent)))
			NewWithT(t).Expect(codes).To(HaveLen(len(sent)))
			NewWithT(t).Expect(codes).To(HaveEach(200))
		})
	}
}

// randomMessage returns a request of pieces, some of which parsers read differently.
func randomMessage(random *rand.Rand) string {
	pick := func(pieces ...string) string { return pieces[random.IntN(len(pieces))] }
	text := pick("GET", "POST", "DELETE", "x") + " " + pick("/a", "/a", "//b?c", "http://h.example/a", "*") + " " + pick("HTTP/1.1", "HTTP/1.1", "HTTP/1.1", "HTTP/1.0")
	text += pick("\r\n", "\r\n", "\r\n", "\r\n", "\r\n", "\r\n", "\n") + "Host: " + pick("h.example", "h.example", "h.example", "h.example", "H.example", "other.example")
	chunked := random.IntN(2) == 0
	for range random.IntN(5) {
		text += "\r\n" + pick("A: 1", "a: 2", "B:", "A:  x\t", "A: \xe4", "User-Agent: u", "User-Agent:", "Pragma: no-cache", "Cache-Control: no-cache", "Accept: */*", "Cookie: a=b; c", "Range: bytes=0-", "If-Match: *", "Via: 1.1 x", "X_y: z", "Trailer: T", "Connection: b", "TE: trailers", "Expect: 100-continue",
			"Content-Length: 3", "Transfer-Encoding: chunked", " folded", "A\r: 3", "A: 4\n", "A : 5", "Transfer-Encoding: x", "Content-Length: 03")
	}
	if !chunked {
		body := pick("", "x", "xyz\r\n", "0\r\n\r\n")
		return text + "\r\nContent-Length: " + strconv.Itoa(len(body)) + pick("\r\n\r\n", "\r\n\r\n", "\r\n\r\n", "\r\n\n") + body
	}
	text += "\r\nTransfer-Encoding: chunked\r\n\r\n"
	for range random.IntN(3) {
		data := pick("x", "0\r\n\r\n", "GET / HTTP/1.1\r\n\r\n")
		text += fmt.Sprintf("%x", len(data)) + pick("", "", "", ";e", " ;e=\"\"", " ", "\r", ";\n") + "\r\n" + data + pick("\r\n", "\r\n", "\r\n", "\r\n", "\n")
	}
	return text + "0\r\n" + pick("", "", "", "T: 1\r\n", "T: 1\r\nt: 2\r\nU: 3\r\n", "T: 1\n", " x\r\n", "Host: b\r\n") + "\r\n"
}

func TestRandomRequestsAreForwardedAsTheyCameInOrRejected(t *testing.T) {
	w, random := newByteWire(t), rand.New(rand.NewPCG(randomSeed, 1))
	forwarded := 0
	for range randomMessages {
		received, _ := w.exchange(t, randomMessage(random)+lastRequest)
		forwarded += len(received)
	}
	NewWithT(t).Expect(forwarded).To(BeNumerically(">", randomMessages/4))
}

// The seeds are in testdata/fuzz. By hand: go test ./gateway/front -fuzz FuzzRequest -fuzztime 10m.
func FuzzRequestIsForwardedAsItCameInOrRejected(f *testing.F) {
	w := newByteWire(f)
	f.Fuzz(func(t *testing.T, text string) { w.exchange(t, text+lastRequest) })
}
