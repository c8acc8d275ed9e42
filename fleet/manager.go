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
	// inboxSize is the capacity of the queue of received messages.
	inboxSize = 1024
	// minSyncedPeers is the number of VMs that must have the same documents as
	// this VM before it is ready without the store. In a smaller fleet, all
	// other live VMs must.
	minSyncedPeers = 3
	// syncTimeout is how long a VM waits for that many before it becomes ready
	// anyway.
	syncTimeout = 5 * time.Second
)

// Manager runs the fleet protocol on one VM.
type Manager struct {
	options     Options
	clock       Clock
	transport   *transport
	storeReader *storeReader
	server      *server

	// node and the fields up to seedsAdded belong to the goroutine that runs
	// loop.
	node           *node.Node
	configReceived time.Duration // When a configuration was first received; zero: not yet.
	storeRead      bool          // The store has returned the configuration, or that there is none.
	wasReady       bool
	watching       bool
	seedsAdded     bool

	inbox chan received
	mu    sync.Mutex
	queue []func(now time.Duration)
	wake  chan struct{}
	done  chan struct{}

	ready     atomic.Bool
	members   atomic.Pointer[[]Member]
	documents sync.Map // Maps keys to Documents.
}

// received is a message from another VM.
type received struct {
	from    string
	message *fleetv1.ExchangeRequest
}

// New returns a manager. It does nothing until Run is called. An error is an
// *Error.
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
	m.storeReader = newStoreReader(m, options.Store)
	m.server = newServer(m, options.Self.Name, options.Token)
	members := m.node.Members()
	m.members.Store(&members)
	return m, nil
}

// newBoot returns a random, nonzero ID of this process.
func newBoot() uint64 {
	var buffer [8]byte
	if _, err := rand.Read(buffer[:]); err != nil {
		return uint64(bootClock()) | 1
	}
	return binary.BigEndian.Uint64(buffer[:]) | 1
}

// Handler returns the path and handler to mount on the peer listener. The
// listener must accept unencrypted HTTP/2, as servers from NewServer do.
func (m *Manager) Handler() (path string, handler http.Handler) { return m.server.handler() }

// Run replicates documents and monitors members until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	defer close(m.done)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.loop(ctx) })
	group.Go(func() error { return m.storeReader.run(ctx) })
	group.Go(func() error { return m.transport.run(ctx) })
	return group.Wait()
}

// Publish pushes a document that this VM has just written to the store to all
// VMs immediately. It does not block.
func (m *Manager) Publish(document Document) {
	m.post(func(now time.Duration) { m.node.StepSpread(now, spread.Published{Document: document}) })
}

// Send sends a small direct message to one VM. Delivery is best effort. It does
// not block.
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

// Report sets the configuration revision in force on this VM.
func (m *Manager) Report(inForce InForce) {
	m.post(func(now time.Duration) { m.node.StepSpread(now, inForce) })
}

// Leave announces to the fleet that this VM is stopping.
func (m *Manager) Leave() {
	m.post(func(now time.Duration) { m.node.StepMembership(now, membership.Leave{}) })
}

// FleetStatus returns the fleet's status as known to this VM, or the zero value
// if the manager is not running. It must not be called from the Listener.
func (m *Manager) FleetStatus() Status {
	result := make(chan Status, 1)
	m.post(func(now time.Duration) { result <- m.node.Status(now) })
	select {
	case status := <-result:
		return status
	case <-m.done:
		return Status{}
	case <-time.After(time.Second):
		return Status{}
	}
}

// Members returns the current membership, sorted by name.
func (m *Manager) Members() []Member { return *m.members.Load() }

// Document returns the highest known version of a document.
func (m *Manager) Document(key string) (Document, bool) {
	value, present := m.documents.Load(key)
	if !present {
		return Document{}, false
	}
	return value.(Document), true
}

// Ready reports whether a configuration was received from the store or, during
// a store outage, from peers. Once true, it stays true.
func (m *Manager) Ready() bool { return m.ready.Load() }

// Traffic returns the counters of this VM's outgoing connections.
func (m *Manager) Traffic() Traffic { return m.transport.traffic() }

// post queues an action for the loop; it never blocks.
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

