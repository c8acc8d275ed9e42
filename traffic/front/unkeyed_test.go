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

// undivided returns a service that is not divided by key, whose servers stand
// in zones z0, z1, ... of region r.
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
		bad, good := newFakeServer(reset), newFakeServer(say(okAnswer))
		f := newFleet(Options{}, "a")
		f.publish(undivided("a", bad, good))
		for range 20 {
			Expect(f.vms["a"].ask("GET", "/v1/cards/", "").verdict).To(Equal("answered"))
		}
		Expect(len(bad.seen())).To(BeNumerically("<=", 3), "then it is left out")
	})

	It("does so through another VM", func() {
		bad, good := newFakeServer(reset), newFakeServer(say(okAnswer))
		f := newFleet(Options{}, "a", "b")
		f.publish(undivided("b", bad, good))
		for range 20 {
			Expect(f.vms["a"].ask("GET", "/v1/cards/", "").verdict).To(Equal("answered"))
		}
		Expect(f.vms["b"].TakeLoad("cards", 1).Units).NotTo(BeEmpty())
	})

	It("never sends a non-idempotent request again after a reset", func() {
		servers := []*fakeServer{newFakeServer(reset), newFakeServer(reset)}
		f := newFleet(Options{}, "a")
		f.publish(undivided("a", servers...))
		Expect(f.vms["a"].order().verdict).To(Equal("may_have_run"))
		Expect(len(servers[0].seen()) + len(servers[1].seen())).To(Equal(1))
	})

	It("sends a non-idempotent request to another server after a refusal", func() {
		bad, good := newFakeServer(refuse("draining")), newFakeServer(say(okAnswer))
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
			Expect(f.vms["a"].ask("GET", "/v1/cards/", "").verdict).To(Equal("may_have_run"))
		}
		attempts := len(servers[0].seen()) + len(servers[1].seen()) + len(servers[2].seen())
		Expect(float64(attempts) / requests).To(BeNumerically("<=", 1.1))
	})

	It("takes a server's own word on its health as a hint that cannot empty the service", func() {
		unwell := newFakeServer(say("HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{\"healthy\":false}"))
		f := newFleet(Options{}, "a")
		f.publish(undivided("a", unwell))
		f.vms["a"].Probe(context.Background())
		Expect(unwell.seen()).To(HaveLen(1))
		Expect(f.vms["a"].order().verdict).To(Equal("answered"))
	})

	It("gives no new work to a server that is leaving", func() {
		leaving, staying := newFakeServer(say(okAnswer)), newFakeServer(say(okAnswer))
		f := newFleet(Options{}, "a")
		f.publish(func() *route.Service {
			s := undivided("a", leaving, staying)()
			s.Servers[0].Draining = true
			return s
		})
		for range 10 {
			Expect(f.vms["a"].ask("GET", "/v1/cards/", "").verdict).To(Equal("answered"))
		}
		Expect(leaving.seen()).To(BeEmpty())
	})

	It("lets another zone's home serve what would wait in the own zone", func() {
		release := make(chan struct{})
		slow := newFakeServer(func(conn net.Conn, r *http.Request) { <-release; io.WriteString(conn, okAnswer) })
		quick := newFakeServer(say(okAnswer))
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
		ends := make(chan reply, 1)
		ask := func() reply { return f.vms["a"].ask("GET", "/v1/cards/", "") }
		f.publish(near(slow))
		go func() { defer GinkgoRecover(); ends <- ask() }()
		Eventually(func() int { return len(slow.seen()) }).Should(Equal(1))
		f.publish(near(slow, quick))
		for range 10 {
			Expect(ask().verdict).To(Equal("answered"))
		}
		close(release)
		Expect((<-ends).verdict).To(Equal("answered"))
	})
})

var _ = Describe("an idempotent request", func() {
	It("is not told not_run when an earlier attempt may have run", func() {
		server := newFakeServer(reset)
		f := newFleet(Options{}, "a")
		f.publish(func() *route.Service { return divided(testServer(server, "a"), 7) })
		v := f.vms["a"]
		ends := make(chan reply, 1)
		go func() { defer GinkgoRecover(); ends <- v.ask("GET", "/v1/cards/k", "", HeaderDeadline, "400") }()
		Eventually(func() int { return len(server.seen()) }).Should(BeNumerically(">", 0))
		f.publish(func() *route.Service { return divided(nil, 8) })
		Expect((<-ends).verdict).To(Equal("may_have_run"))
	})

	It("has its deadline and its caller's leaving passed on", func() {
		gone := make(chan struct{})
		server := newFakeServer(func(conn net.Conn, r *http.Request) {
			one := make([]byte, 1)
			conn.Read(one) // Returns when the router closes the connection.
			close(gone)
		})
		f := newFleet(Options{}, "a", "b")
		f.publish(func() *route.Service { return divided(testServer(server, "b"), 7) })
		client := &http.Client{Timeout: 200 * time.Millisecond}
		_, err := client.Get(f.vms["a"].caller.URL + "/v1/cards/k")
		Expect(err).To(HaveOccurred())
		Eventually(gone).Should(BeClosed())
		left, _ := strconv.Atoi(server.seen()[0].Header.Get(HeaderDeadline))
		Expect(left).To(And(BeNumerically("<=", 2000), BeNumerically(">", 1000)))
		Eventually(f.vms["a"].InFlight).Should(BeZero())
		Eventually(f.vms["b"].InFlight).Should(BeZero())
	})
})
