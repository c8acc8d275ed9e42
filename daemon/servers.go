package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"guavacrank.example/config"
	"guavacrank.example/daemon/operator"
	"guavacrank.example/fleet"
	"guavacrank.example/traffic/framing"
	"guavacrank.example/traffic/front"
)

// PathHealth is the path of the balancer's health check on the caller address.
const PathHealth = "/healthz"

// Listeners are the listeners of a daemon.
type Listeners struct {
	Caller   net.Listener
	Peer     net.Listener
	Operator net.Listener
}

// Listen binds the addresses of the settings.
func Listen(settings config.Settings) (*Listeners, error) {
	bound := &Listeners{}
	for _, spec := range []struct {
		field   string
		address string
		target  *net.Listener
	}{
		{"caller_address", settings.CallerAddress, &bound.Caller},
		{"peer_address", settings.PeerAddress, &bound.Peer},
		{"operator_address", settings.OperatorAddress, &bound.Operator},
	} {
		listener, err := net.Listen("tcp", spec.address)
		if err != nil {
			bound.Close()
			return nil, fmt.Errorf("settings: %s: %w", spec.field, err)
		}
		*spec.target = listener
	}
	return bound, nil
}

// Close closes the listeners.
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

// callerServerIndex is the index of the caller server in httpServers.
const callerServerIndex = 0

// httpServers are the HTTP servers of a daemon.
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
		// The handler gets OPTIONS * too: no success without a server.
		DisableGeneralOptionsHandler: true,
		ConnContext:                  framing.WithConn,
	}
	operators := operator.NewHTTPServer(d.operator.Handler())
	return httpServers{
		{callers, framing.Listener{Listener: d.listeners.Caller}},
		{fleet.NewServer(d.peerHandler()), d.listeners.Peer},
		{operators, d.listeners.Operator},
	}
}

// closeTimeout bounds the wait until the last responses to requests from other VMs
// are written.
const closeTimeout = time.Second

// shutdown closes each connection once its last response is written, and after
// closeTimeout all that remain.
func (s httpServers) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, bound := range s {
		_ = bound.server.Shutdown(ctx)
	}
	s.close()
}

// close closes every connection at once.
func (s httpServers) close() {
	for _, bound := range s {
		bound.server.Close()
	}
}

// callerHandler serves callers and the balancer. It is no http.ServeMux, which redirects
// paths with empty or dot segments: keys may have them.
func (d *Daemon) callerHandler() http.Handler {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == PathHealth {
			d.serveHealth(w, r)
			return
		}
		d.front.ServeHTTP(w, r)
	})
	return restoreHeaders(d.disableKeepAlives(handler))
}

// restoreHeaders removes what net/http has added to the headers of each request.
func restoreHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		framing.RestoreHeader(r)
		next.ServeHTTP(w, r)
	})
}

// disableKeepAlives closes connections after the next response while the daemon
// is stopping, so that the balancer opens new ones to other VMs. Idle connections
// stay open: closing one could lose a request that the balancer has just sent.
func (d *Daemon) disableKeepAlives(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// serveHealth handles the health check: status 200 while the daemon accepts requests.
func (d *Daemon) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if !d.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// peerHandler serves the fleet's protocol and forwarded requests, with all paths that
// callers may send. Both require the fleet's token.
func (d *Daemon) peerHandler() http.Handler {
	fleetPrefix, fleetHandler := d.fleet.Handler()
	forwarded := d.front.PeerHandler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasPrefix(r.URL.Path, front.PeerPrefix):
			forwarded.ServeHTTP(w, r)
		case strings.HasPrefix(r.URL.Path, fleetPrefix):
			fleetHandler.ServeHTTP(w, r)
		default:
			http.NotFound(w, r)
		}
	})
}