// loop owns the node: it passes inputs to it and executes its outputs.
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
		m.execute(m.node.Ready())
	}
}

func (m *Manager) receive(in received) {
	m.node.Receive(m.clock(), in.from, in.message)
	if direct := in.message.GetDirect(); direct != nil {
		m.options.Listener.MessageReceived(in.from, direct.GetKind(), direct.GetPayload())
	}
}

func (m *Manager) execute(ready node.Ready) {
	if ready.MembersChanged {
		members := m.node.Members()
		m.members.Store(&members)
		m.transport.setAddresses(m.node.Candidates())
		m.storeReader.setFleetSize(len(members))
		m.options.Listener.MembersChanged(slices.Clone(members))
	}
	for _, out := range ready.Messages {
		m.transport.send(out.To, out.Message)
	}
	for _, changed := range ready.Changed {
		m.documents.Store(changed.Key, changed)
		if changed.Key == kvstore.ConfigKey && m.configReceived == 0 {
			m.configReceived = max(1, m.clock())
		}
		m.options.Listener.DocumentChanged(changed)
	}
	for _, e := range ready.Events {
		m.options.OnEvent(e)
	}
	if ready.WatchStore != m.watching {
		m.watching = ready.WatchStore
		m.storeReader.setWatching(ready.WatchStore)
		m.reportWatching()
	}
	if len(ready.Changed) > 0 {
		m.checkReady()
	}
}

func (m *Manager) reportWatching() {
	number, cause := event.StoreWatchStopped, "another VM is the relay of this region"
	if m.watching {
		number, cause = event.StoreWatchStarted, "this VM is the relay of this region"
	}
	m.options.OnEvent(event.New(number, cause, "vm", m.options.Self.Name))
}

// checkReady makes the manager ready once a configuration is known and the
// store was read, enough other VMs have the same documents, or syncTimeout has
// passed.
func (m *Manager) checkReady() {
	if m.wasReady || m.configReceived == 0 {
		return
	}
	others := 0
	for _, member := range m.Members() {
		if member.Alive && member.Name != m.options.Self.Name {
			others++
		}
	}
	synced := others > 0 && m.node.SyncedPeers() >= min(minSyncedPeers, others)
	waited := m.clock()-m.configReceived >= syncTimeout
	if !m.storeRead && !synced && !waited {
		return
	}
	m.wasReady = true
	m.ready.Store(true)
	if !m.storeRead {
		m.options.OnEvent(event.New(event.ReadyWithoutStore, "configuration obtained from other VMs", "vm", m.options.Self.Name))
	}
}

// storeListed processes the result of listing one prefix.
func (m *Manager) storeListed(prefix string, documents []Document, relist bool) {
	m.post(func(now time.Duration) {
		for _, listed := range documents {
			known, _ := m.node.Document(listed.Key)
			if relist && known.Version < listed.Version {
				m.options.OnEvent(event.New(event.StoreWatchMissed, "list returned a newer version", "key", listed.Key))
			}
		}
		m.node.StepSpread(now, spread.FromStore{Documents: documents})
		m.storeRead = m.storeRead || prefix == kvstore.ConfigKey
	})
}

// storeChanged processes the result of a watch.
func (m *Manager) storeChanged(documents []Document) {
	m.post(func(now time.Duration) { m.node.StepSpread(now, spread.FromStore{Documents: documents}) })
}

// vmsListed processes the platform's VM list.
func (m *Manager) vmsListed(vms []kvstore.VM) {
	m.post(func(now time.Duration) { m.node.StepMembership(now, membership.Listed{VMs: vms}) })
}

// addSeeds adds the seeds as candidates when the platform's VM list can't be
// read.
func (m *Manager) addSeeds() {
	m.post(func(now time.Duration) {
		if m.seedsAdded || len(m.options.Seeds) == 0 {
			return
		}
		m.seedsAdded = true
		seeds := make([]kvstore.VM, 0, len(m.options.Seeds))
		for _, address := range m.options.Seeds {
			if address != m.options.Self.Peer {
				seeds = append(seeds, kvstore.VM{Name: membership.SeedPrefix + address, Peer: address})
			}
		}
		m.node.StepMembership(now, membership.Listed{VMs: seeds})
	})
}

// storeFailing processes a change in whether calls to the store fail.
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
