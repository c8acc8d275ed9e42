package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// scriptedServer accepts connections and writes to each, after every request
// that it reads, the next text of the script. An empty text resets the
// connection, one that ends with "CLOSE" closes it after the text before that.
func scriptedServer(t *testing.T, script ...string) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	texts := make(chan string, len(script))
	for _, text := range script {
		texts <- text
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go runScript(conn.(*net.TCPConn), texts)
		}
	}()
	return listener.Addr().String()
}

func runScript(conn *net.TCPConn, texts <-chan string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		text, closes := strings.CutSuffix(<-texts, "CLOSE")
		io.WriteString(conn, strings.TrimSuffix(text, "RESET"))
		if strings.HasSuffix(text, "RESET") {
			time.Sleep(20 * time.Millisecond) // The bytes are read before the reset.
			conn.SetLinger(0)
			return
		}
		if closes {
			return
		}
	}
}

// bodyOf sends a request with an id and returns the response body.
func bodyOf(p *Pool, id string) (string, *Failure) {
	request := get()
	request.Header.Set("Id", id)
	response, failure := p.Do(context.Background(), request, false)
	if failure != nil {
		return "", failure
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err.(*Failure)
	}
	return string(body), nil
}

func TestResponsesWithoutLength(t *testing.T) {
	options := func(address string) Options {
		return Options{Address: address, MaxConnections: 2, AcceptUnframed: true}
	}
	t.Run("end with their connection", func(t *testing.T) {
		g := NewWithT(t)
		p := NewPool(options(scriptedServer(t, "HTTP/1.1 200 OK\r\n\r\nwholeCLOSE")))
		defer p.Close()
		body, failure := bodyOf(p, "1")
		g.Expect(failure).To(BeNil())
		g.Expect(body).To(Equal("whole"))
	})
	t.Run("are incomplete after a reset", func(t *testing.T) {
		g := NewWithT(t)
		p := NewPool(options(scriptedServer(t, "HTTP/1.1 200 OK\r\n\r\npartRESET")))
		defer p.Close()
		_, failure := bodyOf(p, "1")
		g.Expect(failure).NotTo(BeNil())
		g.Expect(failure.Stage).To(Equal(StageTruncate))
	})
}

func TestResponsesToOtherRequests(t *testing.T) {
	encode := func(id, body string) string {
		return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
	}
	matches := func(request *http.Request, response *http.Response) bool {
		return request.Header.Get("Id") == response.Header.Get("Id")
	}
	t.Run("are discarded if the own response follows", func(t *testing.T) {
		g := NewWithT(t)
		p := NewPool(Options{Address: scriptedServer(t, encode("0", "old")+encode("1", "own")), MaxConnections: 2, MatchesRequest: matches})
		defer p.Close()
		body, failure := bodyOf(p, "1")
		g.Expect(failure).To(BeNil())
		g.Expect(body).To(Equal("own"))
	})
	t.Run("are never returned as the own response", func(t *testing.T) {
		g := NewWithT(t)
		other := encode("0", "old")
		p := NewPool(Options{Address: scriptedServer(t, other+other+other), MaxConnections: 2, MatchesRequest: matches})
		defer p.Close()
		_, failure := bodyOf(p, "1")
		g.Expect(failure).NotTo(BeNil())
		g.Expect(failure.Sent).To(BeTrue())
	})
	t.Run("on an idle connection close the connection", func(t *testing.T) {
		g := NewWithT(t)
		p := NewPool(Options{Address: scriptedServer(t, encode("1", "own")+encode("1", "two"), encode("2", "own")), MaxConnections: 2, MatchesRequest: matches})
		defer p.Close()
		_, failure := bodyOf(p, "1")
		g.Expect(failure).To(BeNil())
		time.Sleep(20 * time.Millisecond)
		body, failure := bodyOf(p, "2")
		g.Expect(failure).To(BeNil())
		g.Expect(body).To(Equal("own"))
	})
}

func TestRequestSentAgainGetsAnotherConnection(t *testing.T) {
	g := NewWithT(t)
	address, connections := countingServer(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "x") })
	p := NewPool(Options{Address: address, MaxConnections: 1})
	defer p.Close()
	send := func(used *Used) {
		response, failure := p.DoUnused(context.Background(), get(), false, used)
		g.Expect(failure).To(BeNil())
		defer response.Body.Close()
		io.Copy(io.Discard, response.Body)
	}
	used := &Used{}
	send(used)
	send(&Used{})
	g.Expect(connections()).To(Equal(1), "another request uses the connection")
	send(used)
	g.Expect(connections()).To(Equal(2), "in place of the first one, although the limit is 1")
	g.Expect(p.Open()).To(Equal(1))
}

func TestKeepAliveOfTheServer(t *testing.T) {
	g := NewWithT(t)
	address, connections := countingServer(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "x") })
	p := NewPool(Options{Address: address, MaxConnections: 2, KeepAliveTimeout: func(*http.Response) time.Duration {
		return keepAliveMargin + 30*time.Millisecond
	}})
	defer p.Close()
	g.Expect(roundTrip(p, false)).To(BeNil())
	g.Expect(roundTrip(p, false)).To(BeNil())
	g.Expect(connections()).To(Equal(1))
	time.Sleep(60 * time.Millisecond)
	g.Expect(roundTrip(p, false)).To(BeNil())
	g.Expect(connections()).To(Equal(2), "the server may have closed the first one")
}
