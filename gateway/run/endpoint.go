package run

import (
	"errors"
	"net"
	"net/http"
	"time"

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
	// check, if set, returns a listener that checks the connections of another.
	check func(net.Listener) net.Listener
}

func (s endpoint) start(network Network, failed chan<- error) error {
	listener, err := network.listen(s.address)
	if err != nil {
		return err
	}
	if s.check != nil {
		listener = s.check(listener)
	}
	go func() {
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
	return nil
}

// checkCallers returns a listener whose connections are passed on as long as every parser
// reads their requests the same way.
func checkCallers(listener net.Listener) net.Listener { return framing.Listener{Listener: listener} }

// newServer returns an HTTP server of this process. Its handler gets every well-formed
// request, OPTIONS * included.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:                      handler,
		ReadHeaderTimeout:            headerTimeout,
		DisableGeneralOptionsHandler: true,
	}
}

// newCallerServer returns the HTTP server for callers.
func newCallerServer(handler http.Handler) *http.Server {
	server := newServer(handler)
	server.MaxHeaderBytes = maxHeaderBytes
	server.ConnContext = framing.WithConn
	server.IdleTimeout = callerIdleTimeout
	return server
}
