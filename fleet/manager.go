package fleet

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"guavacrank.example/event"
	fleetv1 "guavacrank.example/fleet/gen/fleet/v1"
	"guavacrank.example/fleet/membership"
	"guavacrank.example/fleet/node"
	"guavacrank.example/fleet/spread"
	"guavacrank.example/kvstore"
)

const (
	// inboxSize is the number of received messages that may wait for the loop.
	inboxSize = 1024
	// agreeingPeers is the number of VMs whose documents must be equal to this
	// VM's before it is ready without the store, if there are as many.
	agreeingPeers = 3
	// agreeLimit is how long a VM waits for that many.
	agreeLimit = 5 * time.Second
)

// Manager runs the fleet's protocol for one VM.
type Manager struct {
	options   Options
	clock     Clock
	transport *transport
	feed      *feed
	server    *server

	// node and what follows it belong to the goroutine of Run.
	node       *node.Node
	configAt   time.Duration // When a configuration was first obtained.
	storeRead  bool          // The store answered for the configuration.
	wasReady   bool
	watching   bool
	seedsGiven bool

	inbox chan received
	mu    sync.Mutex
	queue []func(now time.Duration)
	wake  chan struct{}
	done  chan struct{}

	ready     atomic.Bool
	members   atomic.Pointer[[]Member]
	documents sync.Map // Key to Document.
}

// received is a message of another VM.
type received struct {
	from    string
	message *fleetv1.ExchangeRequest
}

// New returns a manager; nothing runs until Run. The error is an *Error.
func New(options Options) (*Manager, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	if options.OnEvent == nil {
		options.OnEvent = func(event.Event) {}
	}
	m := &Manager{
		options: options,
		clock:   options.Clock,
		node:    node.New(node.Options{Self: options.Self, Boot: newBoot(), Policy: options.Policy}),
		inbox:   make(chan received, inboxSize),
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
	if m.clock == nil {
		m.clock = bootClock
	}
	m.transport = newTransport(options.Self, options.Token)
	m.feed = newFeed(m, options.Store)
	m.server = newServer(m, options.Self.Name, options.Token)
	members := m.node.Members()
	m.members.Store(&members)
	return m, nil
}

// newBoot returns a random nonzero identifier of this process.
func newBoot() uint64 {
	var buffer [8]byte
	if _, err := rand.Read(buffer[:]); err != nil {
		return uint64(bootClock()) | 1
	}
	return binary.BigEndian.Uint64(buffer[:]) | 1
}

// Handler returns the path and handler to mount on the peer listener. The
// listener must speak unencrypted HTTP/2; NewServer gives one that does.
func (m *Manager) Handler() (path string, handler http.Handler) { return m.server.handler() }

// Run spreads documents and watches members until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	defer close(m.done)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.loop(ctx) })
	group.Go(func() error { return m.feed.run(ctx) })
	group.Go(func() error { return m.transport.run(ctx) })
	return group.Wait()
}

// Publish pushes a document that this VM just wrote to the store to all VMs
// at once. It does not block.
func (m *Manager) Publish(document Document) {
	m.post(func(now time.Duration) { m.node.StepSpread(now, spread.Published{Document: document}) })
}

// Send sends a small direct message to one VM, best effort. It does not block.
func (m *Manager) Send(to string, kind string, payload []byte) {
	message := &fleetv1.ExchangeRequest{Body: &fleetv1.ExchangeRequest_Direct{
		Direct: &fleetv1.Direct{Kind: kind, Payload: payload},
	}}
	if to == m.options.Self.Name {
		m.post(func(time.Duration) { m.options.Listener.MessageReceived(to, kind, payload) })
		return
	}
	m.transport.send(to, message)
}

// Report says what this VM has in force.
func (m *Manager) Report(inForce InForce) {
	m.post(func(now time.Duration) { m.node.StepSpread(now, inForce) })
}

// Leave tells the fleet that this VM is stopping.
func (m *Manager) Leave() {
	m.post(func(now time.Duration) { m.node.StepMembership(now, membership.Leave{}) })
}

// FleetStatus returns the fleet's state as this VM knows it; the zero value
// unless the manager runs. It must not be called from the Listener.
func (m *Manager) FleetStatus() Status {
	answer := make(chan Status, 1)
	m.post(func(now time.Duration) { answer <- m.node.Status(now) })
	select {
	case status := <-answer:
		return status
	case <-m.done:
		return Status{}
	case <-time.After(time.Second):
		return Status{}
	}
}

// Members returns the newest membership, sorted by name.
func (m *Manager) Members() []Member { return *m.members.Load() }

// Document returns the newest known version of a document.
func (m *Manager) Document(key string) (Document, bool) {
	value, present := m.documents.Load(key)
	if !present {
		return Document{}, false
	}
	return value.(Document), true
}

// Ready reports whether a configuration document was obtained from the store
// or, in an outage of the store, from peers. It stays true.
func (m *Manager) Ready() bool { return m.ready.Load() }

// Traffic returns the bytes that this VM's connections to others have carried.
func (m *Manager) Traffic() Traffic { return m.transport.traffic() }

