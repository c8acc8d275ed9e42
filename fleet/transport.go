package fleet

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	fleetv1 "guavacrank.example/fleet/gen/fleet/v1"
	"guavacrank.example/fleet/gen/fleet/v1/fleetv1connect"
	"guavacrank.example/fleet/membership"
	"guavacrank.example/kvstore"
)

const (
	dialTimeout    = time.Second
	streamIdle     = 10 * time.Second // Unused streams and connections are closed after this time.
	peerQueueSize  = 256
	connectionPing = 2 * time.Second // Connections without received data are pinged after this time.
	pingTimeout    = time.Second
	reopenDelay    = 100 * time.Millisecond
)

// Traffic counts what this VM's outgoing connections have carried.
type Traffic struct {
	SentBytes     uint64
	ReceivedBytes uint64
	SentMessages  uint64
	// Dropped counts the messages dropped for lack of an address or connection,
	// or because a queue was full.
	Dropped uint64
}

// transport sends messages to other VMs, over one stream per VM.
type transport struct {
	self   kvstore.VM
	token  string
	client *http.Client
	base   *http.Transport

	sent, received    atomic.Uint64
	messages, dropped atomic.Uint64

	mu               sync.Mutex
	addresses        map[string]string // From the membership.
	inboundAddresses map[string]string // From the Hello of VMs that connected to this one.
	peers            map[string]*peer
	runContext       context.Context // Nil unless run is active.
	senders          sync.WaitGroup
}

// peer is the send queue of one VM.
type peer struct {
	name  string
	queue chan outbound
}

type outbound struct {
	address string
	message *fleetv1.ExchangeRequest
}

func newTransport(self kvstore.VM, token string) *transport {
	t := &transport{
		self: self, token: token,
		addresses:        make(map[string]string),
		inboundAddresses: make(map[string]string),
		peers:            make(map[string]*peer),
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	t.base = &http.Transport{
		Protocols:       protocols,
		DialContext:     t.dial,
		IdleConnTimeout: streamIdle,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: connectionPing, PingTimeout: pingTimeout},
	}
	t.client = &http.Client{Transport: t.base}
	return t
}

// run allows sending until ctx ends.
func (t *transport) run(ctx context.Context) error {
	t.mu.Lock()
	t.runContext = ctx
	t.mu.Unlock()
	<-ctx.Done()
	t.mu.Lock()
	t.runContext = nil
	t.mu.Unlock()
	t.senders.Wait()
	t.base.CloseIdleConnections()
	return nil
}

func (t *transport) traffic() Traffic {
	return Traffic{
		SentBytes: t.sent.Load(), ReceivedBytes: t.received.Load(),
		SentMessages: t.messages.Load(), Dropped: t.dropped.Load(),
	}
}

// setAddresses sets the addresses of all candidates.
func (t *transport) setAddresses(vms []kvstore.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.addresses)
	for _, vm := range vms {
		t.addresses[vm.Name] = vm.Peer
		delete(t.inboundAddresses, vm.Name)
	}
}

// setInboundAddress stores the address that a connecting VM gave for itself.
func (t *transport) setInboundAddress(name, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inboundAddresses[name] = address
}

// send queues a message; it never blocks.
func (t *transport) send(to string, message *fleetv1.ExchangeRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	address, known := t.addresses[to]
	if !known {
		address, known = t.inboundAddresses[to]
	}
	if !known || t.runContext == nil {
		t.dropped.Add(1)
		return
	}
	p, present := t.peers[to]
	if !present {
		p = &peer{name: to, queue: make(chan outbound, peerQueueSize)}
		t.peers[to] = p
		ctx := t.runContext
		t.senders.Go(func() { t.runSender(ctx, p) })
	}
	select {
	case p.queue <- outbound{address: address, message: message}:
	default:
		t.dropped.Add(1)
	}
}

// runSender sends the messages for one peer until the stream has been idle for
// streamIdle or ctx ends.
func (t *transport) runSender(ctx context.Context, p *peer) {
	s := &sender{transport: t, name: p.name}
	defer s.close()
	idle := time.NewTimer(streamIdle)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			if t.removeIdle(p) {
				return
			}
		case out := <-p.queue:
			s.send(ctx, out)
			idle.Reset(streamIdle)
		}
	}
}

// removeIdle removes an idle peer unless a message was queued in the meantime.
func (t *transport) removeIdle(p *peer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(p.queue) > 0 {
		return false
	}
	delete(t.peers, p.name)
	return true
}

// sender is the stream to one VM; it is used by one goroutine.
type sender struct {
	transport *transport
	name      string
	address   string
	stream    *connect.ClientStreamForClient[fleetv1.ExchangeRequest, fleetv1.ExchangeResponse]
	cancel    context.CancelFunc
	reopenAt  time.Time
}

// send sends one message over the stream, which it opens if needed. On failure
// the message is dropped.
func (s *sender) send(ctx context.Context, out outbound) {
	if s.stream != nil && s.address != out.address {
		s.close()
	}
	if s.stream == nil && !s.open(ctx, out.address) {
		s.transport.dropped.Add(1)
		return
	}
	if err := s.stream.Send(out.message); err != nil {
		s.transport.dropped.Add(1)
		s.close()
		return
	}
	s.transport.messages.Add(1)
}

// open opens a stream and sends its Hello. After an attempt, further ones are
// refused for reopenDelay.
func (s *sender) open(ctx context.Context, address string) bool {
	if time.Now().Before(s.reopenAt) {
		return false
	}
	s.reopenAt = time.Now().Add(reopenDelay)
	streamContext, cancel := context.WithCancel(ctx)
	client := fleetv1connect.NewPeerServiceClient(s.transport.client, "http://"+address)
	stream := client.Exchange(streamContext)
	stream.RequestHeader().Set(authorizationHeader, bearerPrefix+s.transport.token)
	s.stream, s.cancel, s.address = stream, cancel, address
	if err := stream.Send(s.hello()); err != nil {
		s.close()
		return false
	}
	return true
}

func (s *sender) hello() *fleetv1.ExchangeRequest {
	to := s.name
	if strings.HasPrefix(to, membership.SeedPrefix) {
		to = ""
	}
	return &fleetv1.ExchangeRequest{Body: &fleetv1.ExchangeRequest_Hello{Hello: &fleetv1.Hello{
		From: s.transport.self.Name, To: to, Peer: s.transport.self.Peer,
	}}}
}

func (s *sender) close() {
	if s.stream == nil {
		return
	}
	s.cancel()
	_, _ = s.stream.CloseAndReceive()
	s.stream = nil
}

// dial opens a connection that counts its bytes.
func (t *transport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: connection, transport: t}, nil
}

// countingConn counts the bytes of one connection.
type countingConn struct {
	net.Conn
	transport *transport
}

// Read implements net.Conn.
func (c *countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.transport.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.transport.sent.Add(uint64(n))
	return n, err
}
