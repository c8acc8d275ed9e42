package front

import (
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the verdict of a non-idempotent request", func() {
	DescribeTable("depends on what was provably sent",
		func(behave func(net.Conn, *http.Request), status int, verdict, code string) {
			server := newFakeServer(behave)
			got := oneVM(server).order(HeaderDeadline, "300")
			Expect(got.err).NotTo(HaveOccurred())
			Expect([]any{got.status, got.verdict, got.code}).To(Equal([]any{status, verdict, code}))
			Expect(server.received()).To(HaveLen(1), "sent once")
		},
		Entry("response", respond(okAnswer), 200, "answered", "answered"),
		Entry("response after an informational one", respond("HTTP/1.1 103 Early Hints\r\n\r\n"+okAnswer), 200, "answered", "answered"),
		Entry("the server's own 503", respond("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), 503, "answered", "answered"),
		Entry("undocumented refusal", refuse("mood"), 503, "answered", "answered"),
		Entry("deadline refusal", refuse("deadline"), 503, "not_run", "too_late"),
		Entry("reset before a response", reset, 502, "may_have_run", "reset"),
		Entry("connection closed before a response", respondAndClose(""), 502, "may_have_run", "reset"),
		Entry("connection closed within the header", respondAndClose("HTTP/1.1 200 OK\r\nCont"), 502, "may_have_run", "reset"),
		Entry("no response in time", hang, 504, "may_have_run", "timeout"),
		Entry("small response truncated", respondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), 502, "may_have_run", "truncated"),
		Entry("chunked response truncated", respondAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"), 502, "may_have_run", "truncated"),
		Entry("response without length or chunking", respondAndClose("HTTP/1.1 200 OK\r\n\r\nok"), 502, "may_have_run", "unframed"),
		Entry("response that is not HTTP", respond("hello\r\n\r\n"), 502, "may_have_run", "reset"),
		Entry("response that stalls in the body", respond("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), 504, "may_have_run", "timeout"),
	)

	It("closes the caller's connection when a large response is truncated", func() {
		server := newFakeServer(respondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n" + strings.Repeat("x", 50000)))
		got := oneVM(server).order()
		Expect(got.verdict).To(Equal("answered"))
		Expect(got.err).To(MatchError(io.ErrUnexpectedEOF))
	})

	It("closes the caller's connection when a large chunked response is truncated", func() {
		part := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8000\r\n" + strings.Repeat("x", 0x8000) + "\r\n"
		got := oneVM(newFakeServer(respondAndClose(part))).order()
		Expect(got.err).To(HaveOccurred())
	})

	It("drops a late response and gives the next request its own", func() {
		late := make(chan struct{})
		server := newFakeServer(func(conn net.Conn, r *http.Request) {
			if r.Header.Get("Name") == "first" {
				<-late
			}
			body := r.Header.Get("Name")
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: "+string(rune('0'+len(body)))+"\r\n\r\n"+body)
		})
		v := oneVM(server)
		Expect(v.order("Name", "first", HeaderDeadline, "100").code).To(Equal("timeout"))
		close(late)
		Expect(v.order("Name", "second").body).To(Equal("second"))
	})
})

var _ = Describe("a request through one VM", func() {
	It("keeps its method, path, query, body and headers, and gets guavacrank's headers", func() {
		var body []byte
		server := newFakeServer(func(conn net.Conn, r *http.Request) {
			body, _ = io.ReadAll(r.Body)
			io.WriteString(conn, okAnswer)
		})
		got := oneVM(server).send("PUT", "/v1/cards/a%2Fb/c%20d?x=1&y=%20", "text", "Custom", "yes",
			"Guavacrank-Epoch", "99", "Guavacrank-Attempt", "8", "Guavacrank-Request-Id", "forged")
		Expect(got.body).To(Equal("ok"))
		request := server.received()[0]
		Expect(request.Method + " " + request.RequestURI).To(Equal("PUT /a%2Fb/c%20d?x=1&y=%20"))
		Expect(string(body)).To(Equal("text"))
		Expect(request.Header.Get("Custom")).To(Equal("yes"))
		Expect(request.Header.Get("Guavacrank-Key")).To(Equal("a%2Fb%2Fc%20d"))
		Expect(request.Header.Values("Guavacrank-Epoch")).To(Equal([]string{"7"}))
		Expect(request.Header.Values("Guavacrank-Attempt")).To(Equal([]string{"1"}))
		Expect(request.Header.Values("Guavacrank-Unit")).To(Equal([]string{"0"}))
		Expect(request.Header.Get("Guavacrank-Request-Id")).NotTo(Equal("forged"))
	})

	It("may have a large body of unknown length", func() {
		var received int64
		server := newFakeServer(func(conn net.Conn, r *http.Request) {
			received, _ = io.Copy(io.Discard, r.Body)
			io.WriteString(conn, okAnswer)
		})
		v := oneVM(server)
		request, _ := http.NewRequest("POST", v.caller.URL+"/v1/cards/k", io.MultiReader(strings.NewReader(strings.Repeat("x", 300000))))
		response, err := v.caller.Client().Do(request)
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		Expect(response.StatusCode).To(Equal(200))
		Expect(received).To(BeEquivalentTo(300000))
	})

	DescribeTable("gets responses of every form complete",
		func(method, raw string, status int, body string) {
			v := oneVM(newFakeServer(respond(raw)))
			for range 2 { // The second request reuses the connection.
				got := v.send(method, "/v1/cards/k", "")
				Expect(got.err).NotTo(HaveOccurred())
				Expect([]any{got.status, got.verdict}).To(Equal([]any{status, "answered"}))
				Expect(got.body == body).To(BeTrue(), "%d bytes", len(got.body))
			}
		},
		Entry("empty", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200, ""),
		Entry("no content", "GET", "HTTP/1.1 204 No Content\r\n\r\n", 204, ""),
		Entry("not modified", "GET", "HTTP/1.1 304 Not Modified\r\nEtag: x\r\n\r\n", 304, ""),
		Entry("HEAD with a length", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n", 200, ""),
		Entry("HEAD without a length", "HEAD", "HTTP/1.1 200 OK\r\n\r\n", 200, ""),
		Entry("small chunked", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200, "ok"),
		Entry("of exactly maxBufferedResponse bytes", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 16384\r\n\r\n"+strings.Repeat("x", 16384), 200, strings.Repeat("x", 16384)),
		Entry("large", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 1000000), 200, strings.Repeat("x", 1000000)),
		Entry("large chunked", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nF4240\r\n"+strings.Repeat("x", 1000000)+"\r\n0\r\n\r\n", 200, strings.Repeat("x", 1000000)),
	)

	It("is counted for its unit and its key", func() {
		v := oneVM(newFakeServer(respond(okAnswer)))
		for range 32 {
			v.send("GET", "/v1/cards/k", "")
		}
		taken := v.TakeLoad("cards", 4)
		Expect(taken.Units).To(HaveLen(1))
		Expect(taken.Units[0].Requests).To(BeEquivalentTo(32))
		Expect(taken.Keys).To(HaveLen(1))
		Expect(taken.Keys[0].Key).To(Equal("k"))
		Expect(v.UnitsInFlight("cards")).To(BeEmpty())
	})
})