// post has the loop run an action; it never blocks.
func (m *Manager) post(action func(now time.Duration)) {
	m.mu.Lock()
	m.queue = append(m.queue, action)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Manager) takeQueue() []func(time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	queue := m.queue
	m.queue = nil
	return queue
}

// loop owns the node: it feeds inputs and carries out what the node wants.
func (m *Manager) loop(ctx context.Context) error {
	ticker := time.NewTicker(node.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case in := <-m.inbox:
			m.receive(in)
		case <-m.wake:
			for _, action := range m.takeQueue() {
				action(m.clock())
			}
		case <-ticker.C:
			m.node.Tick(m.clock())
			m.checkReady()
		}
		m.carryOut(m.node.Ready())
	}
}

func (m *Manager) receive(in received) {
	m.node.Receive(m.clock(), in.from, in.message)
	if direct := in.message.GetDirect(); direct != nil {
		m.options.Listener.MessageReceived(in.from, direct.GetKind(), direct.GetPayload())
	}
}

func (m *Manager) carryOut(ready node.Ready) {
	if ready.MembersChanged {
		members := m.node.Members()
		m.members.Store(&members)
		m.transport.setAddresses(m.node.Candidates())
		m.feed.setFleetSize(len(members))
		m.options.Listener.MembersChanged(slices.Clone(members))
	}
	for _, out := range ready.Messages {
		m.transport.send(out.To, out.Message)
	}
	for _, changed := range ready.Changed {
		m.documents.Store(changed.Key, changed)
		if changed.Key == kvstore.ConfigKey && m.configAt == 0 {
			m.configAt = max(1, m.clock())
		}
		m.options.Listener.DocumentChanged(changed)
	}
	for _, happened := range ready.Events {
		m.options.OnEvent(happened)
	}
	if ready.WatchStore != m.watching {
		m.watching = ready.WatchStore
		m.feed.setWatching(ready.WatchStore)
		m.reportWatching()
	}
	if len(ready.Changed) > 0 {
		m.checkReady()
	}
}

func (m *Manager) reportWatching() {
	number, cause := event.StoreWatchStopped, "another relay of this region"
	if m.watching {
		number, cause = event.StoreWatchStarted, "first relay of this region"
	}
	m.options.OnEvent(event.New(number, cause, "vm", m.options.Self.Name))
}

// checkReady decides whether the known configuration may be the newest: the
// store said so, or enough other VMs have the same documents.
func (m *Manager) checkReady() {
	if m.wasReady || m.configAt == 0 {
		return
	}
	others := 0
	for _, member := range m.Members() {
		if member.Alive && member.Name != m.options.Self.Name {
			others++
		}
	}
	agreed := others > 0 && m.node.SyncedPeers() >= min(agreeingPeers, others)
	waited := m.clock()-m.configAt >= agreeLimit
	if !m.storeRead && !agreed && !waited {
		return
	}
	m.wasReady = true
	m.ready.Store(true)
	if !m.storeRead {
		m.options.OnEvent(event.New(event.ReadyWithoutStore, "configuration obtained from other VMs", "vm", m.options.Self.Name))
	}
}

// storeListed takes the listing of one prefix.
func (m *Manager) storeListed(prefix string, documents []Document, again bool) {
	m.post(func(now time.Duration) {
		for _, listed := range documents {
			known, _ := m.node.Document(listed.Key)
			if again && known.Version < listed.Version {
				m.options.OnEvent(event.New(event.StoreWatchMissed, "listing is newer", "key", listed.Key))
			}
		}
		m.node.StepSpread(now, spread.FromStore{Documents: documents})
		m.storeRead = m.storeRead || prefix == kvstore.ConfigKey
	})
}

// storeChanged takes what a watch returned.
func (m *Manager) storeChanged(documents []Document) {
	m.post(func(now time.Duration) { m.node.StepSpread(now, spread.FromStore{Documents: documents}) })
}

// vmsListed takes the platform's list.
func (m *Manager) vmsListed(vms []kvstore.VM) {
	m.post(func(now time.Duration) { m.node.StepMembership(now, membership.Listed{VMs: vms}) })
}

// vmsUnknown tries the seeds while the platform's list can't be read.
func (m *Manager) vmsUnknown() {
	m.post(func(now time.Duration) {
		if m.seedsGiven || len(m.options.Seeds) == 0 {
			return
		}
		m.seedsGiven = true
		seeds := make([]kvstore.VM, 0, len(m.options.Seeds))
		for _, address := range m.options.Seeds {
			if address != m.options.Self.Peer {
				seeds = append(seeds, kvstore.VM{Name: membership.SeedPrefix + address, Peer: address})
			}
		}
		m.node.StepMembership(now, membership.Listed{VMs: seeds})
	})
}

// storeFailing takes whether the calls to the store fail.
func (m *Manager) storeFailing(failing bool) {
	m.post(func(now time.Duration) {
		m.node.StepMembership(now, membership.StoreFailing{Failing: failing})
		number, cause := event.StoreCallsWorking, "a call succeeded"
		if failing {
			number, cause = event.StoreCallsFailing, "no call succeeded"
		}
		m.options.OnEvent(event.New(number, cause, "vm", m.options.Self.Name))
	})
}
