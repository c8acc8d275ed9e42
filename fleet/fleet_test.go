package fleet_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"guavacrank.example/fleet"
	"guavacrank.example/kvstore"
	"guavacrank.example/kvstore/memstore"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Fleet Suite")
}

// recorder is a Listener that records its calls.
type recorder struct {
	mu        sync.Mutex
	versions  map[string]uint64
	regressed []string
	messages  []string
}

func (r *recorder) DocumentChanged(d fleet.Document) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.Version <= r.versions[d.Key] {
		r.regressed = append(r.regressed, d.Key)
	}
	r.versions[d.Key] = d.Version
}

func (r *recorder) MembersChanged([]fleet.Member) {}

func (r *recorder) MessageReceived(from, kind string, payload []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, from+" "+kind+" "+string(payload))
}

func (r *recorder) received() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.messages...)
}

// running is one Manager with its listener on a loopback port.
type running struct {
	*fleet.Manager
	recorder *recorder
	server   *http.Server
	cancel   context.CancelFunc
	finished chan struct{}
}

// stop stops the manager and its listener.
func (r *running) stop() {
	r.cancel()
	<-r.finished
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	Expect(r.server.Shutdown(ctx)).To(Succeed())
}

// listen returns a loopback listener and a VM with its address.
func listen(i int) (net.Listener, kvstore.VM) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	region := []string{"flanders", "wallonia"}[i%2]
	return listener, kvstore.VM{
		Name: fmt.Sprintf("vm-%d", i+1), Region: region, Zone: region + "-a", Peer: listener.Addr().String(),
	}
}

func start(listener net.Listener, vm kvstore.VM, store kvstore.Store, token string, seeds ...string) *running {
	r := &running{recorder: &recorder{versions: map[string]uint64{}}, finished: make(chan struct{})}
	var err error
	r.Manager, err = fleet.New(fleet.Options{Self: vm, Store: store, Listener: r.recorder, Token: token, Seeds: seeds})
	Expect(err).NotTo(HaveOccurred())
	mux := http.NewServeMux()
	mux.Handle(r.Handler())
	r.server = fleet.NewServer(mux)
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go func() { _ = r.server.Serve(listener) }()
	go func() {
		defer close(r.finished)
		_ = r.Run(ctx)
	}()
	return r
}

var _ = Describe("three managers over TCP", func() {
	var store *memstore.Store
	var managers []*running

	BeforeEach(func() {
		leaks := goleak.IgnoreCurrent()
		store = memstore.New(memstore.Options{})
		managers = nil
		var listeners []net.Listener
		var vms []kvstore.VM
		for i := range 3 {
			listener, vm := listen(i)
			listeners, vms = append(listeners, listener), append(vms, vm)
		}
		store.SetVMs(vms)
		for i := range vms {
			managers = append(managers, start(listeners[i], vms[i], store, "secret"))
		}
		DeferCleanup(func() {
			for _, m := range managers {
				m.stop()
				Expect(m.recorder.regressed).To(BeEmpty())
			}
			Eventually(func() error { return goleak.Find(leaks) }, 5*time.Second).Should(Succeed())
		})
	})

	write := func(key, value string) kvstore.Version {
		entry, err := store.Get(context.Background(), key)
		if err != nil {
			Expect(kvstore.IsKind(err, kvstore.KindNotFound)).To(BeTrue())
		}
		version, err := store.CompareAndSwap(context.Background(), key, entry.Version, []byte(value), 0)
		Expect(err).NotTo(HaveOccurred())
		return version
	}

	haveAll := func(key string, version kvstore.Version) func() bool {
		return func() bool {
			for _, m := range managers {
				if d, _ := m.Document(key); d.Version != uint64(version) {
					return false
				}
			}
			return true
		}
	}

	alive := func(m *running) func() int {
		return func() int {
			count := 0
			for _, member := range m.Members() {
				if member.Alive {
					count++
				}
			}
			return count
		}
	}

	It("replicates documents, aggregates the status, sends direct messages and detects a lost VM", func() {
		version := write(kvstore.ConfigKey, strings.Repeat("a: 1\n", 2000))
		Eventually(haveAll(kvstore.ConfigKey, version), 10*time.Second).Should(BeTrue())
		for _, m := range managers {
			Eventually(m.Ready, 10*time.Second).Should(BeTrue())
			Eventually(alive(m), 10*time.Second).Should(Equal(3))
			m.Report(fleet.InForce{Revision: 7})
		}
		Eventually(func() int { return managers[1].FleetStatus().InForce }, 10*time.Second).Should(Equal(3))

		version = write("page/catalogue", strings.Repeat("unit\n", 100))
		managers[2].Publish(fleet.Document{Key: "page/catalogue", Version: uint64(version), Value: []byte(strings.Repeat("unit\n", 100))})
		Eventually(haveAll("page/catalogue", version), 10*time.Second).Should(BeTrue())

		managers[0].Send("vm-3", "stopped", []byte("unit 4"))
		Eventually(managers[2].recorder.received, 10*time.Second).Should(ContainElement("vm-1 stopped unit 4"))

		managers[2].stop()
		managers = managers[:2]
		Eventually(alive(managers[0]), 10*time.Second).Should(Equal(2))
		Eventually(alive(managers[1]), 10*time.Second).Should(Equal(2))
	})

	It("gets its documents from peers during a store outage", func() {
		version := write(kvstore.ConfigKey, "a: 1\n")
		Eventually(haveAll(kvstore.ConfigKey, version), 10*time.Second).Should(BeTrue())
		store.SetFaults(memstore.Faults{Outage: true})
		listener, vm := listen(3)
		fourth := start(listener, vm, store, "secret", managers[0].Members()[0].Peer)
		managers = append(managers, fourth)
		Eventually(fourth.Ready, 20*time.Second).Should(BeTrue())
		Expect(haveAll(kvstore.ConfigKey, version)()).To(BeTrue())
	})

	It("refuses a peer with a wrong token", func() {
		listener, vm := listen(3)
		unauthorized := start(listener, vm, store, "guess")
		defer unauthorized.stop()
		Eventually(alive(managers[0]), 10*time.Second).Should(Equal(3))
		Consistently(alive(unauthorized), time.Second).Should(Equal(1))
		Expect(alive(managers[0])()).To(Equal(3))
	})
})
