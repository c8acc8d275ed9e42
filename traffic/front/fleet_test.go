package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/traffic/limit"
	"guavacrank.example/traffic/route"
)

var _ = Describe("several VMs", func() {
	var options = Options{Sharing: limit.Home}

	It("send through the server's home", func() {
		server := newFakeServer(respond(okAnswer))
		f := newFleet(options, "a", "b")
		f.publish(func() *route.Service { return dividedByKey(testServer(server, "b"), 7) })
		got := f.vms["a"].send("GET", "/v1/cards/a%2Fb?q=1", "")
		Expect(got.body).To(Equal("ok"))
		Expect(got.verdict).To(Equal("answered"))
		Expect(server.received()[0].RequestURI).To(Equal("/a%2Fb?q=1"))
		Expect(f.vms["a"].TakeLoad("cards", 1).Units).To(BeEmpty())
		Expect(f.vms["b"].TakeLoad("cards", 1).Units).To(HaveLen(1))
	})

	It("forward the verdict of the home", func() {
		server := newFakeServer(reset)
		f := newFleet(options, "a", "b")
		f.publish(func() *route.Service { return dividedByKey(testServer(server, "b"), 7) })
		got := f.vms["a"].order()
		Expect([]any{got.status, got.verdict, got.code}).To(Equal([]any{502, "may_have_run", "reset"}))
		Expect(server.received()).To(HaveLen(1))
	})

	It("refuse a forwarded request without the peer token", func() {
		server := newFakeServer(respond(okAnswer))
		withToken := options
		withToken.PeerToken = "secret of the fleet"
		f := newFleet(withToken, "a", "b")
		f.publish(func() *route.Service { return dividedByKey(testServer(server, "b"), 7) })
		Expect(f.vms["a"].send("GET", "/v1/cards/k", "").verdict).To(Equal("answered"))
		forged, err := http.NewRequest(http.MethodGet, f.vms["b"].peer.URL+PeerPrefix+"cards/k", nil)
		Expect(err).NotTo(HaveOccurred())
		forged.Header.Set(HeaderPeerServer, "s1")
		response, err := http.DefaultClient.Do(forged)
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusForbidden))
		Expect(server.received()).To(HaveLen(1))
	})

	It("send directly to a server that checks grants when its home is unreachable", func() {
		server := newFakeServer(respond(okAnswer))
		f := newFleet(options, "a", "b")
		f.publish(func() *route.Service { return dividedByKey(testServer(server, "b"), 7) })
		f.vms["b"].peer.Close()
		Expect(f.vms["a"].order().verdict).To(Equal("answered"))
		Expect(f.vms["a"].order().verdict).To(Equal("answered"))
		Expect(server.received()).To(HaveLen(2))
	})

	It("send directly when the home accepts connections but does not respond", func() {
		server, silentHome := newFakeServer(respond(okAnswer)), newFakeServer(hang)
		v := newVM(Options{})
		v.routes.Publish(&route.Snapshot{
			Self:     "a",
			Services: map[string]*route.Service{"cards": dividedByKey(testServer(server, "b"), 7)},
			Peers:    map[string]string{"b": silentHome.address()},
		})
		for range maxTimeouts {
			Expect(v.order(HeaderDeadline, "50").code).To(Equal("timeout"))
		}
		Expect(v.order(HeaderDeadline, "500").verdict).To(Equal("answered"))
	})

	It("give the home a shorter deadline, so that its not_run for a queued request arrives in time", func() {
		Expect(homeDeadline(time.Second)).To(BeEquivalentTo(985))
		Expect(homeDeadline(100 * time.Millisecond)).To(BeEquivalentTo(90))
		Expect(homeDeadline(time.Microsecond)).To(BeEquivalentTo(1))
		server := newFakeServer(hang)
		f := newFleet(options, "a", "b")
		f.publish(func() *route.Service {
			declared := testServer(server, "b")
			declared.Slots = 1
			return dividedByKey(declared, 7)
		})
		replies := make(chan reply, 1)
		go func() { defer GinkgoRecover(); replies <- f.vms["a"].order(HeaderDeadline, "400") }()
		Eventually(func() int { return len(server.received()) }).Should(Equal(1))
		got := f.vms["b"].order(HeaderDeadline, "200")
		Expect([]any{got.verdict, got.code}).To(Equal([]any{"not_run", "timeout"}))
		Expect((<-replies).verdict).To(Equal("may_have_run"))
	})

	It("send directly without a home if sharing is direct", func() {
		server := newFakeServer(respond(okAnswer))
		f := newFleet(Options{Sharing: limit.Direct}, "a", "b")
		f.publish(func() *route.Service { return dividedByKey(testServer(server, "b"), 7) })
		Expect(f.vms["a"].order().verdict).To(Equal("answered"))
		Expect(f.vms["a"].TakeLoad("cards", 1).Units).To(HaveLen(1))
	})

	Context("with a server that does not check grants", func() {
		unchecking := func(server *fakeServer, home string, until time.Duration) func() *route.Service {
			return func() *route.Service {
				declared := testServer(server, home)
				declared.ChecksGrants = false
				declared.HomeUntil = until
				return dividedByKey(declared, 7)
			}
		}

		It("never send to it directly", func() {
			server := newFakeServer(respond(okAnswer))
			f := newFleet(options, "a", "b")
			f.publish(unchecking(server, "b", 1<<62))
			f.vms["b"].peer.Close()
			got := f.vms["a"].order(HeaderDeadline, "200")
			Expect(got.verdict).To(Equal("not_run"))
			Expect(server.received()).To(BeEmpty())
		})

		It("send nothing after the home's right to send has expired", func() {
			server := newFakeServer(respond(okAnswer))
			f := newFleet(options, "a")
			f.publish(unchecking(server, "a", time.Nanosecond))
			got := f.vms["a"].order(HeaderDeadline, "100")
			Expect([]any{got.verdict, got.code}).To(Equal([]any{"not_run", "no_owner"}))
			Expect(server.received()).To(BeEmpty())
		})

		It("check the right to send again after a wait in the queue", func() {
			var clock atomic.Int64
			began, release := make(chan struct{}, 8), make(chan struct{})
			server := newFakeServer(func(conn net.Conn, r *http.Request) {
				began <- struct{}{}
				<-release
				io.WriteString(conn, okAnswer)
			})
			f := newFleet(Options{Elapsed: func() time.Duration { return time.Duration(clock.Load()) }}, "a")
			f.publish(func() *route.Service {
				s := unchecking(server, "a", time.Second)()
				s.Servers[0].Slots = 1
				return s
			})
			replies := make(chan reply, 2)
			for range 2 {
				go func() { defer GinkgoRecover(); replies <- f.vms["a"].order(HeaderDeadline, "600") }()
			}
			<-began
			Eventually(f.vms["a"].InFlight).Should(Equal(2))
			Eventually(f.vms["a"].queued).Should(Equal(1))
			clock.Store(int64(time.Second))
			close(release)
			got := []string{(<-replies).verdict, (<-replies).verdict}
			Expect(got).To(ConsistOf("answered", "not_run"))
			Expect(server.received()).To(HaveLen(1))
		})

		It("report a unit as in flight until the deadline of a request without a response", func() {
			server := newFakeServer(reset)
			f := newFleet(options, "a")
			f.publish(unchecking(server, "a", 1<<62))
			Expect(f.vms["a"].order(HeaderDeadline, "300").code).To(Equal("reset"))
			Expect(f.vms["a"].UnitsInFlight("cards")).To(Equal([]uint32{0}))
			Eventually(func() []uint32 { return f.vms["a"].UnitsInFlight("cards") }).Should(BeEmpty())
		})
	})
})

