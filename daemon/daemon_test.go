package daemon_test

import (
	"context"
	"fmt"
	"io"
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
	// settleTime bounds everything that a test waits for.
	settleTime = 20 * time.Second
	pollTime   = 20 * time.Millisecond
)

// world is a store, backend servers and daemons in one process.
type world struct {
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
	ended  chan error
}

// boundSettings are settings whose addresses are bound already, so that no
// other socket can take them before the daemon starts.
type boundSettings struct {
	config.Settings
	listeners *daemon.Listeners
}

// bind binds free ports and notes them in the settings.
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

// newWorld starts daemons and servers and applies a configuration with one
// service divided by key and one that is not.
func newWorld(vms, servers int) *world {
	w := &world{store: memstore.New(memstore.Options{}), records: &standin.Records{}}
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
			Records:      w.records,
		})
		Expect(server.Start()).To(Succeed())
		DeferCleanup(server.Kill)
		w.servers = append(w.servers, server)
		text += fmt.Sprintf("  - {name: %s, service: recipes, address: %q, region: r, zone: z%d, slots: 4, connections: 55, checks_grants: %v}\n",
			server.Name(), server.Address(), i%2, i > 0)
	}
	var list []kvstore.VM
	var all []boundSettings
	for i := range vms {
		settings := config.DefaultSettings()
		settings.VM = fmt.Sprintf("vm-%d", i)
		settings.Region = "r"
		settings.Zone = fmt.Sprintf("z%d", i%2)
		settings.OperatorToken = "operator-token-of-the-test"
		settings.PeerToken = "peer-token-of-the-test"
		listeners := bind(&settings)
		all = append(all, boundSettings{settings, listeners})
		list = append(list, kvstore.VM{Name: settings.VM, Region: "r", Zone: settings.Zone, Peer: settings.PeerAddress})
	}
	w.store.SetVMs(list)
	_, err := revision.New(revision.Options{Store: w.store}).Apply(context.Background(), revision.Change{
		ChangeID: "first", Author: "test", Reason: "test", File: "test.yaml", YAML: text,
	})
	Expect(err).NotTo(HaveOccurred())
	for _, bound := range all {
		w.vms = append(w.vms, w.startVM(bound))
	}
	return w
}

func (w *world) startVM(bound boundSettings) *vm {
	settings := bound.Settings
	d, err := daemon.New(daemon.Options{
		Settings:      settings,
		Store:         w.store,
		Logger:        zap.NewNop(),
		Listeners:     bound.listeners,
		Incarnation:   settings.VM + "-1",
		ShutdownDelay: 100 * time.Millisecond,
	})
	Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	v := &vm{name: settings.VM, daemon: d, caller: "http://" + settings.CallerAddress, stop: stop, ended: make(chan error, 1)}
	go func() { v.ended <- d.Run(ctx) }()
	DeferCleanup(func() {
		d.Kill()
		stop()
	})
	return v
}

// reply is what a caller got.
type reply struct {
	status  int
	verdict string
	body    string
}

func (v *vm) ask(class, key string) reply {
	request, err := http.NewRequest(http.MethodGet, v.caller+"/v1/recipes/"+key, nil)
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Guavacrank-Class", class)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{}
	}
	defer answer.Body.Close()
	body, _ := io.ReadAll(answer.Body)
	return reply{status: answer.StatusCode, verdict: answer.Header.Get(verdict.Header), body: string(body)}
}

// eventuallyServed waits until every key of a sample is answered by every VM.
func (w *world) eventuallyServed(vms ...*vm) {
	GinkgoHelper()
	for _, v := range vms {
		for i := range 40 {
			key := fmt.Sprintf("key-%d", i)
			var last reply
			Eventually(func() string {
				last = v.ask("card", key)
				return last.verdict
			}, settleTime, pollTime).Should(Equal(verdict.Answered.String()), func() string {
				return fmt.Sprintf("%s at %s: %+v", key, v.name, last)
			})
			Expect(last.body).To(ContainSubstring(key))
		}
	}
}

// expectNoBrokenPromise judges by the backend servers' own records.
func (w *world) expectNoBrokenPromise() {
	GinkgoHelper()
	runs := w.records.Runs()
	Expect(standin.Overlaps(runs, standin.BootTime())).To(BeEmpty())
	for id, repeated := range standin.Repeated(runs) {
		Expect(strings.Contains(repeated[0].Class, "stamp")).To(BeFalse(), "request %s ran twice", id)
	}
}

var _ = Describe("daemons", func() {
	It("serve every key through every VM, and go on after the loss of a server and of a VM", func() {
		w := newWorld(3, 4)
		w.eventuallyServed(w.vms...)
		w.servers[1].Kill()
		w.eventuallyServed(w.vms...)
		w.vms[0].daemon.Kill()
		w.eventuallyServed(w.vms[1:]...)
		w.expectNoBrokenPromise()
	})

	It("end their callers' connections when they are lost", func() {
		w := newWorld(3, 3)
		w.eventuallyServed(w.vms[0])
		w.vms[0].daemon.Kill()
		Eventually(w.vms[0].ended, settleTime).Should(Receive(BeNil()))
		Expect(w.vms[0].ask("card", "key-1")).To(Equal(reply{}))
	})

	It("stop gracefully with nothing cut off", func() {
		w := newWorld(3, 3)
		w.eventuallyServed(w.vms...)
		w.vms[0].stop()
		Eventually(w.vms[0].ended, settleTime).Should(Receive(BeNil()))
		w.eventuallyServed(w.vms[1:]...)
		w.expectNoBrokenPromise()
	})
})
