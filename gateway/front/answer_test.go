package front

import (
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// relayedAnswers are answers of a server to a request, and what the caller gets. Date and
// Connection are left out.
var relayedAnswers = []struct {
	name, request, answer, want string
}{
	{"HEAD with a length", "HEAD /a HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nETag: e\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nEtag: e\r\n\r\n"},
	{"HEAD without a length", "HEAD /a HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\nETag: e\r\n\r\n", "HTTP/1.1 200 OK\r\nEtag: e\r\n\r\n"},
	{"HEAD in chunks", "HEAD /a HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"},
	{"HEAD of a failure", "HEAD /a HTTP/1.1\r\n", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 7\r\n\r\n", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 7\r\n\r\n"},
	{"HEAD of HTTP/1.0", "HEAD /a HTTP/1.0\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n"},
	{"204", "GET /a HTTP/1.1\r\n", "HTTP/1.1 204 No Content\r\nA: b\r\n\r\n", "HTTP/1.1 204 No Content\r\nA: b\r\n\r\n"},
	{"204 with a length", "DELETE /a HTTP/1.1\r\n", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n"},
	{"304", "GET /a HTTP/1.1\r\n", "HTTP/1.1 304 Not Modified\r\nETag: e\r\n\r\n", "HTTP/1.1 304 Not Modified\r\nEtag: e\r\n\r\n"},
	{"304 with the length of the body that it stands for", "GET /a HTTP/1.1\r\n", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\nETag: e\r\n\r\n", "HTTP/1.1 304 Not Modified\r\nEtag: e\r\n\r\n"},
	{"205", "GET /a HTTP/1.1\r\n", "HTTP/1.1 205 Reset Content\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 205 Reset Content\r\nContent-Length: 0\r\n\r\n"},
	{"TRACE", "TRACE /a HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\nContent-Type: message/http\r\nContent-Length: 4\r\n\r\n\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Type: message/http\r\n\r\n\r\n\r\n"},
	{"OPTIONS", "OPTIONS /a HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\nAllow: GET\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nAllow: GET\r\nContent-Length: 0\r\n\r\n"},
	{"body in chunks", "GET /a HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;e\r\nx\r\n2\r\nyz\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nxyz"},
	{"body in chunks for HTTP/1.0", "GET /a HTTP/1.0\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: b\r\n\r\n", "HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nx"},
	{"trailer", "GET /a HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\nA: 1\r\nTransfer-Encoding: chunked\r\nTrailer: A, None\r\n\r\n1\r\nx\r\n0\r\nA: 2\r\na: 3\r\nB:\r\n\r\n", "HTTP/1.1 200 OK\r\nA: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: 2\r\nA: 3\r\nB: \r\n\r\n"},
	{"trailer with a length", "GET /a HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nContent-Length: 5\r\nConnection: a\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"},
	{"fields in order", "GET /a HTTP/1.1\r\n", "HTTP/1.1 299 Some\r\nSet-Cookie: b\r\nset-cookie: a\r\nContent-Type: x\r\nDate: y\r\nServer: z\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 299 status code 299\r\nContent-Length: 0\r\nContent-Type: x\r\nServer: z\r\nSet-Cookie: b\r\nSet-Cookie: a\r\n\r\n"},
	{"fields of the connection", "GET /a HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\nConnection: x\r\nX: 1\r\nKeep-Alive: timeout=5\r\nUpgrade: h2c\r\nY: 2\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nY: 2\r\n\r\n"},
	{"informational answer", "GET /a HTTP/1.1\r\n", "HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\nA: b\r\n\r\nx", "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 1\r\n\r\nx"},
	{"two informational answers", "GET /a HTTP/1.1\r\n", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: l\r\nLink: m\r\nContent-Length: 3\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n"},
	{"informational answer to HTTP/1.0", "GET /a HTTP/1.0\r\n", "HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", "HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nx"},
	{"old field of caches", "GET /a HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\nPragma: no-cache\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nPragma: no-cache\r\n\r\n"},
	{"both fields of caches", "GET /a HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\nPragma: no-cache\r\ncache-control: no-cache\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nCache-Control: no-cache\r\nContent-Length: 0\r\nPragma: no-cache\r\n\r\n"},
	{"long fields", "GET /a HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 5000) + "\r\nContent-Length: 1\r\n\r\nx", "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 5000) + "\r\nContent-Length: 1\r\n\r\nx"},
	{"a 100 that nobody asked for", "GET /a HTTP/1.1\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"},
}

// connectionOrDate matches the fields that are left out.
var connectionOrDate = regexp.MustCompile("(?m)^(Connection|Date): .*\r\n")

func TestAnAnswerIsRelayedWithTheFramingOfItsStatusAndMethod(t *testing.T) {
	for _, c := range relayedAnswers {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			w := newByteWire(t)
			w.answer = c.answer
			answers := w.send(t, c.request+"Host: h.example\r\nConnection: close\r\n\r\n", 0)
			g.Expect(connectionOrDate.ReplaceAllString(answers, "")).To(Equal(strings.ReplaceAll(c.want, "Date: y\r\n", "")))
		})
	}
}

// Guards against an answer whose bytes are taken for those of the next one.
func TestAnswersOnOneConnectionKeepTheirFraming(t *testing.T) {
	for _, c := range relayedAnswers {
		if strings.Contains(c.request, "HTTP/1.0") {
			continue // Its connection ends.
		}
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			w := newByteWire(t)
			w.answer = c.answer
			answers := w.send(t, strings.Repeat(c.request+"Host: h.example\r\n\r\n", 3)+c.request+"Host: h.example\r\nConnection: close\r\n\r\n", 0)
			g.Expect(connectionOrDate.ReplaceAllString(answers, "")).To(Equal(strings.Repeat(c.want, 4)))
		})
	}
}