// queued returns the number of queued requests.
func (v *vm) queued() int {
	total := 0
	for _, member := range v.current().services["cards"].members {
		total += member.gate.State().Queued
	}
	return total
}

var _ = Describe("a request whose route changes", func() {
	It("reports the stale route after a fence refusal and follows the new one", func() {
		old, fresh := newFakeServer(refuse("fence")), newFakeServer(respond(okAnswer))
		f := newFleet(Options{}, "a")
		f.publish(func() *route.Service { return dividedByKey(testServer(old, "a"), 7) })
		replies := make(chan reply, 1)
		go func() { defer GinkgoRecover(); replies <- f.vms["a"].order() }()
		Eventually(f.vms["a"].stale).Should(Receive(Equal("cards")))
		f.publish(func() *route.Service { return dividedByKey(testServer(fresh, "a"), 8) })
		Expect((<-replies).verdict).To(Equal("answered"))
		Expect(fresh.received()[0].Header.Get("Guavacrank-Epoch")).To(Equal("8"))
		Expect(fresh.received()[0].Header.Get("Guavacrank-Attempt")).NotTo(Equal("1"))
	})

	It("waits while its unit has no server", func() {
		server := newFakeServer(respond(okAnswer))
		f := newFleet(Options{}, "a")
		f.publish(func() *route.Service { return dividedByKey(nil, 7) })
		replies := make(chan reply, 1)
		go func() { defer GinkgoRecover(); replies <- f.vms["a"].order() }()
		Eventually(f.vms["a"].InFlight).Should(Equal(1))
		f.publish(func() *route.Service { return dividedByKey(testServer(server, "a"), 8) })
		Expect((<-replies).verdict).To(Equal("answered"))
	})

	It("gets not_run when its unit has no server until the deadline", func() {
		f := newFleet(Options{}, "a")
		f.publish(func() *route.Service { return dividedByKey(nil, 7) })
		got := f.vms["a"].order(HeaderDeadline, "50")
		Expect([]any{got.status, got.verdict, got.code}).To(Equal([]any{503, "not_run", "no_owner"}))
	})
})

