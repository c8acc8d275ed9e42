package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/traffic/route"
)

// undivided returns a service that is not divided by key, with its servers
// in zone z of region r.
func undivided(home string, servers ...*fakeServer) func() *route.Service {
	return func() *route.Service {
		s := &route.Service{Name: "cards", Classes: testClasses, DefaultClass: "look"}
		for i, server := range servers {
			declared := testServer(server, home)
			declared.Name = "s" + strconv.Itoa(i)
			declared.Region, declared.Zone = "r", "z"
			s.Servers = append(s.Servers, declared)
		}
		return s
	}
}

var _ = Describe("a service that is not divided by key", func() {
	It("sends an idempotent request to another server after a reset", func() {
		bad, good := newFakeServer(reset), newFakeServer(respond(okAnswer))
		f := newFleet(Options{}, "a")
		f.publish(undivided("a", bad, good))
		for range 20 {
			Expect(f.vms["a"].send("GET", "/v1/cards/", "").verdict).To(Equal("answered"))
		}
		Expect(len(bad.received())).To(BeNumerically("<=", 3), "then the server is ejected")
	})

	It("does so when another VM is the home", func() {
		bad, good := newFakeServer(reset), newFakeServer(respond(okAnswer))
		f := newFleet(Options{}, "a", "b")
		f.publish(undivided("b", bad, good))
		for range 20 {
			Expect(f.vms["a"].send("GET", "/v1/cards/", "").verdict).To(Equal("answered"))
		}
		Expect(f.vms["b"].TakeLoad("cards", 1).Units).NotTo(BeEmpty())
	})

	It("never sends a non-idempotent request again after a reset", func() {
		servers := []*fakeServer{newFakeServer(reset), newFakeServer(reset)}
		f := newFleet(Options{}, "a")
		f.publish(undivided("a", servers...))
		Expect(f.vms["a"].order().verdict).To(Equal("may_have_run"))
		Expect(len(servers[0].received()) + len(servers[1].received())).To(Equal(1))
	})

	It("sends a non-idempotent request to another server after a refusal", func() {
		bad, good := newFakeServer(refuse("draining")), newFakeServer(respond(okAnswer))
		f := newFleet(Options{}, "a")
		f.publish(undivided("a", bad, good))
		for range 5 {
			Expect(f.vms["a"].order().verdict).To(Equal("answered"))
		}
	})

	It("stays within 1.1 attempts for each request while the service is down", func() {
		servers := []*fakeServer{newFakeServer(reset), newFakeServer(reset), newFakeServer(reset)}
		f := newFleet(Options{}, "a")
		f.publish(undivided("a", servers...))
		const requests = 300
		for range requests {
			Expect(f.vms["a"].send("GET", "/v1/cards/", "").verdict).To(Equal("may_have_run"))
		}
		attempts := len(servers[0].received()) + len(servers[1].received()) + len(servers[2].received())
		Expect(float64(attempts) / requests).To(BeNumerically("<=", 1.1))
	})

	It("still uses the only server when its health report says unhealthy", func() {
		unhealthy := newFakeServer(respond("HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{\"healthy\":false}"))
		f := newFleet(Options{}, "a")
		f.publish(undivided("a", unhealthy))
		f.vms["a"].Probe(context.Background())
		Expect(unhealthy.received()).To(HaveLen(1))
		Expect(f.vms["a"].order().verdict).To(Equal("answered"))
	})

	It("sends no new requests to a draining server", func() {
		leaving, staying := newFakeServer(respond(okAnswer)), newFakeServer(respond(okAnswer))
		f := newFleet(Options{}, "a")
		f.publish(func() *route.Service {
			s := undivided("a", leaving, staying)()
			s.Servers[0].Draining = true
			return s
		})
		for range 10 {
			Expect(f.vms["a"].send("GET", "/v1/cards/", "").verdict).To(Equal("answered"))
		}
		Expect(leaving.received()).To(BeEmpty())
	})

	It("sends a request that would wait in its own zone to another zone", func() {
		release := make(chan struct{})
		slow := newFakeServer(func(conn net.Conn, r *http.Request) { <-release; io.WriteString(conn, okAnswer) })
		quick := newFakeServer(respond(okAnswer))
		f := newFleet(Options{Region: "r"}, "a")
		near := func(servers ...*fakeServer) func() *route.Service {
			return func() *route.Service {
				s := undivided("a", servers...)()
				s.Servers[0].Slots, s.Servers[0].Connections = 1, 6
				for _, other := range s.Servers[1:] {
					other.Zone = "other"
				}
				return s
			}
		}
		replies := make(chan reply, 1)
		ask := func() reply { return f.vms["a"].send("GET", "/v1/cards/", "") }
		f.publish(near(slow))
		go func() { defer GinkgoRecover(); replies <- ask() }()
		Eventually(func() int { return len(slow.received()) }).Should(Equal(1))
		f.publish(near(slow, quick))
		for range 10 {
			Expect(ask().verdict).To(Equal("answered"))
		}
		close(release)
		Expect((<-replies).verdict).To(Equal("answered"))
	})
})

var _ = Describe("an idempotent request", func() {
	It("does not get not_run when an earlier attempt may have run", func() {
		server := newFakeServer(reset)
		f := newFleet(Options{}, "a")
		f.publish(func() *route.Service { return dividedByKey(testServer(server, "a"), 7) })
		v := f.vms["a"]
		replies := make(chan reply, 1)
		go func() { defer GinkgoRecover(); replies <- v.send("GET", "/v1/cards/k", "", HeaderDeadline, "400") }()
		Eventually(func() int { return len(server.received()) }).Should(BeNumerically(">", 0))
		f.publish(func() *route.Service { return dividedByKey(nil, 8) })
		Expect((<-replies).verdict).To(Equal("may_have_run"))
	})

	It("has its deadline and its cancellation forwarded", func() {
		gone := make(chan struct{})
		server := newFakeServer(func(conn net.Conn, r *http.Request) {
			one := make([]byte, 1)
			conn.Read(one) // Returns when the VM closes the connection.
			close(gone)
		})
		f := newFleet(Options{}, "a", "b")
		f.publish(func() *route.Service { return dividedByKey(testServer(server, "b"), 7) })
		client := &http.Client{Timeout: 200 * time.Millisecond}
		_, err := client.Get(f.vms["a"].caller.URL + "/v1/cards/k")
		Expect(err).To(HaveOccurred())
		Eventually(gone).Should(BeClosed())
		left, _ := strconv.Atoi(server.received()[0].Header.Get(HeaderDeadline))
		Expect(left).To(And(BeNumerically("<=", 2000), BeNumerically(">", 1000)))
		Eventually(f.vms["a"].InFlight).Should(BeZero())
		Eventually(f.vms["b"].InFlight).Should(BeZero())
	})
})
