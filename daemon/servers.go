package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"guavacrank.example/config"
	"guavacrank.example/daemon/operator"
	"guavacrank.example/fleet"
	"guavacrank.example/traffic/front"
)

// PathHealth is the balancer's health check on the caller address.
const PathHealth = "/healthz"

// Listeners are a daemon's bound addresses.
type Listeners struct {
	Caller   net.Listener
	Peer     net.Listener
	Operator net.Listener
}

// Listen binds the addresses of the settings.
func Listen(settings config.Settings) (*Listeners, error) {
	bound := &Listeners{}
	for _, want := range []struct {
		field   string
		address string
		target  *net.Listener
	}{
		{"caller_address", settings.CallerAddress, &bound.Caller},
		{"peer_address", settings.PeerAddress, &bound.Peer},
		{"operator_address", settings.OperatorAddress, &bound.Operator},
	} {
		listener, err := net.Listen("tcp", want.address)
		if err != nil {
			bound.Close()
			return nil, fmt.Errorf("settings: %s: %w", want.field, err)
		}
		*want.target = listener
	}
	return bound, nil
}

// Close closes every listener that is bound.
func (l *Listeners) Close() {
	for _, listener := range []net.Listener{l.Caller, l.Peer, l.Operator} {
		if listener != nil {
			listener.Close()
		}
	}
}

// boundServer is an HTTP server with its listener.
type boundServer struct {
	server   *http.Server
	listener net.Listener
}

// callerServer is the index of the callers' server in httpServers.
const callerServer = 0

// httpServers are the servers of one run.
type httpServers []boundServer

// newServers returns the daemon's HTTP servers.
func (d *Daemon) newServers() httpServers {
	limits := d.options.Settings.Limits
	callers := &http.Server{
		Handler:           d.callerHandler(),
		ReadHeaderTimeout: limits.ReadHeaderTimeout,
		ReadTimeout:       limits.ReadTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes,
	}
	operators := operator.NewHTTPServer(d.operator.Handler())
	return httpServers{
		{callers, d.listeners.Caller},
		{fleet.NewServer(d.peerHandler()), d.listeners.Peer},
		{operators, d.listeners.Operator},
	}
}

// closeGrace bounds the wait for the last answers of other VMs' requests to be
// written.
const closeGrace = time.Second

// shutdown ends the connections once their last answer is written, and those
// that take longer than closeGrace at once.
func (s httpServers) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), closeGrace)
	defer cancel()
	for _, bound := range s {
		_ = bound.server.Shutdown(ctx)
	}
	s.close()
}

// close ends every connection at once.
func (s httpServers) close() {
	for _, bound := range s {
		bound.server.Close()
	}
}

func (d *Daemon) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(PathHealth, d.serveHealth)
	mux.Handle("/", d.front)
	return d.endConnections(mux)
}

// endConnections lets the answers of a stopping daemon end their connections,
// so that the balancer opens its next one to another VM. Idle connections stay
// open meanwhile: closing one can meet a request that is on its way.
func (d *Daemon) endConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// serveHealth answers the balancer: 200 while the daemon takes requests.
func (d *Daemon) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if !d.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// peerHandler serves the fleet's protocol and forwarded requests, both only
// with the fleet's token.
func (d *Daemon) peerHandler() http.Handler {
	path, handler := d.fleet.Handler()
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	mux.Handle(front.PeerPrefix, d.front.PeerHandler())
	return mux
}
