package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/traffic/elapsed"
)

func get() *http.Request {
	return &http.Request{Method: "GET", URL: &url.URL{Path: "/"}, Host: "h", Header: http.Header{}}
}

// roundTrip sends a request and reads its response to the end.
func roundTrip(p *Pool, nonIdempotent bool) *Failure {
	response, failure := p.Do(context.Background(), get(), nonIdempotent)
	if failure != nil {
		return failure
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return nil
}

// countingServer counts connections and requests.
func countingServer(t *testing.T, handler http.HandlerFunc) (address string, connections func() int) {
	var mu sync.Mutex
	opened := 0
	server := httptest.NewUnstartedServer(handler)
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		mu.Lock()
		defer mu.Unlock()
		if state == http.StateNew {
			opened++
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), func() int {
		mu.Lock()
		defer mu.Unlock()
		return opened
	}
}

func TestConnectionsAreReusedAndBounded(t *testing.T) {
	g := NewWithT(t)
	entered, release := make(chan struct{}), make(chan struct{})
	address, connections := countingServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			close(entered)
			<-release
		}
		w.Header().Set("Content-Length", "0")
	})
	p := NewPool(Options{Address: address, MaxConnections: 1})
	defer p.Close()
	for range 10 {
		g.Expect(roundTrip(p, false)).To(BeNil())
	}
	g.Expect(connections()).To(Equal(1))

	waiting := make(chan *Failure, 1)
	go func() {
		request := get()
		request.URL.Path = "/wait"
		response, failure := p.Do(context.Background(), request, false)
		if failure == nil {
			io.Copy(io.Discard, response.Body)
		}
		waiting <- failure
	}()
	<-entered
	g.Expect(roundTrip(p, false).Stage).To(Equal(StageLimit))
	close(release)
	g.Expect(<-waiting).To(BeNil())
	p.SetLimit(0)
	g.Expect(p.Open()).To(BeZero())
	g.Expect(roundTrip(p, false).Sent).To(BeFalse())
}

func TestClosedConnectionIsNotReused(t *testing.T) {
	g := NewWithT(t)
	address, connections := countingServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "0")
	})
	p := NewPool(Options{Address: address, MaxConnections: 2})
	defer p.Close()
	g.Expect(roundTrip(p, true)).To(BeNil())
	p.mu.Lock()
	idle := p.idle[0]
	p.mu.Unlock()
	idle.Conn.(*net.TCPConn).CloseWrite() // The server then closes its side too.
	g.Eventually(idle.alive).Should(BeFalse())
	g.Expect(roundTrip(p, true)).To(BeNil())
	g.Expect(connections()).To(Equal(2))

	p.mu.Lock()
	p.idle[0].idleSince = time.Now().Add(-2 * maxIdleNonIdempotent)
	p.mu.Unlock()
	g.Expect(roundTrip(p, false)).To(BeNil(), "an idempotent request may use an older connection")
	g.Expect(connections()).To(Equal(2))
	p.mu.Lock()
	p.idle[0].idleSince = time.Now().Add(-2 * maxIdleNonIdempotent)
	p.mu.Unlock()
	g.Expect(roundTrip(p, true)).To(BeNil(), "a non-idempotent one gets a new connection")
	g.Expect(connections()).To(Equal(3))
	g.Expect(p.Open()).To(Equal(1))
	p.CloseIdle(time.Now().Add(time.Hour))
	g.Expect(p.Open()).To(BeZero())
}

func TestConnectionIsReusedAfterTheDeadlineOfItsLastRequest(t *testing.T) {
	g := NewWithT(t)
	address, connections := countingServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "0")
	})
	p := NewPool(Options{Address: address, MaxConnections: 1})
	defer p.Close()
	const timeout = 100 * time.Millisecond
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		response, failure := p.Do(ctx, get(), false)
		g.Expect(failure).To(BeNil())
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		cancel()
		time.Sleep(timeout)
	}
	g.Expect(connections()).To(Equal(1))
}

func TestEndedContextSendsNothing(t *testing.T) {
	g := NewWithT(t)
	address, _ := countingServer(t, func(http.ResponseWriter, *http.Request) {})
	p := NewPool(Options{Address: address, MaxConnections: 1})
	defer p.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, failure := p.Do(ctx, get(), false)
	g.Expect(failure.Sent).To(BeFalse())
	g.Expect(failure.Timeout).To(BeTrue())
	g.Expect(p.Open()).To(BeZero())
}

func TestRequestWhoseDeadlinePassedDuringASuspendIsNotSent(t *testing.T) {
	g := NewWithT(t)
	received := make(chan struct{}, 2)
	address, _ := countingServer(t, func(http.ResponseWriter, *http.Request) { received <- struct{}{} })
	p := NewPool(Options{Address: address, MaxConnections: 1})
	g.Expect(roundTrip(p, false)).To(BeNil())
	g.Expect(received).To(Receive())
	now := time.Second
	ctx, cancel := elapsed.WithDeadline(context.Background(), func() time.Duration { return now }, time.Hour)
	defer cancel()
	now = time.Hour // No timer advances while the VM is suspended.
	_, failure := p.Do(ctx, get(), false)
	g.Expect(failure).NotTo(BeNil())
	g.Expect(failure.Sent).To(BeFalse())
	g.Expect(failure.Timeout).To(BeTrue())
	g.Consistently(received, 100*time.Millisecond).ShouldNot(Receive())
}
