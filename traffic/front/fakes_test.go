package front

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/config"
	"guavacrank.example/traffic/limit"
	"guavacrank.example/traffic/route"
)

// fakeServer is a backend server on a TCP socket. handle serves each request
// on the raw connection.
type fakeServer struct {
	listener net.Listener
	handle   func(conn net.Conn, request *http.Request)

	mu       sync.Mutex
	requests []*http.Request
	conns    []net.Conn
	open     int
	peak     int // Maximum number of open connections.
}

func newFakeServer(handle func(net.Conn, *http.Request)) *fakeServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := serveFake(listener, handle)
	DeferCleanup(s.close)
	return s
}

// serveFake starts a fake server on a listener. The caller must close it.
func serveFake(listener net.Listener, handle func(net.Conn, *http.Request)) *fakeServer {
	s := &fakeServer{listener: listener, handle: handle}
	go s.accept()
	return s
}

func (s *fakeServer) address() string { return s.listener.Addr().String() }

func (s *fakeServer) close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		conn.Close()
	}
}

func (s *fakeServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.open++
		s.peak = max(s.peak, s.open)
		s.mu.Unlock()
		go s.serve(conn)
	}
}

func (s *fakeServer) serve(conn net.Conn) {
	defer func() {
		s.mu.Lock()
		s.open--
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.requests = append(s.requests, request)
		s.mu.Unlock()
		s.handle(conn, request)
	}
}

// received returns the requests whose header was received.
func (s *fakeServer) received() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*http.Request(nil), s.requests...)
}

// peakConnections returns the maximum number of connections that were open at
// once.
func (s *fakeServer) peakConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak
}

// respond returns a handler that sends a raw response.
func respond(raw string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(conn, raw)
	}
}

// respondAndClose returns a handler that sends a raw response and closes the
// connection.
func respondAndClose(raw string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, r *http.Request) {
		respond(raw)(conn, r)
		conn.Close()
	}
}

// reset closes the connection with a TCP reset.
func reset(conn net.Conn, _ *http.Request) {
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// hang is a handler that never responds.
func hang(net.Conn, *http.Request) {}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func refuse(reason string) func(net.Conn, *http.Request) {
	return respond("HTTP/1.1 503 Service Unavailable\r\nGuavacrank-Refused: " + reason + "\r\nContent-Length: 0\r\n\r\n")
}

// fleet is a set of VMs with the same routes.
type fleet struct {
	vms map[string]*vm
}

// vm is a handler with real listeners for callers and peers.
type vm struct {
	*Handler
	routes *route.Publisher
	caller *httptest.Server
	peer   *httptest.Server
	stale  chan string
}

func newVM(options Options) *vm {
	v := &vm{routes: route.NewPublisher(), stale: make(chan string, 100)}
	options.Routes = v.routes
	options.OnStaleRoute = func(service string) {
		select {
		case v.stale <- service:
		default:
		}
	}
	v.Handler = New(options)
	v.caller = httptest.NewServer(v.Handler)
	v.peer = httptest.NewServer(v.Handler.PeerHandler())
	DeferCleanup(func() {
		v.caller.CloseClientConnections()
		v.peer.CloseClientConnections()
		v.caller.Close()
		v.peer.Close()
		v.Handler.Close()
	})
	return v
}

// newFleet starts VMs with the given names.
func newFleet(options Options, names ...string) *fleet {
	f := &fleet{vms: make(map[string]*vm)}
	for _, name := range names {
		f.vms[name] = newVM(options)
	}
	return f
}

// publish publishes the service to every VM. build is called once for each VM.
func (f *fleet) publish(build func() *route.Service) {
	peers := make(map[string]string)
	for name, v := range f.vms {
		peers[name] = v.peer.Listener.Addr().String()
	}
	for name, v := range f.vms {
		s := build()
		v.routes.Publish(&route.Snapshot{
			Self:     name,
			Services: map[string]*route.Service{s.Name: s},
			Peers:    peers,
		})
	}
}

// testClasses are the traffic classes of the test service.
var testClasses = map[string]config.Class{
	"look":  {Name: "look", Idempotent: true, Priority: config.Interactive, Deadline: 2 * time.Second},
	"order": {Name: "order", Priority: config.Patient, Deadline: 2 * time.Second},
	"bulk":  {Name: "bulk", Idempotent: true, Priority: config.Bulk, Deadline: 2 * time.Second},
}

// dividedByKey returns a service that is divided by key, with one shard that
// server owns.
func dividedByKey(server *route.Server, epoch uint64) *route.Service {
	return &route.Service{
		Name: "cards", DividedByKey: true, Shards: 1,
		Classes: testClasses, DefaultClass: "look",
		Units:   []route.Unit{{ID: 0, Epoch: epoch, Server: server}},
		Servers: serversOf(server),
	}
}

// testConnections is the connection limit of a test server.
const testConnections = 55

// testServer returns the routing entry of a fake server that checks grants.
func testServer(s *fakeServer, home string) *route.Server {
	return &route.Server{
		Name: "s1", Address: s.address(), Slots: 4, Connections: testConnections,
		ChecksGrants: true, Home: home, HomeUntil: 1 << 62,
	}
}

// oneVM starts one VM, "a", which is the home of the server.
func oneVM(s *fakeServer) *vm {
	f := newFleet(Options{Sharing: limit.Home}, "a")
	f.publish(func() *route.Service { return dividedByKey(testServer(s, "a"), 7) })
	return f.vms["a"]
}

// reply is a caller's view of a response.
type reply struct {
	status        int
	verdict, code string
	body          string
	err           error
	header        http.Header
}

// send sends a caller's request. headers alternates names and values.
func (v *vm) send(method, path, body string, headers ...string) reply {
	request, err := http.NewRequest(method, v.caller.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	return exchange(v.caller.Client(), request, headers)
}

// exchange sends a request with additional headers, alternating names and values, and
// reads the response.
func exchange(client *http.Client, request *http.Request, headers []string) reply {
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return reply{
		status:  response.StatusCode,
		verdict: response.Header.Get("Guavacrank-Verdict"),
		code:    response.Header.Get("Guavacrank-Code"),
		body:    string(text),
		err:     err,
		header:  response.Header,
	}
}

// order sends a non-idempotent request, of class "order".
func (v *vm) order(headers ...string) reply {
	return v.send("POST", "/v1/cards/k", "one pallet", append(headers, HeaderClass, "order")...)
}

func serversOf(server *route.Server) []*route.Server {
	if server == nil {
		return nil
	}
	return []*route.Server{server}
}
