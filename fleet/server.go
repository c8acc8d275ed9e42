package fleet

import (
	"context"
	"crypto/subtle"
	"errors"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"guavacrank.example/event"
	fleetv1 "guavacrank.example/fleet/gen/fleet/v1"
	"guavacrank.example/fleet/gen/fleet/v1/fleetv1connect"
	"guavacrank.example/kvstore"
)

const (
	authorizationHeader = "Authorization"
	bearerPrefix        = "Bearer "
	// maxMessageBytes limits one message. It has room for a value of maximum
	// size with its keys, together with a repair message.
	maxMessageBytes = 2 * kvstore.MaxValueBytes
	// maxStreams limits the number of open streams from other VMs.
	maxStreams = 4096
	// messageRate (per second) and messageBurst limit the messages from one VM.
	messageRate  = 500
	messageBurst = 1000

	readHeaderTimeout = 5 * time.Second
	idleTimeout       = time.Minute
	maxHeaderBytes    = 16 << 10
	// streamsPerConnection limits the number of streams on one connection.
	streamsPerConnection = 16
)

var (
	errNoHello   = errors.New("fleet: the first message is not a hello")
	errWrongVM   = errors.New("fleet: another VM is meant")
	errTooMany   = errors.New("fleet: too many streams")
	errNotServed = errors.New("fleet: not running")
)

// NewServer returns a server for the peer listener with the protocols, timeouts
// and limits that the fleet protocol needs.
func NewServer(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: streamsPerConnection,
			SendPingTimeout:      connectionPing * 5,
			PingTimeout:          pingTimeout,
		},
	}
}

// server accepts the streams of other VMs.
type server struct {
	manager *Manager
	name    string
	token   []byte
	streams atomic.Int64
}

func newServer(manager *Manager, name, token string) *server {
	return &server{manager: manager, name: name, token: []byte(bearerPrefix + token)}
}

func (s *server) handler() (string, http.Handler) {
	path, exchange := fleetv1connect.NewPeerServiceHandler(s, connect.WithReadMaxBytes(maxMessageBytes))
	return path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := []byte(r.Header.Get(authorizationHeader))
		if subtle.ConstantTimeCompare(given, s.token) != 1 {
			s.reportRefused("wrong token", r.RemoteAddr)
			http.Error(w, "fleet: wrong or missing token", http.StatusUnauthorized)
			return
		}
		s.serveUntilDone(w, r, exchange)
	})
}

// serveUntilDone serves a stream and stops reading from it when the manager
// stops. Since the response writer must not be used after the handler has
// returned, it waits for the goroutine that may use it.
func (s *server) serveUntilDone(w http.ResponseWriter, r *http.Request, exchange http.Handler) {
	controller := http.NewResponseController(w)
	served := make(chan struct{})
	var watching sync.WaitGroup
	defer watching.Wait() // Also when the exchange panics.
	defer close(served)
	watching.Go(func() {
		select {
		case <-served:
		case <-s.manager.done:
			_ = controller.SetReadDeadline(time.Now())
		}
	})
	exchange.ServeHTTP(w, r)
}

func (s *server) reportRefused(cause, address string) {
	s.manager.options.OnEvent(event.New(event.PeerRefused, cause, "address", address))
}

// Exchange implements fleetv1connect.PeerServiceHandler.
func (s *server) Exchange(ctx context.Context, stream *connect.ClientStream[fleetv1.ExchangeRequest]) (*connect.Response[fleetv1.ExchangeResponse], error) {
	if s.streams.Add(1) > maxStreams {
		s.streams.Add(-1)
		return nil, connect.NewError(connect.CodeResourceExhausted, errTooMany)
	}
	defer s.streams.Add(-1)
	from, err := s.receiveHello(stream)
	if err != nil {
		s.reportRefused(err.Error(), stream.Peer().Addr)
		return nil, err
	}
	limit := newRateLimit(messageRate, messageBurst)
	for stream.Receive() {
		if !limit.allow(s.manager.clock()) {
			s.reportExcess(limit, from)
			continue
		}
		select {
		case s.manager.inbox <- received{from: from, message: stream.Msg()}:
		case <-s.manager.done:
			return nil, connect.NewError(connect.CodeUnavailable, errNotServed)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if err := stream.Err(); err != nil {
		return nil, err
	}
	return connect.NewResponse(&fleetv1.ExchangeResponse{}), nil
}

// receiveHello reads the Hello and returns the name of the sending VM.
func (s *server) receiveHello(stream *connect.ClientStream[fleetv1.ExchangeRequest]) (string, error) {
	if !stream.Receive() {
		return "", connect.NewError(connect.CodeInvalidArgument, errNoHello)
	}
	hello := stream.Msg().GetHello()
	if hello.GetFrom() == "" || strings.ContainsRune(hello.GetFrom(), '/') {
		return "", connect.NewError(connect.CodeInvalidArgument, errNoHello)
	}
	if hello.GetTo() != "" && hello.GetTo() != s.name {
		return "", connect.NewError(connect.CodeFailedPrecondition, errWrongVM)
	}
	s.manager.transport.setInboundAddress(hello.GetFrom(), hello.GetPeer())
	return hello.GetFrom(), nil
}

// reportExcess reports a VM that exceeds the message rate. It does so once, and
// again only after the VM's bucket has been full.
func (s *server) reportExcess(limit *rateLimit, from string) {
	if limit.reported {
		return
	}
	limit.reported = true
	s.manager.options.OnEvent(event.New(event.PeerTooFast, "message rate", "vm", from))
}

// rateLimit is a token bucket on elapsed time.
type rateLimit struct {
	rate, burst float64
	tokens      float64
	at          time.Duration
	reported    bool
}

func newRateLimit(rate, burst float64) *rateLimit {
	return &rateLimit{rate: rate, burst: burst, tokens: burst}
}

// allow takes one token if one is available.
func (l *rateLimit) allow(now time.Duration) bool {
	if elapsed := now - l.at; elapsed > 0 {
		l.tokens = min(l.burst, l.tokens+l.rate*elapsed.Seconds())
	}
	l.at = now
	if l.tokens < 1 {
		return false
	}
	if l.tokens == l.burst {
		l.reported = false
	}
	l.tokens--
	return true
}
