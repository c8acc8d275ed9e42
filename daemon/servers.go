package daemon

import (
	"fmt"
	"net"
	"net/http"

	"guavacrank.example/config"
	"guavacrank.example/daemon/operator"
	"guavacrank.example/fleet"
	"guavacrank.example/traffic/front"
)

// PathHealth is the balancer's health check on the caller address.
const PathHealth = "/healthz"

// listeners are the daemon's bound addresses.
type listeners struct {
	caller   net.Listener
	peer     net.Listener
	operator net.Listener
}

// listen binds the addresses of the settings.
func listen(settings config.Settings) (listeners, error) {
	var bound listeners
	for _, want := range []struct {
		name    string
		address string
		target  *net.Listener
	}{
		{"caller_address", settings.CallerAddress, &bound.caller},
		{"peer_address", settings.PeerAddress, &bound.peer},
		{"operator_address", settings.OperatorAddress, &bound.operator},
	} {
		listener, err := net.Listen("tcp", want.address)
		if err != nil {
			bound.close()
			return listeners{}, fmt.Errorf("settings: %s: %w", want.name, err)
		}
		*want.target = listener
	}
	return bound, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.caller, l.peer, l.operator} {
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

// servers returns the daemon's HTTP servers.
func (d *Daemon) servers() []boundServer {
	limits := d.options.Settings.Limits
	callers := &http.Server{
		Handler:           d.callerHandler(),
		ReadHeaderTimeout: limits.ReadHeaderTimeout,
		ReadTimeout:       limits.ReadTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes,
	}
	operators := operator.NewHTTPServer(d.operator.Handler())
	return []boundServer{
		{callers, d.listeners.caller},
		{fleet.NewServer(d.peerHandler()), d.listeners.peer},
		{operators, d.listeners.operator},
	}
}

func (d *Daemon) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(PathHealth, d.serveHealth)
	mux.Handle("/", d.front)
	return mux
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
	mux.Handle(front.PeerPrefix, d.front.Peer())
	return mux
}
