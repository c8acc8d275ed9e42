package front

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/traffic/once"
	"guavacrank.example/traffic/once/oncetest"
	"guavacrank.example/traffic/route"
)

// runLog counts the runs of each request at the servers, by request name.
type runLog struct {
	mu     sync.Mutex
	random *rand.Rand
	counts map[string]int
}

func (r *runLog) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

func (r *runLog) ran(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[name]
}

func (r *runLog) add(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name]++
}

// handle randomly runs or refuses a request, and randomly responds to it or
// fails.
func (r *runLog) handle(conn net.Conn, request *http.Request) {
	io.Copy(io.Discard, request.Body)
	name := request.Header.Get("Name")
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(name), name)
	fault := r.draw(20)
	switch fault {
	case 0:
		reset(conn, request)
		return
	case 1:
		refuse("shed")(conn, request)
		return
	case 2:
		refuse("fence")(conn, request)
		return
	case 3:
		refuse("draining")(conn, request)
		return
	}
	r.add(name)
	switch fault {
	case 4:
		reset(conn, request)
	case 5:
		respondAndClose(whole[:len(whole)-1])(conn, request)
	case 6:
		respondAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n")(conn, request)
	case 7: // Hang: the request ran, but no response is sent.
	case 8:
		time.Sleep(time.Duration(r.draw(20)) * time.Millisecond)
		io.WriteString(conn, whole)
	default:
		io.WriteString(conn, whole)
	}
}

var long = flag.Duration("long", 0, "how long to run the random test with fresh seeds")

var _ = Describe("many callers through several VMs and faulty servers", func() {
	DescribeTable("get the response to their own request, a correct verdict and at most one run", manyCallers,
		Entry("seed 1", uint64(1)),
		Entry("seed 2", uint64(2)),
	)

	It("do so with random seeds (go test ./traffic/front -long 1m)", func() {
		for end := time.Now().Add(*long); time.Now().Before(end); {
			seed := rand.Uint64()
			AddReportEntry("seed", seed)
			manyCallers(seed)
		}
	})
})

func manyCallers(seed uint64) {
	record := &runLog{random: rand.New(rand.NewPCG(seed, seed)), counts: map[string]int{}}
	store := oncetest.NewStore()
	f := &fleet{vms: map[string]*vm{}}
	names := []string{"a", "b", "c"}
	for _, name := range names {
		f.vms[name] = newVM(Options{IdempotencyRecords: once.New(once.Options{Store: store, VM: name, OutcomeWritesPerSecond: 1000})})
	}
	keyed, shared := newFakeServer(record.handle), newFakeServer(record.handle)
	f.publish(func() *route.Service { return dividedByKey(testServer(keyed, "b"), 7) })
	for _, v := range f.vms {
		s := undivided("c", keyed, shared)()
		s.Name = "shared"
		old := v.routes.Load()
		v.routes.Publish(&route.Snapshot{Self: old.Self, Peers: old.Peers, Services: map[string]*route.Service{
			"cards": old.Services["cards"], "shared": s,
		}})
	}
	var group sync.WaitGroup
	for caller := range 12 {
		group.Go(func() {
			defer GinkgoRecover()
			for i := range 40 {
				name := fmt.Sprintf("caller-%d-%d", caller, i)
				f.sendWithRetries(record, names, name, caller+i)
			}
		})
	}
	group.Wait()
	for _, server := range []*fakeServer{keyed, shared} {
		Expect(server.peakConnections()).To(BeNumerically("<=", testConnections), "over all VMs")
	}
}

// sendWithRetries sends one request. Until it is answered, it retries it
// through other VMs, up to three attempts.
func (f *fleet) sendWithRetries(record *runLog, vms []string, name string, number int) {
	class := []string{"look", "order"}[number%2]
	path := []string{"/v1/cards/k", "/v1/shared/"}[number/2%2]
	headers := []string{"Name", name, HeaderClass, class, HeaderDeadline, "150", HeaderIdempotencyKey, name}
	for try := range 3 {
		before := record.ran(name)
		got := f.vms[vms[(number+try)%len(vms)]].send("POST", path, name, headers...)
		Expect(got.err).NotTo(HaveOccurred())
		ran := record.ran(name)
		switch got.verdict {
		case "answered":
			Expect(strings.TrimSpace(got.body)).To(Or(Equal(name), HavePrefix("once_finished")))
			Expect(ran).To(BeNumerically(">=", 1))
		case "not_run":
			Expect(ran).To(Equal(before), "%s got the verdict not_run (%s)", name, got.code)
		case "may_have_run":
		default:
			Fail("no verdict: " + got.body)
		}
		if class == "order" {
			Expect(ran).To(BeNumerically("<=", 1), "%s ran %d times", name, ran)
		}
		if got.verdict == "answered" {
			return
		}
	}
}
