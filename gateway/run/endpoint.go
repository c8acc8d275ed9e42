package run

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"guavacrank.example/gateway/pipeline"
	"guavacrank.example/traffic/framing"
)

const (
	// maxHeaderBytes limits the size of a request's headers.
	maxHeaderBytes = 64 << 10
	// callerIdleTimeout is how long an idle connection of a caller is kept open.
	callerIdleTimeout = time.Minute
	// headerTimeout limits the time to read a request's headers.
	headerTimeout = 10 * time.Second
)

// endpoint is an HTTP server with its listen address.
type endpoint struct {
	address string
	server  *http.Server
	// wrap, if set, returns the listeners that the server serves in place of one.
	wrap func(net.Listener) []net.Listener
}

func (s endpoint) start(network Network, failed chan<- error) error {
	listener, err := network.listen(s.address)
	if err != nil {
		return err
	}
	listeners := []net.Listener{listener}
	if s.wrap != nil {
		listeners = s.wrap(listener)
	}
	for _, listener := range listeners {
		go s.serve(listener, failed)
	}
	return nil
}

func (s endpoint) serve(listener net.Listener, failed chan<- error) {
	if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		failed <- err
	}
}

// newServer returns an HTTP server of this process. Its handler gets every well-formed
// request, OPTIONS * included.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:                      handler,
		ReadHeaderTimeout:            headerTimeout,
		DisableGeneralOptionsHandler: true,
	}
}

// callerContext returns a context for the requests of a caller's connection.
func callerContext(ctx context.Context, accepted net.Conn) context.Context {
	return pipeline.WithConn(framing.WithConn(ctx, accepted), accepted)
}

// newCallerServer returns the HTTP server for callers. It serves the listeners of a
// pipeline.Listener.
func newCallerServer(handler http.Handler) *http.Server {
	server := newServer(handler)
	server.MaxHeaderBytes = maxHeaderBytes
	server.ConnContext = callerContext
	server.ConnState = pipeline.ConnState
	server.IdleTimeout = callerIdleTimeout
	return server
}
