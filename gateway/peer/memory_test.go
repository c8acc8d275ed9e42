package peer_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/memory"
	"guavacrank.example/gateway/peer"
)

// processBytes is the memory limit of the process in these tests.
const processBytes = 284 << 20

// reports is a service that acknowledges reports.
type reports struct{ peer.Service }

func (reports) Report(context.Context, *peer.Report) (*peer.ReportResponse, error) {
	return &peer.ReportResponse{}, nil
}

// announce begins a message of a length and sends its first byte only.
func announce(g *WithT, address string, length int) net.Conn {
	conn, err := net.Dial("tcp4", address)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = fmt.Fprintf(conn, "POST /guavacrank.peer.v1.Peer/Spread HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n{", length)
	g.Expect(err).NotTo(HaveOccurred())
	return conn
}

func TestMessagesThatAreNeverCompletedTakeBoundedMemoryForABoundedTime(t *testing.T) {
	g := NewWithT(t)
	account := memory.NewAccount(processBytes)
	server := httptest.NewServer(peer.NewHandler(reports{}, account))
	defer server.Close()
	address := server.Listener.Addr().String()
	usage := func() memory.Usage { return account.Usage()["peer_messages"] }

	first := announce(g, address, 8<<20)
	defer first.Close()
	g.Eventually(usage).Should(HaveField("Held", BeEquivalentTo(32<<20)))
	for range 20 {
		conn := announce(g, address, 8<<20)
		defer conn.Close()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	}
	_, err := peer.NewClient().Report(context.Background(), address, &peer.Report{VM: "a"})
	g.Expect(err).NotTo(HaveOccurred(), "small messages keep room")
	g.Expect(usage()).To(And(HaveField("Held", BeEquivalentTo(32<<20)), HaveField("Refused", BeEquivalentTo(20))))
	g.Eventually(usage, "6s").Should(HaveField("Held", BeZero()))
}

func TestWhatCallersTakeLeavesTheRoomOfPeersAlone(t *testing.T) {
	g := NewWithT(t)
	account := memory.NewAccount(processBytes)
	for _, kind := range []memory.Kind{memory.RequestBodies, memory.Responses, memory.ResponseHeaders} {
		for account.Hold(kind).Reserve(1<<10) == nil {
			continue
		}
	}
	server := httptest.NewServer(peer.NewHandler(reports{}, account))
	defer server.Close()
	_, err := peer.NewClient().Report(context.Background(), server.Listener.Addr().String(), &peer.Report{VM: strings.Repeat("x", 32<<10)})
	g.Expect(err).NotTo(HaveOccurred())
}
