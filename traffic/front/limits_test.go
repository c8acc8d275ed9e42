package front

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/traffic/route"
)

var _ = Describe("the limits on callers' requests", func() {
	DescribeTable("refuse a request with not_run and the code of the limit",
		func(path string, headers []string, body string, status int, code string) {
			server := newFakeServer(respond(okAnswer))
			v := newVM(Options{Limits: Limits{KeyBytes: 8, HeaderBytes: 2000}})
			s := dividedByKey(testServer(server, ""), 7)
			s.Settings.MaxBodyBytes = 4
			v.routes.Publish(&route.Snapshot{Services: map[string]*route.Service{"cards": s}})
			got := v.send("POST", path, body, headers...)
			Expect([]any{got.status, got.verdict, got.code}).To(Equal([]any{status, "not_run", code}))
			Expect(got.body).To(HavePrefix(code + ": "))
			Expect(v.Status().Refused).To(Equal(map[string]int64{code: 1}))
			Expect(server.received()).To(BeEmpty())
		},
		Entry("no service", "/v1/", nil, "", 400, "bad_request"),
		Entry("another path", "/other", nil, "", 400, "bad_request"),
		Entry("unknown service", "/v1/none/k", nil, "", 404, "unknown_service"),
		Entry("unknown class", "/v1/cards/k", []string{HeaderClass, "none"}, "", 400, "unknown_class"),
		Entry("long key", "/v1/cards/123456789", nil, "", 414, "key_too_long"),
		Entry("large header fields", "/v1/cards/k", []string{"Large", strings.Repeat("x", 2000)}, "", 431, "headers_too_large"),
		Entry("large body", "/v1/cards/k", nil, "12345", 413, "body_too_large"),
		Entry("deadline that is not a number", "/v1/cards/k", []string{HeaderDeadline, "soon"}, "", 400, "bad_request"),
		Entry("negative deadline", "/v1/cards/k", []string{HeaderDeadline, "-1"}, "", 400, "bad_request"),
		Entry("long idempotency key", "/v1/cards/k", []string{HeaderIdempotencyKey, strings.Repeat("x", 129)}, "", 400, "bad_request"),
	)

	It("bound the number of concurrent requests", func() {
		server := newFakeServer(hang)
		v := newVM(Options{Limits: Limits{Concurrent: 1}})
		v.routes.Publish(&route.Snapshot{Services: map[string]*route.Service{"cards": dividedByKey(testServer(server, ""), 7)}})
		go func() { defer GinkgoRecover(); v.order(HeaderDeadline, "500") }()
		Eventually(v.InFlight).Should(Equal(1))
		got := v.order()
		Expect([]any{got.status, got.verdict, got.code}).To(Equal([]any{503, "not_run", "too_many"}))
	})

	It("abort a streamed body that exceeds its limit, with may_have_run", func() {
		server := newFakeServer(func(conn net.Conn, r *http.Request) { io.Copy(io.Discard, r.Body); conn.Close() })
		v := newVM(Options{})
		s := dividedByKey(testServer(server, ""), 7)
		s.Settings.MaxBodyBytes = 100_000
		v.routes.Publish(&route.Snapshot{Services: map[string]*route.Service{"cards": s}})
		request, _ := http.NewRequest("POST", v.caller.URL+"/v1/cards/k", io.MultiReader(strings.NewReader(strings.Repeat("x", 200_000))))
		request.Header.Set(HeaderClass, "order")
		response, err := v.caller.Client().Do(request)
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		Expect(response.Header.Get("Guavacrank-Verdict")).To(Equal("may_have_run"))
		Expect(response.Header.Get("Guavacrank-Code")).To(Equal("write"))
	})
})

var _ = Describe("a server without room", func() {
	It("gets a shed request a second time from the front of the queue", func() {
		first := true
		server := newFakeServer(func(conn net.Conn, r *http.Request) {
			if first {
				first = false
				refuse("shed")(conn, r)
				return
			}
			respond(okAnswer)(conn, r)
		})
		Expect(oneVM(server).order().verdict).To(Equal("answered"))
		Expect(server.received()).To(HaveLen(2))
	})

	It("gets no request that would miss its deadline, and the caller gets Retry-After", func() {
		release := make(chan struct{})
		server := newFakeServer(func(conn net.Conn, r *http.Request) {
			select {
			case <-release:
			case <-time.After(100 * time.Millisecond):
			}
			io.WriteString(conn, okAnswer)
		})
		v := oneVM(server)
		Expect(v.send("GET", "/v1/cards/k", "").verdict).To(Equal("answered")) // The queue's estimate of the service time is now 100 ms.
		replies := make(chan reply, 8)
		for range 8 {
			go func() { defer GinkgoRecover(); replies <- v.send("GET", "/v1/cards/k", "") }()
		}
		Eventually(v.queued).Should(Equal(4))
		got := v.send("GET", "/v1/cards/k", "", HeaderDeadline, "60")
		Expect([]any{got.verdict, got.code}).To(Equal([]any{"not_run", "too_late"}))
		Expect(got.header.Get("Retry-After")).To(Equal("1"))
		close(release)
		for range 8 {
			Expect((<-replies).verdict).To(Equal("answered"))
		}
	})
})

