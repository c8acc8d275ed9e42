package run

import (
	"context"
	"crypto/rand"
	"encoding/json"
	mathrand "math/rand/v2"
	"sync/atomic"
	"time"

	"guavacrank.example/gateway/budget"
	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/leader"
	"guavacrank.example/gateway/logbook"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/gateway/port"
	"guavacrank.example/gateway/routing"
	"guavacrank.example/gateway/view"
	"guavacrank.example/kvstore"
)

// Keys of the store that the gateway writes.
const (
	ownPrefix  = "guavacrank/"
	leaderKey  = ownPrefix + "leader"
	pagePrefix = ownPrefix + "keys/"
)

const (
	// hold is how long a grant of keys holds.
	grantTTL = 2500 * time.Millisecond
	// maxGrantTTL is the same with many ranges.
	maxGrantTTL = 7500 * time.Millisecond
	// predecessorTimeout is how long a leader renews grants without the store.
	predecessorTimeout = 12 * time.Second
	// majorityWindow is the time in which more than half of the daemons must have
	// reported to a leader that the store does not answer: only then no later
	// leader can have most of them.
	majorityWindow = 1500 * time.Millisecond
	// contactTimeout is how long after the last word of the store a leader still
	// changes owners.
	contactTimeout = leader.LeaseTTL
	// activeMemberTimeout is how long a daemon counts after its last report; for the
	// question who has most of them it counts for memberTimeout.
	activeMemberTimeout = 3 * time.Second
	memberTimeout       = 15 * time.Second
	// leadInterval is the least time between two runs of the systems that lead, so
	// that a leader's work does not grow with the inputs of the fleet.
	leadInterval = 20 * time.Millisecond
	// inputQueueSize is the number of inputs that wait for the loop.
	inputQueueSize = 256
)

// loop owns what the process believes. Only its own goroutine uses its fields,
// but for those that are marked.
type loop struct {
	settings *model.Settings
	store    port.Store
	records  port.Records
	grantor  port.Grantor
	log      *logbook.Logger
	budget   *budget.Budget
	views    *view.Publisher
	campaign *leader.Campaign
	peers    *peer.Client
	clock    func() time.Duration
	self     keys.Leader
	inputs   chan input // For all goroutines.
	ctx      context.Context

	configuration     *model.Configuration
	routes            *routing.Table
	servers           *serverTable
	pages             map[string]*versionedPage
	machines          map[string]*keys.Machine
	leading           bool
	term              kvstore.Version
	leadingSince      time.Duration
	nextLead          time.Duration // The systems that lead do not run before.
	startedAt         time.Duration
	leaderWait        time.Duration   // Constant: see minLeaderWait.
	storeIsNear       bool            // The store answers as one in this region does.
	leaderWaitEnded   bool            // leaderWaitDone is closed.
	leaderWaitDone    chan struct{}   // Ends the wait for a leader before reading the store; for all goroutines.
	yieldPending      map[string]bool // Incarnations of earlier leaders that are being asked.
	knownLeader       peer.Leadership
	peersAtElection   []string                  // knownPeers when leading began.
	knownPeers        []string                  // Addresses of all daemons, as the leader said.
	record            []byte                    // The operators' record of the configuration.
	recordVersion     kvstore.Version           // Of record.
	compressed        *peer.ConfigurationRecord // The same, packed; nil until it is needed.
	recordBatch       recipientBatch            // VMs without the record, while this one leads.
	serverListBatch   recipientBatch            // The same for the list of servers.
	pageBatch         recipientBatch            // The same for every page.
	storeFollowers    map[string]bool           // VMs that are to follow the store, while this one leads.
	followsStore      bool                      // The leader wants this VM to follow the store.
	nextLatencyReport time.Duration             // Servers' times are not reported before.
	reportPending     bool
	members           map[string]member
	requestedKeys     *requestedKeys
	storeHealth       dependency
	ignoredVersions   map[string]kvstore.Version
	viewOutdated      bool
	nextReport        time.Duration
	stopping          bool
	nextSeed          int

	configurationWatcher *storeWatcher
	leaderWatcher        *storeWatcher
	relay                relay

	leadingNow atomic.Bool // For all goroutines.
	// serversRelayedAt is when the leader's list of servers was last taken, on the
	// clock; for all goroutines.
	serversRelayedAt atomic.Int64
	leaderResponded  atomic.Bool // A leader has answered; for all goroutines.
	ready            atomic.Bool // For all goroutines.
	vms              atomic.Int64
}

