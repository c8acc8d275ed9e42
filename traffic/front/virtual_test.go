package front

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/traffic/limit"
	"guavacrank.example/traffic/pipenet"
	"guavacrank.example/traffic/route"
)

// virtualVM is a VM, "a", that is the home of one server. It runs on a virtual clock,
// which advances only while all goroutines wait, so that no load of the machine makes
// anything late.
type virtualVM struct {
	*GomegaWithT
	server *fakeServer
	client *http.Client
}

// newVirtualVM starts a VM and its server. It must be called within synctest.Test.
func newVirtualVM(t *testing.T, handle func(net.Conn, *http.Request)) *virtualVM {
	network, routes := new(pipenet.Network), route.NewPublisher()
	v := &virtualVM{GomegaWithT: NewWithT(t), server: serveFake(network.Listen("server"), handle)}
	t.Cleanup(v.server.close)
	declared := &route.Server{
		Name: "s1", Address: "server", Slots: 4, Connections: testConnections,
		ChecksGrants: true, Home: "a", HomeUntil: 1 << 62,
	}
	routes.Publish(&route.Snapshot{Self: "a", Services: map[string]*route.Service{"cards": dividedByKey(declared, 7)}})
	handler := New(Options{Routes: routes, Sharing: limit.Home, Dial: network.Dial})
	t.Cleanup(handler.Close)
	caller := &http.Server{Handler: handler}
	go caller.Serve(network.Listen("vm:80")) // Ends with Close.
	t.Cleanup(func() { caller.Close() })
	transport := &http.Transport{DialContext: network.Dial}
	t.Cleanup(transport.CloseIdleConnections)
	v.client = &http.Client{Transport: transport}
	return v
}

// order sends a non-idempotent request, of class "order", and returns the response and
// the time that it took.
func (v *virtualVM) order(headers ...string) (reply, time.Duration) {
	sent := time.Now()
	request, err := http.NewRequest("POST", "http://vm/v1/cards/k", strings.NewReader("one pallet"))
	v.Expect(err).NotTo(HaveOccurred())
	got := exchange(v.client, request, append(headers, HeaderClass, "order"))
	v.Expect(got.err).NotTo(HaveOccurred())
	return got, time.Since(sent)
}

func TestServerWithoutRoomLeadsToNotRunNeverToMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtualVM(t, refuse("shed"))
		got, _ := v.order(HeaderDeadline, "200")
		v.Expect([]any{got.status, got.verdict, got.code}).To(Equal([]any{503, "not_run", "shed"}))
		v.Expect(len(v.server.received())).To(BeNumerically(">", 1), "it is sent again before its deadline")
	})
}

func TestServerWithoutRoomLeadsToARefusalAsSoonAsNoRetryIsAllowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const deadline = 2 * time.Second
		v := newVirtualVM(t, refuse("shed"))
		got, took := v.order(HeaderDeadline, "2000")
		v.Expect([]any{got.status, got.verdict, got.code}).To(Equal([]any{503, "not_run", "shed"}))
		v.Expect(took).To(BeNumerically("<", deadline/2), "not at the deadline")
	})
}

func TestRefusedConnectionLeadsToNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtualVM(t, hang)
		v.server.close()
		got, _ := v.order(HeaderDeadline, "200")
		v.Expect([]any{got.status, got.verdict, got.code}).To(Equal([]any{502, "not_run", "connect"}))
	})
}