var _ = Describe("Stop", func() {
	It("waits for requests in flight and refuses new ones with not_run", func() {
		release := make(chan struct{})
		server := newFakeServer(func(conn net.Conn, r *http.Request) {
			<-release
			io.WriteString(conn, okAnswer)
		})
		v := oneVM(server)
		replies, stopped := make(chan reply, 1), make(chan error, 1)
		go func() { defer GinkgoRecover(); replies <- v.order() }()
		Eventually(func() int { return len(server.received()) }).Should(Equal(1))
		go func() { stopped <- v.Stop(context.Background()) }()
		Eventually(func() string { return v.order().code }).Should(Equal("stopping"))
		Expect(v.order().verdict).To(Equal("not_run"))
		Consistently(stopped, "20ms").ShouldNot(Receive())
		close(release)
		Expect((<-replies).verdict).To(Equal("answered"))
		Expect(<-stopped).To(Succeed())
	})

	It("returns the error of its context when that ends first", func() {
		v := oneVM(newFakeServer(hang))
		go func() { defer GinkgoRecover(); v.order(HeaderDeadline, "500") }()
		Eventually(v.InFlight).Should(Equal(1))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(v.Stop(ctx)).To(MatchError(context.Canceled))
	})
})

var _ = Describe("the link between regions", func() {
	It("paces bulk responses at the home that sends them over the link, and counts all classes", func() {
		body := strings.Repeat("x", 60_000)
		server := newFakeServer(respond("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + body))
		f := &fleet{vms: map[string]*vm{"a": newVM(Options{Region: "north"}), "b": newVM(Options{Region: "south"})}}
		f.publish(func() *route.Service {
			declared := testServer(server, "b")
			declared.Region = "south"
			s := dividedByKey(declared, 7)
			s.Settings.LinkBulkRate = 200_000
			return s
		})
		began := time.Now()
		Expect(f.vms["a"].send("GET", "/v1/cards/k", "").body).To(Equal(body))
		Expect(f.vms["a"].send("GET", "/v1/cards/k", "", HeaderClass, "bulk").body).To(Equal(body))
		Expect(time.Since(began)).To(BeNumerically(">=", 200*time.Millisecond), "60 kB at 200 kB/s, less a burst")
		Expect(f.vms["b"].Status().Link["cards"]["out"]).To(Equal(map[string]int64{"interactive": 60_000, "patient": 0, "bulk": 60_000}))
	})
})
