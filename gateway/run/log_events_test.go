package run

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// brokenWriter is a caller that has gone.
type brokenWriter struct{ *httptest.ResponseRecorder }

func (brokenWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

func (brokenWriter) WriteString(string) (int, error) { return 0, io.ErrClosedPipe }

func TestMetricsThatAreNotReadAreNoCallerThatLeft(t *testing.T) {
	g := NewWithT(t)
	gateway, log := newIdleGateway(t)
	gateway.metricsHandler().ServeHTTP(brokenWriter{httptest.NewRecorder()}, httptest.NewRequest(http.MethodGet, "/", nil))
	g.Expect(log()).To(And(ContainSubstring(`"event":747`), Not(ContainSubstring(`"event":735`))))
}

// failingListener can't be closed.
type failingListener struct{ net.Listener }

func (l failingListener) Close() error {
	return errors.Join(errors.New("not closed"), l.Listener.Close())
}

func TestConnectionsThatAreNotClosedAreNoSecondStop(t *testing.T) {
	g := NewWithT(t)
	gateway, log := newIdleGateway(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	callers := &http.Server{}
	served := make(chan error, 1)
	go func() { served <- callers.Serve(gateway.connections.Listen(failingListener{listener})) }()
	response, err := http.Get("http://" + listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Body.Close()).To(Succeed())
	gateway.closeConnections(callers, time.Now().Add(time.Second))
	<-served
	g.Expect(log()).To(And(ContainSubstring(`"event":748`), ContainSubstring("not closed"), Not(ContainSubstring(`"event":704`))))
}
