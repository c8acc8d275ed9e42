package daemon_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/traffic/verdict"
)

const (
	rawTarget = "/v1/recipes/key-1"
	rawHost   = "Host: h\r\nGuavacrank-Class: card\r\n"
	rawGet    = "GET " + rawTarget + " HTTP/1.1\r\n" + rawHost
	rawPost   = "POST " + rawTarget + " HTTP/1.1\r\n" + rawHost
	rawCoded  = rawPost + "Transfer-Encoding: chunked\r\n\r\n"
)

// ambiguousRequests are those whose fields or end parsers read differently.
var ambiguousRequests = map[string]string{
	"length and chunks":         rawPost + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"chunks and length":         rawPost + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
	"the same length twice":     rawPost + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx",
	"two lengths":               rawPost + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxy",
	"chunks in HTTP/1.0":        "POST " + rawTarget + " HTTP/1.0\r\n" + rawHost + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"folded field":              rawGet + "A: b\r\n c\r\n\r\n",
	"folded length":             rawPost + "Content-Length:\r\n 1\r\n\r\nx",
	"bare LF in the first line": "GET " + rawTarget + " HTTP/1.1\n" + rawHost + "\r\n",
	"bare LF after a field":     rawGet + "A: b\nC: d\r\n\r\n",
	"bare LF at the end":        rawGet + "\n",
	"bare CR in a field":        rawGet + "A: b\rC: d\r\n\r\n",
	"other host":                "GET http://g" + rawTarget + " HTTP/1.1\r\n" + rawHost + "\r\n",
	"other port":                "GET http://h:81" + rawTarget + " HTTP/1.1\r\n" + rawHost + "\r\n",
	"user":                      "GET http://u@h" + rawTarget + " HTTP/1.1\r\n" + rawHost + "\r\n",
	"other scheme":              "GET ftp://h" + rawTarget + " HTTP/1.1\r\n" + rawHost + "\r\n",
	"zone in the host":          "GET " + rawTarget + " HTTP/1.1\r\nHost: [fe80::1%25en0]\r\n\r\n",
	"space after a chunk size":  rawCoded + "1 \r\nx\r\n0\r\n\r\n",
	"bare CR in an extension":   rawCoded + "1;a\rb\r\nx\r\n0\r\n\r\n",
	"bare LF after a chunk":     rawCoded + "1\r\nx\n0\r\n\r\n",
	"bare LF after the trailer": rawCoded + "0\r\nA: b\n\r\n",
	"folded trailer":            rawCoded + "0\r\nA: b\r\n c\r\n\r\n",
}

// sendRaw sends bytes to a VM and returns the responses until the end of the connection.
func (v *vm) sendRaw(text string) (responses []*http.Response) {
	GinkgoHelper()
	connection, err := net.Dial("tcp", strings.TrimPrefix(v.caller, "http://"))
	Expect(err).NotTo(HaveOccurred())
	defer connection.Close()
	Expect(connection.SetDeadline(time.Now().Add(waitTimeout))).To(Succeed())
	_, err = io.WriteString(connection, text)
	Expect(err).NotTo(HaveOccurred())
	reader := bufio.NewReader(connection)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return responses
		}
		_, err = io.Copy(io.Discard, response.Body)
		Expect(err).NotTo(HaveOccurred())
		responses = append(responses, response)
	}
}

var _ = Describe("a daemon's callers", func() {
	// Guards against a request that a proxy before the daemon and the daemon, or the
	// daemon and a server, take for different ones.
	It("get 400 for a request that parsers read differently, and no server gets it", func() {
		f := newTestFleet(1, 1)
		f.waitUntilServed(f.vms[0])
		f.records.Reset()
		for name, text := range ambiguousRequests {
			responses := f.vms[0].sendRaw(text + rawGet + "Connection: close\r\n\r\n")
			Expect(responses).To(HaveLen(1), name)
			Expect(responses[0].StatusCode).To(Equal(http.StatusBadRequest), name)
			Expect(responses[0].Close).To(BeTrue(), name)
		}
		Expect(f.records.Runs()).To(BeEmpty())
	})

	It("get the responses to sound requests before one that parsers read differently", func() {
		f := newTestFleet(1, 1)
		f.waitUntilServed(f.vms[0])
		sound := rawGet + "Pragma: no-cache\r\n\r\n" + rawPost + "Content-Length: 1\r\n\r\nx" + rawCoded + "1;a=b\r\nx\r\n0\r\n\r\n" +
			"GET http://h" + rawTarget + " HTTP/1.1\r\n" + rawHost + "\r\n"
		responses := f.vms[0].sendRaw(sound + ambiguousRequests["length and chunks"] + rawGet + "\r\n")
		Expect(responses).To(HaveLen(5))
		for _, response := range responses[:4] {
			Expect(response.Header.Get(verdict.Header)).To(Equal(verdict.Answered.String()))
		}
		Expect(responses[4].StatusCode).To(Equal(http.StatusBadRequest))
	})

	// Guards against a body that looks complete to the server although it is not.
	It("get no success for a long body that parsers read differently", func() {
		f := newTestFleet(1, 1)
		f.waitUntilServed(f.vms[0])
		f.records.Reset()
		responses := f.vms[0].sendRaw(rawCoded + "20000\r\n" + strings.Repeat("x", 0x20000) + "\r\n1\r\nx\n0\r\n\r\n" + rawGet + "\r\n")
		Expect(responses).To(HaveLen(1))
		Expect(responses[0].StatusCode).To(Equal(http.StatusBadGateway))
		Expect(responses[0].Header.Get("Guavacrank-Code")).To(Equal(string(verdict.CodeWrite)))
		Expect(f.records.Runs()).To(BeEmpty())
	})
})
