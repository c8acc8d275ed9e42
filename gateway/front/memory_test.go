package front

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/balance"
	"guavacrank.example/gateway/budget"
	"guavacrank.example/gateway/dispatch"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/port"
	"guavacrank.example/gateway/routing"
	"guavacrank.example/gateway/view"
	"guavacrank.example/traffic/framing"
	"guavacrank.example/traffic/upstream"
)

// signedCodec reads every response as a server's own.
type signedCodec struct{ fixedCodec }

func (signedCodec) ReadResponse(int, http.Header) port.ResponseHead {
	return port.ResponseHead{Signed: true}
}

func (signedCodec) WriteUpstream(http.Header, port.UpstreamHead) {}

// serveCallers serves requests with the given time left, which a server answers with a
// body of the given length. It returns the handler and its address.
func serveCallers(t *testing.T, timeLeft time.Duration, responseBytes int) (*Handler, string) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, responseBytes)) // The handler may have closed the connection.
	}))
	t.Cleanup(backend.Close)
	return serveCallersFrom(t, timeLeft, backend.Listener.Addr().String())
}

// serveCallersFrom serves requests with the given time left from the server at the
// address. It returns the handler and its address.
func serveCallersFrom(t testing.TB, timeLeft time.Duration, address string) (*Handler, string) {
	h, views := newHandler(t, timeLeft)
	codec := signedCodec{fixedCodec{head: port.RequestHead{ID: "r", TimeLeft: timeLeft}}}
	h.options.HeaderCodec = codec
	retries := budget.New(budget.Options{Window: time.Second, Slack: 10})
	h.options.Dispatcher = dispatch.New(dispatch.Options{HeaderCodec: codec, Budget: retries, Views: views, Clock: h.options.Clock, Memory: h.options.Memory})
	configuration := &model.Configuration{
		Routes:   []model.Route{{Name: "r", Host: "h.example", PathPrefix: "/", MaxAttempts: 1, Targets: []model.Target{{Service: "s", Weight: 1}}}},
		Services: map[string]model.Service{"s": {Name: "s"}},
	}
	server := &balance.Server{Server: model.Server{ID: "i", Service: "s", Address: address, Slots: 4},
		Pool: upstream.NewPool(upstream.Options{Address: address, MaxConnections: 8})}
	views.Publish(&view.View{Configuration: configuration, Routes: routing.NewTable(configuration),
		Services: map[string]*view.Service{"s": {Service: configuration.Services["s"], Servers: []*balance.Server{server}}}})
	callers := httptest.NewUnstartedServer(h)
	callers.Listener = framing.Listener{Listener: callers.Listener}
	callers.Config.ConnContext = framing.WithConn
	callers.Config.DisableGeneralOptionsHandler = true
	callers.Start()
	t.Cleanup(callers.Close)
	t.Cleanup(callers.CloseClientConnections)
	return h, callers.Listener.Addr().String()
}

// begin sends the head of a request and the first bytes of its body.
func begin(g *WithT, address, contentLength, body string) net.Conn {
	conn, err := net.Dial("tcp4", address)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = fmt.Fprintf(conn, "POST /a HTTP/1.1\r\nHost: h.example\r\nContent-Length: %s\r\n\r\n%s", contentLength, body)
	g.Expect(err).NotTo(HaveOccurred())
	return conn
}

func TestACallerThatTricklesItsBodyGivesItsMemoryBackAtTheDeadline(t *testing.T) {
	g := NewWithT(t)
	h, address := serveCallers(t, 300*time.Millisecond, 2)
	conn := begin(g, address, "1000000", "some")
	defer conn.Close()
	g.Eventually(func() int64 { return h.options.Memory.Usage()["request_bodies"].Held }).Should(BeNumerically(">=", 1_000_000))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(h.options.Memory.Usage()["request_bodies"].Held).To(BeZero())
}

func TestACallerThatDoesNotReadItsResponseGivesItsMemoryBackAfterItsTimeout(t *testing.T) {
	g := NewWithT(t)
	const timeout, slack = 2 * time.Second, 700 * time.Millisecond
	// More than the kernel buffers for the connection, less than one response may have.
	h, address := serveCallers(t, timeout, testMemory/17)
	conn := begin(g, address, "0", "")
	defer conn.Close()
	g.Expect(conn.(*net.TCPConn).SetReadBuffer(1 << 10)).To(Succeed())
	held := func() int64 { return h.options.Memory.Usage()["responses"].Held }
	g.Eventually(held, timeout).Should(BeNumerically(">=", testMemory/17))
	g.Eventually(held, timeout+writeGrace+slack).Should(BeZero())
	g.Expect(h.InFlight()).To(BeZero())
}

func TestASlowBodyWithinTheDeadlineLeavesTheConnectionUsable(t *testing.T) {
	g := NewWithT(t)
	h, address := serveCallers(t, 300*time.Millisecond, 100<<10)
	conn := begin(g, address, "4", "so")
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for range 2 {
		time.Sleep(100 * time.Millisecond)
		_, err := fmt.Fprint(conn, "me")
		g.Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(http.StatusOK))
		_, err = reader.Discard(100 << 10)
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(400 * time.Millisecond) // Beyond the deadline of the request before.
		_, err = fmt.Fprint(conn, "POST /a HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n\r\nso")
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Eventually(func() int64 { return h.options.Memory.Usage()["responses"].Held }).Should(BeZero())
}
