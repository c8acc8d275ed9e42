package daemon_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"guavacrank.example/backend/standin"
	"guavacrank.example/config"
	"guavacrank.example/daemon"
	"guavacrank.example/daemon/revision"
	"guavacrank.example/kvstore"
	"guavacrank.example/kvstore/memstore"
	"guavacrank.example/traffic/verdict"
)

func TestDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "daemon")
}

const (
	// waitTimeout bounds each wait of a test.
	waitTimeout  = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// testFleet is a store, backend servers and daemons in one process.
type testFleet struct {
	store   *memstore.Store
	records *standin.Records
	servers []*standin.Server
	vms     []*vm
}

// vm is one running daemon.
type vm struct {
	name   string
	daemon *daemon.Daemon
	caller string
	stop   context.CancelFunc
	done   chan error
}

// boundSettings are settings with their listeners. The addresses are bound before
// the daemon starts, so that no other socket can take them.
type boundSettings struct {
	config.Settings
	listeners *daemon.Listeners
}

// bind binds free ports and stores their addresses in the settings.
func bind(settings *config.Settings) *daemon.Listeners {
	const anyPort = "127.0.0.1:0"
	settings.CallerAddress = anyPort
	settings.PeerAddress = anyPort
	settings.OperatorAddress = anyPort
	listeners, err := daemon.Listen(*settings)
	Expect(err).NotTo(HaveOccurred())
	settings.CallerAddress = listeners.Caller.Addr().String()
	settings.PeerAddress = listeners.Peer.Addr().String()
	settings.OperatorAddress = listeners.Operator.Addr().String()
	return listeners
}

// newTestFleet starts daemons and backend servers, and applies a configuration with
// one service divided by key. The first server does not check grants.
func newTestFleet(vms, servers int) *testFleet {
	f := &testFleet{store: memstore.New(memstore.Options{}), records: &standin.Records{}}
	text := "services:\n" +
		"  - name: recipes\n    divided_by_key: true\n    shards: 32\n    classes:\n" +
		"      - {name: card, idempotent: true, priority: interactive, deadline: 3s}\n" +
		"      - {name: stamp, idempotent: false, priority: patient, deadline: 3s}\n" +
		"servers:\n"
	for i := range servers {
		server := standin.New(standin.Options{
			Name:         fmt.Sprintf("recipes-%d", i),
			Service:      "recipes",
			ChecksGrants: i > 0,
			Records:      f.records,
		})
		Expect(server.Start()).To(Succeed())
		DeferCleanup(server.Kill)
		f.servers = append(f.servers, server)
		text += fmt.Sprintf("  - {name: %s, service: recipes, address: %q, region: r, zone: z%d, slots: 4, connections: 55, checks_grants: %v}\n",
			server.Name(), server.Address(), i%2, i > 0)
	}
	var list []kvstore.VM
	var vmSettings []boundSettings
	for i := range vms {
		settings := config.DefaultSettings()
		settings.VM = fmt.Sprintf("vm-%d", i)
		settings.Region = "r"
		settings.Zone = fmt.Sprintf("z%d", i%2)
		settings.OperatorToken = "operator-token-of-the-test"
		settings.PeerToken = "peer-token-of-the-test"
		listeners := bind(&settings)
		vmSettings = append(vmSettings, boundSettings{settings, listeners})
		list = append(list, kvstore.VM{Name: settings.VM, Region: "r", Zone: settings.Zone, Peer: settings.PeerAddress})
	}
	f.store.SetVMs(list)
	_, err := revision.New(revision.Options{Store: f.store}).Apply(context.Background(), revision.Change{
		ChangeID: "first", Author: "test", Reason: "test", File: "test.yaml", YAML: text,
	})
	Expect(err).NotTo(HaveOccurred())
	for _, bound := range vmSettings {
		f.vms = append(f.vms, f.startVM(bound))
	}
	return f
}

func (f *testFleet) startVM(bound boundSettings) *vm {
	settings := bound.Settings
	d, err := daemon.New(daemon.Options{
		Settings:      settings,
		Store:         f.store,
		Logger:        zap.NewNop(),
		Listeners:     bound.listeners,
		Incarnation:   settings.VM + "-1",
		ShutdownDelay: 100 * time.Millisecond,
	})
	Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	v := &vm{name: settings.VM, daemon: d, caller: "http://" + settings.CallerAddress, stop: stop, done: make(chan error, 1)}
	go func() { v.done <- d.Run(ctx) }()
	DeferCleanup(func() {
		d.Kill()
		stop()
	})
	return v
}

// callerResponse is the response that a caller received; it is empty if there was
// none.
type callerResponse struct {
	status  int
	verdict string
	body    string
}

func (v *vm) send(class, key string) callerResponse {
	request, err := http.NewRequest(http.MethodGet, v.caller+"/v1/recipes/"+key, nil)
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Guavacrank-Class", class)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callerResponse{}
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, verdict: response.Header.Get(verdict.Header), body: string(body)}
}