// FuzzParse checks that no path or header of a caller makes the parser panic,
// or reaches the server as a forged guavacrank header.
func FuzzParse(f *testing.F) {
	f.Add("/v1/cards/a%2Fb?x=1", "look", "100", "k")
	f.Add("/v1/cards", "", "", "")
	f.Add("/v1//%zz", "order", "-1", strings.Repeat("k", 200))
	v := New(Options{Routes: route.NewPublisher()})
	server := &route.Server{Name: "s1", Address: "127.0.0.1:1", Slots: 4, Connections: 55, ChecksGrants: true}
	v.options.Routes.Publish(&route.Snapshot{Services: map[string]*route.Service{"cards": dividedByKey(server, 7)}})
	f.Fuzz(func(t *testing.T, target, class, deadline, once string) {
		where, err := url.ParseRequestURI(target)
		if err != nil {
			return
		}
		r := httptest.NewRequest("POST", "/", bytes.NewReader(nil))
		r.URL = where
		r.Header[HeaderClass] = []string{class}
		r.Header[HeaderDeadline] = []string{deadline}
		r.Header[HeaderIdempotencyKey] = []string{once}
		r.Header["Guavacrank-Epoch"] = []string{"99"}
		c, refused := v.parseCaller(r)
		if refused != nil {
			if refused.code.Status() < 400 || refused.code.Status() >= 500 {
				t.Fatalf("%q refused with status %d", target, refused.code.Status())
			}
			return
		}
		to := chosenTarget(v, c)
		out := c.serverRequest(to, v.now())
		var wire bytes.Buffer
		if err := out.Write(&wire); err != nil {
			t.Fatalf("%q cannot be forwarded: %v", target, err)
		}
		if out.Header.Get("Guavacrank-Epoch") != "7" || out.Header.Get(HeaderIdempotencyKey) != "" {
			t.Fatalf("%q: forged headers reached the server", target)
		}
		if key, err := url.PathUnescape(out.Header.Get("Guavacrank-Key")); err != nil || key != c.key {
			t.Fatalf("%q: key %q became %q", target, c.key, key)
		}
	})
}

func chosenTarget(h *Handler, c *call) target {
	to, _ := h.choose(h.current(), c)
	return to
}

var _ = Describe("a listener with a read timeout", func() {
	DescribeTable("does not abort a request that takes longer",
		func(method, body string) {
			server := newFakeServer(func(conn net.Conn, r *http.Request) {
				time.Sleep(150 * time.Millisecond)
				respond(okAnswer)(conn, r)
			})
			v := oneVM(server)
			v.caller.Close()
			v.caller = httptest.NewUnstartedServer(v.Handler)
			v.caller.Config.ReadTimeout = 50 * time.Millisecond
			v.caller.Start()
			defer v.caller.Close()
			Expect(v.send(method, "/v1/cards/k", body).verdict).To(Equal("answered"))
		},
		Entry("without a body", "GET", ""),
		Entry("with a body", "POST", "text"),
	)
})

var _ = Describe("a streamed body", func() {
	// upload sends a non-idempotent request whose body has no declared length
	// and does not end before the response.
	upload := func(v *vm) *http.Response {
		reader, writer := io.Pipe()
		go func() {
			writer.Write(make([]byte, 200_000)) // Fails when the client closes the connection.
		}()
		DeferCleanup(writer.Close)
		request, err := http.NewRequest("POST", v.caller.URL+"/v1/cards/k", reader)
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set(HeaderClass, "order")
		response, err := v.caller.Client().Do(request)
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		return response
	}

	It("is refused with not_run when the server refuses before its end", func() {
		server := newFakeServer(func(conn net.Conn, _ *http.Request) {
			io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nGuavacrank-Refused: shed\r\nContent-Length: 0\r\n\r\n")
		})
		response := upload(oneVM(server))
		Expect(response.Header.Get("Guavacrank-Verdict")).To(Equal("not_run"))
		Expect(response.Header.Get("Guavacrank-Code")).To(Equal("shed"))
		Expect(server.received()).To(HaveLen(1), "a streamed body cannot be sent again")
	})

	It("may have run when the server resets the connection before its end", func() {
		server := newFakeServer(reset)
		response := upload(oneVM(server))
		Expect(response.Header.Get("Guavacrank-Verdict")).To(Equal("may_have_run"))
		Expect(response.Header.Get("Guavacrank-Code")).To(Or(Equal("write"), Equal("reset")))
		Expect(server.received()).To(HaveLen(1))
	})
})