// versionedPage is the newest page of a service with its version.
type versionedPage struct {
	page    *keys.Page
	stored  []byte // As it is stored; nil until it is needed.
	version kvstore.Version
}

// member is a daemon that reports to this one while it leads.
type member struct {
	address    string
	reportedAt time.Duration
	zone       string
	capacity   float64
}

// dependency tells whether calls to something succeed.
type dependency struct {
	lost   bool
	lostAt time.Duration
}

func newLoop(ctx context.Context, o Options, shared sharedState) *loop {
	self := keys.Leader{VM: o.Settings.VM, Incarnation: rand.Text(), Address: o.Settings.Listen.Peers}
	value, err := json.Marshal(self)
	if err != nil {
		panic("run: " + err.Error()) // Three texts always encode.
	}
	l := &loop{
		settings:     o.Settings,
		store:        o.Store,
		records:      o.Records,
		grantor:      o.Grantor,
		log:          shared.log,
		budget:       shared.budget,
		views:        shared.views,
		clock:        shared.clock,
		peers:        peer.NewClient(),
		self:         self,
		inputs:       make(chan input, inputQueueSize),
		ctx:          ctx,
		pages:        make(map[string]*versionedPage),
		machines:     make(map[string]*keys.Machine),
		yieldPending: make(map[string]bool),
		members:      make(map[string]member),

		recordBatch:     newRecipientBatch(),
		serverListBatch: newRecipientBatch(),
		pageBatch:       newRecipientBatch(),
		ignoredVersions: make(map[string]kvstore.Version),
		requestedKeys:   shared.requestedKeys,
		followsStore:    true,
		startedAt:       shared.clock(),

		leaderWait:     minLeaderWait + mathrand.N(leaderWaitJitter),
		leaderWaitDone: make(chan struct{}),
	}
	l.servers = newServerTable(o.Settings, o.Dialect, shared.log)
	l.configurationWatcher = newStoreWatcher(o.Store, o.Records.ConfigurationKey(), l.deliver)
	l.leaderWatcher = newStoreWatcher(o.Store, leaderKey, l.deliver)
	l.relay = newRelay()
	l.serversRelayedAt.Store(-int64(l.relayedListTTL()))
	l.campaign = leader.New(leader.Options{
		Store:       o.Store,
		Key:         leaderKey,
		Value:       value,
		MinLeaseTTL: o.Settings.Bounds.MinLeaseTTL,
		Clock:       shared.clock,
	})
	l.campaign.SetLowPriority(hasLowCapacity(o.Settings.Capacity(), 0))
	return l
}

// deliver brings an input to the loop. It waits while the queue is full.
func (l *loop) deliver(in input) {
	select {
	case l.inputs <- in:
	case <-l.ctx.Done():
	}
}

// run applies inputs until its context ends.
func (l *loop) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	leadTimer := time.NewTimer(leadInterval) // The next run of the systems that lead.
	defer leadTimer.Stop()
	leadTimerArmed := true
	for {
		select {
		case <-l.ctx.Done():
			return
		case in := <-l.inputs:
			in.apply(l)
		case <-ticker.C:
			tick{}.apply(l)
		case <-leadTimer.C:
			leadTimerArmed = false
		}
		now := l.clock()
		switch {
		case now >= l.nextLead:
			l.nextLead = now + leadInterval
			l.lead()
		case l.leading && !leadTimerArmed:
			leadTimerArmed = true
			leadTimer.Reset(l.nextLead - now)
		}
		if l.viewOutdated {
			l.publish()
		}
	}
}