// waitUntilServed waits until every given VM answers requests for 40 sample keys.
func (f *testFleet) waitUntilServed(vms ...*vm) {
	GinkgoHelper()
	for _, v := range vms {
		for i := range 40 {
			key := fmt.Sprintf("key-%d", i)
			var last callerResponse
			Eventually(func() string {
				last = v.send("card", key)
				return last.verdict
			}, waitTimeout, pollInterval).Should(Equal(verdict.Answered.String()), func() string {
				return fmt.Sprintf("%s at %s: %+v", key, v.name, last)
			})
			Expect(last.body).To(ContainSubstring(key))
		}
	}
}

// expectExclusiveRuns checks the records of the backend servers: no two servers ran
// requests for a key at the same time, and no non-idempotent request ran twice.
func (f *testFleet) expectExclusiveRuns() {
	GinkgoHelper()
	runs := f.records.Runs()
	Expect(standin.Overlaps(runs, standin.BootTime())).To(BeEmpty())
	for id, repeated := range standin.Repeated(runs) {
		Expect(strings.Contains(repeated[0].Class, "stamp")).To(BeFalse(), "request %s ran twice", id)
	}
}

var _ = Describe("daemons", func() {
	It("serve every key through every VM, and continue after the loss of a server and of a VM", func() {
		f := newTestFleet(3, 4)
		f.waitUntilServed(f.vms...)
		f.servers[1].Kill()
		f.waitUntilServed(f.vms...)
		f.vms[0].daemon.Kill()
		f.waitUntilServed(f.vms[1:]...)
		f.expectExclusiveRuns()
	})

	It("close their callers' connections when they are killed", func() {
		f := newTestFleet(3, 3)
		f.waitUntilServed(f.vms[0])
		f.vms[0].daemon.Kill()
		Eventually(f.vms[0].done, waitTimeout).Should(Receive(BeNil()))
		Expect(f.vms[0].send("card", "key-1")).To(Equal(callerResponse{}))
	})

	It("shut down gracefully without aborting requests", func() {
		f := newTestFleet(3, 3)
		f.waitUntilServed(f.vms...)
		f.vms[0].stop()
		Eventually(f.vms[0].done, waitTimeout).Should(Receive(BeNil()))
		f.waitUntilServed(f.vms[1:]...)
		f.expectExclusiveRuns()
	})

	// Guards against the success that net/http gives to OPTIONS * by itself.
	It("give no success to OPTIONS * without a server", func() {
		f := newTestFleet(1, 1)
		connection, err := net.Dial("tcp", strings.TrimPrefix(f.vms[0].caller, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer connection.Close()
		Expect(connection.SetDeadline(time.Now().Add(waitTimeout))).To(Succeed())
		_, err = io.WriteString(connection, "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
	})
})