// disputedAnswers are answers whose end or fields parsers read differently, or that are
// none.
var disputedAnswers = map[string]string{
	"length and chunks":     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"the same length twice": "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx",
	"chunks in HTTP/1.0":    "HTTP/1.0 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"folded field":          "HTTP/1.1 200 OK\r\nA: b\r\n c\r\nContent-Length: 0\r\n\r\n",
	"folded length":         "HTTP/1.1 200 OK\r\nContent-Length:\r\n 0\r\n\r\n",
	"bare LF":               "HTTP/1.1 200 OK\r\nA: b\nContent-Length: 0\r\n\r\n",
	"bare CR":               "HTTP/1.1 200 OK\r\nA: b\rc\r\nContent-Length: 0\r\n\r\n",
	"bare LF at the end":    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\n",
	"signed length":         "HTTP/1.1 200 OK\r\nContent-Length: +1\r\n\r\nx",
	"unknown coding":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
	"status of two digits":  "HTTP/1.1 99 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"status below 100":      "HTTP/1.1 099 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"signed status":         "HTTP/1.1 +20 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"another protocol":      "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
	"no field":              "HTTP/1.1 200 OK\r\nodd\r\nContent-Length: 0\r\n\r\n",
	"no answer":             "nonsense\r\n",
	"fault after a field":   "HTTP/1.1 200 OK\r\nodd\r\n",
	"fault beyond 4 KiB":    "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 5000) + "\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
}

// Guards against a wait for the rest of an answer whose fault was seen.
func TestAFaultAfterAPartOfALineIsSeenWhenItComes(t *testing.T) {
	g := NewWithT(t)
	w := newByteWire(t)
	w.answer, w.rest = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nA: b", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	start := time.Now()
	g.Expect(statuses(t, w.send(t, lastRequest, 0))).To(Equal([]int{http.StatusBadGateway}))
	g.Expect(time.Since(start)).To(BeNumerically("<", rawTimeout/2))
}

func TestAnAnswerThatParsersReadDifferentlyIsNotRelayed(t *testing.T) {
	for name, answer := range disputedAnswers {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newByteWire(t)
			w.answer = answer
			start := time.Now()
			g.Expect(statuses(t, w.send(t, lastRequest, 0))).To(Equal([]int{http.StatusBadGateway}))
			g.Expect(time.Since(start)).To(BeNumerically("<", rawTimeout/2), "the fault is seen when it comes")
		})
	}
}
