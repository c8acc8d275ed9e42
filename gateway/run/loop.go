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
	hold = 2500 * time.Millisecond
	// mostHold is the same with many ranges.
	mostHold = 7500 * time.Millisecond
	// predecessorLife is how long a leader renews grants without the store.
	predecessorLife = 12 * time.Second
	// reportWindow is the time in which more than half of the daemons must have
	// reported to a leader that the store does not answer: only then no later
	// leader can have most of them.
	reportWindow = 1500 * time.Millisecond
	// contactLife is how long after the last word of the store a leader still
	// changes owners.
	contactLife = leader.LeaseTTL
	// membersLife is how long a daemon counts after its last report; for the
	// question who has most of them it counts for fleetLife.
	membersLife = 3 * time.Second
	fleetLife   = 15 * time.Second
	// leadEvery is the least time between two runs of the systems that lead, so
	// that a leader's work does not grow with the inputs of the fleet.
	leadEvery = 20 * time.Millisecond
	// inputQueue is the number of inputs that wait for the loop.
	inputQueue = 256
)

// loop owns what the process believes. Only its own goroutine uses its fields,
// but for those that are marked.
type loop struct {
	settings *model.Settings
	store    port.Store
	records  port.Records
	grantor  port.Grantor
	book     *logbook.Logger
	budget   *budget.Budget
	views    *view.Publisher
	campaign *leader.Campaign
	peers    *peer.Client
	clock    func() time.Duration
	self     keys.Leader
	inputs   chan input // For all goroutines.
	ctx      context.Context

	configuration *model.Configuration
	routes        *routing.Table
	servers       *serverTable
	pages         map[string]*seenPage
	machines      map[string]*keys.Machine
	leading       bool
	term          kvstore.Version
	ledAt         time.Duration
	leadAt        time.Duration // The systems that lead do not run before.
	startedAt     time.Duration
	startPatience time.Duration   // Constant: see leastPatience.
	nearStore     bool            // The store answers as one in this region does.
	startOver     bool            // startWait is closed.
	startWait     chan struct{}   // Ends the wait for a leader before reading the store; for all goroutines.
	asking        map[string]bool // Incarnations of earlier leaders that are being asked.
	leaderNow     peer.Leadership
	fleetBefore   []string                  // peersKnown when leading began.
	peersKnown    []string                  // Addresses of all daemons, as the leader said.
	record        []byte                    // The operators' record of the configuration.
	recordVersion kvstore.Version           // Of record.
	packed        *peer.ConfigurationRecord // The same, packed; nil until it is needed.
	lackRecord    gathering                 // VMs without the record, while this one leads.
	lackServers   gathering                 // The same for the list of servers.
	lackPages     gathering                 // The same for every page.
	watchers      map[string]bool           // VMs that are to follow the store, while this one leads.
	mayWatch      bool                      // The leader wants this VM to follow the store.
	latenciesAt   time.Duration             // Servers' times are not reported before.
	reporting     bool
	members       map[string]member
	asked         *askedKeys
	storeHealth   dependency
	ignored       map[string]kvstore.Version
	changed       bool
	reportAt      time.Duration
	stopping      bool
	seedNext      int

	configurationFeed *feed
	leaderFeed        *feed
	relay             relay

	leadingNow atomic.Bool // For all goroutines.
	// relayedAt is when the leader's list of servers was last taken, on the
	// clock; for all goroutines.
	relayedAt atomic.Int64
	relayed   atomic.Bool // A leader has answered; for all goroutines.
	ready     atomic.Bool // For all goroutines.
	vms       atomic.Int64
}

// seenPage is the newest page of a service with its version.
type seenPage struct {
	page    *keys.Page
	stored  []byte // As it is stored; nil until it is needed.
	version kvstore.Version
}

// member is a daemon that reports to this one while it leads.
type member struct {
	address  string
	at       time.Duration
	zone     string
	strength float64
}

// dependency tells whether calls to something succeed.
type dependency struct {
	lost   bool
	lostAt time.Duration
}

func newLoop(ctx context.Context, o Options, parts parts) *loop {
	self := keys.Leader{VM: o.Settings.VM, Incarnation: rand.Text(), Address: o.Settings.Listen.Peers}
	value, err := json.Marshal(self)
	if err != nil {
		panic("run: " + err.Error()) // Three texts always encode.
	}
	l := &loop{
		settings: o.Settings,
		store:    o.Store,
		records:  o.Records,
		grantor:  o.Grantor,
		book:     parts.book,
		budget:   parts.budget,
		views:    parts.views,
		clock:    parts.clock,
		peers:    peer.NewClient(),
		self:     self,
		inputs:   make(chan input, inputQueue),
		ctx:      ctx,
		pages:    make(map[string]*seenPage),
		machines: make(map[string]*keys.Machine),
		asking:   make(map[string]bool),
		members:  make(map[string]member),

		lackRecord:  newGathering(),
		lackServers: newGathering(),
		lackPages:   newGathering(),
		ignored:     make(map[string]kvstore.Version),
		asked:       parts.asked,
		mayWatch:    true,
		startedAt:   parts.clock(),

		startPatience: leastPatience + mathrand.N(patienceSpread),
		startWait:     make(chan struct{}),
	}
	l.servers = newServerTable(o.Settings, o.Dialect, parts.book)
	l.configurationFeed = newFeed(o.Store, o.Records.ConfigurationKey(), l.deliver)
	l.leaderFeed = newFeed(o.Store, leaderKey, l.deliver)
	l.relay = newRelay()
	l.relayedAt.Store(-int64(l.relayLife()))
	l.campaign = leader.New(leader.Options{
		Store:       o.Store,
		Key:         leaderKey,
		Value:       value,
		MinLeaseTTL: o.Settings.Bounds.MinLeaseTTL,
		Clock:       parts.clock,
	})
	l.campaign.SetLowPriority(weak(o.Settings.Capacity(), 0))
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
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	soon := time.NewTimer(leadEvery) // The next run of the systems that lead.
	defer soon.Stop()
	armed := true
	for {
		select {
		case <-l.ctx.Done():
			return
		case in := <-l.inputs:
			in.apply(l)
		case <-ticker.C:
			ticked{}.apply(l)
		case <-soon.C:
			armed = false
		}
		now := l.clock()
		switch {
		case now >= l.leadAt:
			l.leadAt = now + leadEvery
			l.lead()
		case l.leading && !armed:
			armed = true
			soon.Reset(l.leadAt - now)
		}
		if l.changed {
			l.publish()
		}
	}
}
