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
	"guavacrank.example/gateway/limit"
	"guavacrank.example/gateway/logbook"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/gateway/port"
	"guavacrank.example/gateway/routing"
	"guavacrank.example/gateway/serverlist"
	"guavacrank.example/gateway/succession"
	"guavacrank.example/gateway/view"
	"guavacrank.example/kvstore"
)

// Keys of the gateway's own entries in the store.
const (
	ownPrefix  = "guavacrank/"
	leaderKey  = ownPrefix + "leader"
	pagePrefix = ownPrefix + "keys/"
	fleetKey   = ownPrefix + "fleet"
)

const (
	// grantTTL is the TTL of a grant of keys.
	grantTTL = 2500 * time.Millisecond
	// maxGrantTTL is the TTL of grants of a page with many ranges.
	maxGrantTTL = 7500 * time.Millisecond
	// predecessorTimeout is how long a leader without contact to the store renews
	// grants before it steps down.
	predecessorTimeout = 12 * time.Second
	// contactTimeout is how long after the last contact to the store a leader may
	// still reassign keys.
	contactTimeout = leader.LeaseTTL
	// activeMemberTimeout is how long after its last report a daemon counts as
	// active.
	activeMemberTimeout = 3 * time.Second
	// Those of decisions on majorities.
	majorityWindow = succession.MajorityWindow
	memberTimeout  = succession.MemberTimeout
	// inputQueueSize is the capacity of the loop's input queue.
	inputQueueSize = 256
)

// loop is the control loop, which owns the state of the process. Fields may only
// be used by its own goroutine unless marked as safe for all goroutines.
type loop struct {
	settings     *model.Settings
	store        port.Store
	records      port.Records
	grantor      port.Grantor
	log          *logbook.Logger
	budget       *budget.Budget
	views        *view.Publisher
	campaign     *leader.Campaign
	peers        *peer.Client
	confirmation *view.Confirmation   // Tells request handling about confirmedAt.
	clock        func() time.Duration // Includes time suspended; safe for all goroutines.
	self         keys.Leader
	inputs       chan input // Safe for all goroutines.
	ctx          context.Context

	configuration     *model.Configuration
	origin            view.Origin   // Of the configuration.
	confirmedAt       time.Duration // When the configuration was last known to be the newest one.
	stored            storedConfiguration
	routes            *routing.Table
	servers           *serverTable
	pages             map[string]*versionedPage
	machines          map[string]*keys.Machine
	leading           bool
	term              kvstore.Position
	era               kvstore.Era // The store's newest known era.
	leadingSince      time.Duration
	leaseEnd          time.Duration // Until when the own lease on the leader's key is known to be valid.
	leaseTTL          time.Duration // That of the own lease.
	lastContact       time.Duration // On the leader: the last contact to the store in its term.
	eraKnownSince     time.Duration // When era became known.
	leadSchedule      leadSchedule  // When the leader's work runs next.
	startedAt         time.Duration
	leaderWait        time.Duration   // Time to wait for a leader at startup; constant.
	storeIsNear       bool            // The store's latency is that of the own region.
	leaderWaitEnded   bool            // Whether leaderWaitDone is closed.
	leaderWaitDone    chan struct{}   // Closed to allow reading the store; safe for all goroutines.
	yieldPending      map[string]bool // Incarnations of earlier leaders with a pending Yield call.
	knownLeader       peer.Leadership
	formerLeader      peer.Leadership           // The last known one of an earlier era than knownLeader.
	formerMemberCount int                       // The number of knownPeers according to formerLeader.
	largestFleet      int                       // The largest number of knownPeers so far.
	leadersImpaired   []string                  // The zones that the last leader to respond found impaired.
	witnessed         kvstore.Position          // See witness.
	followedAnother   bool                      // This process has followed a leader before knownLeader.
	consultation      *consultation             // Since the own election; nil before.
	sawRestoration    bool                      // The store was restored while this process ran.
	knewPagesAtEnd    bool                      // knewNewestPages at the end of the own last term.
	peersAtElection   []string                  // knownPeers at the start of the own leadership.
	knownPeers        []string                  // Addresses of all daemons according to the leader.
	fleet             succession.Fleet          // On the leader: which daemons count in majorities.
	record            []byte                    // The operators' configuration record.
	recordPosition    kvstore.Position          // Where record was read in the store.
	compressed        *peer.ConfigurationRecord // record in compressed form, created on demand.
	recordBatch       recipientBatch            // On the leader: VMs that lack the record.
	serverListBatch   recipientBatch            // On the leader: VMs that lack the server list.
	pageBatch         recipientBatch            // On the leader: VMs that lack the ownership pages.
	storeFollowers    map[string]bool           // On the leader: VMs that are told to watch the store.
	plan              distributionPlan          // On the leader: the assignment of VMs to store followers.
	followsStore      bool                      // Whether the leader tells this VM to watch the store.
	distribution      peer.Distribution         // This VM's assignment to store followers.
	nextFollower      int                       // Index of the store follower to ask next.
	followerFailures  int                       // Consecutive calls to store followers without a response.
	askPending        bool                      // Whether a call to a store follower is pending.
	questions         int                       // Number of calls to store followers so far.
	othersToAsk       []string                  // Other daemons to ask in this round.
	othersPending     int                       // Number of pending calls to other daemons.
	fetching          bool                      // Whether one of them is for the configuration.
	allocator         *limit.Allocator          // On the leader: shares of limited servers.
	list              *serverlist.List          // The server list as exchanged with peers.
	packed            *packedList               // list in compressed form, created on demand.
	listedAt          time.Duration             // When list was read from the store.
	listSettled       bool                      // Whether servers that list lacks have left.
	refresh           listRefresh               // The attempts to get a newer list.
	announced         announcements             // On the leader: what it has sent of list.
	learning          learning                  // The capacity of servers.
	nextLatencyReport time.Duration             // Earliest next report of servers' response times.
	reportPending     bool
	newerPending      bool            // Whether a call for a newer configuration is pending.
	rewrittenAfter    kvstore.Version // On the first list of servers in an era: the store's version.
	rewrittenEra      kvstore.Era     // The era of rewrittenAfter.
	reportSentAt      time.Duration   // When the newest report was sent.
	answered          leaderAnswer    // The known leader's last response.
	members           map[string]member
	requestedKeys     *requestedKeys
	storeHealth       dependency
	ignoredVersions   map[string]kvstore.Version
	ignoredServers    map[string]string // By key: why entries of the newest list name no server.
	viewOutdated      bool              // The published view is out of date.
	nextReport        time.Duration
	stopping          bool
	nextSeed          int
	gaveUpAt          time.Duration // When this VM gave up the leadership for isolation; zero if never.
	isolationRuledOut bool          // On the leader: other VMs do not reach most servers either.

	configurationWatcher *storeWatcher
	leaderWatcher        *storeWatcher
	reporting            reporting

	// The following fields are safe for all goroutines.

	leadingNow atomic.Bool // Equals leading.
	// serversRelayedAt is the time, by clock, of the server list last received
	// from a leader.
	serversRelayedAt atomic.Int64
	leaderResponded  atomic.Bool   // A leader has responded to a report.
	listReading      atomic.Int32  // A listReading.
	listSize         atomic.Int64  // Number of servers in the newest list.
	versionInForce   atomic.Uint64 // Equals configuration.Version; zero without one.
	ready            atomic.Bool   // The readiness check passes.
	vms              atomic.Int64  // Number of active daemons; zero if unknown.
}

// versionedPage is an ownership page in force.
type versionedPage struct {
	page   *keys.Page
	stored []byte        // The encoded page, created on demand.
	since  time.Duration // When it came into force here.
	// handoverSince is that of view.Service.
	handoverSince map[uint64]time.Duration
	lostGrants    keys.LostGrantsBound
	priorGrants   keys.PriorGrantBounds
}

// dependency is the availability of an external service.
type dependency struct {
	lost   bool
	lostAt time.Duration
}

func newLoop(ctx context.Context, o Options, shared sharedState) *loop {
	self := keys.Leader{VM: o.Settings.VM, Incarnation: rand.Text(), Address: o.Settings.Listen.Peers}
	l := &loop{
		settings:     o.Settings,
		store:        o.Store,
		records:      o.Records,
		grantor:      o.Grantor,
		log:          shared.log,
		budget:       shared.budget,
		views:        shared.views,
		confirmation: shared.confirmation,
		clock:        shared.clock,
		peers:        o.Network.peers(),
		self:         self,
		inputs:       make(chan input, inputQueueSize),
		ctx:          ctx,
		pages:        make(map[string]*versionedPage),
		machines:     make(map[string]*keys.Machine),
		yieldPending: make(map[string]bool),
		allocator:    limit.NewAllocator(),
		members:      make(map[string]member),
		list:         serverlist.New(),

		recordBatch:     newRecipientBatch(),
		serverListBatch: newRecipientBatch(),
		pageBatch:       newRecipientBatch(),
		ignoredVersions: make(map[string]kvstore.Version),
		requestedKeys:   shared.requestedKeys,
		followsStore:    true,
		startedAt:       shared.clock(),
		reporting:       reporting{leaderRelistedAt: shared.clock()}, // The start lists it.

		leaderWait:     minLeaderWait + mathrand.N(leaderWaitJitter),
		leaderWaitDone: make(chan struct{}),
	}
	l.servers = newServerTable(o.Settings, o.HeaderCodec, shared.log)
	l.servers.memory, l.servers.dial = shared.memory, o.Network.Dial
	l.configurationWatcher = newStoreWatcher(o.Store, o.Records.ConfigurationKey(), l.deliver, l.clock)
	l.leaderWatcher = newStoreWatcher(o.Store, leaderKey, l.deliver, l.clock)
	l.serversRelayedAt.Store(-int64(l.directReadAge()))
	l.campaign = leader.New(leader.Options{
		Store:       o.Store,
		Key:         leaderKey,
		Value:       func(era kvstore.Era) []byte { return encodeLeader(self, era) },
		EraOf:       recordEra,
		MinLeaseTTL: o.Settings.Bounds.MinLeaseTTL,
		Clock:       shared.clock,
	})
	l.campaign.SetPriority(l.priority(0))
	return l
}

// encodeLeader returns the value of the leader's key.
func encodeLeader(leader keys.Leader, era kvstore.Era) []byte {
	value, err := json.Marshal(leaderRecord{leader, era})
	if err != nil {
		panic("run: " + err.Error()) // A struct of strings and a number can always be encoded.
	}
	return value
}

// deliver queues an input for the loop. It blocks while the queue is full.
func (l *loop) deliver(in input) {
	select {
	case l.inputs <- in:
	case <-l.ctx.Done():
	}
}

// run processes inputs until the loop's context is canceled.
func (l *loop) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	leadTimer := time.NewTimer(leadInterval) // Fires for the next run of lead.
	defer leadTimer.Stop()
	leadTimerArmed := true
	pace := newPace(l.clock)
	for {
		select {
		case <-l.ctx.Done():
			return
		case in := <-l.inputs:
			pace.end("waiting")
			in.apply(l)
			pace.end(activityOf(in))
		case <-ticker.C:
			pace.end("waiting")
			l.notePace(pace)
			tick{}.apply(l)
			pace.end("tick")
		case <-leadTimer.C:
			pace.end("waiting")
			leadTimerArmed = false
		}
		now := l.clock()
		switch {
		case l.leadSchedule.due(now, len(l.inputs)):
			l.lead()
			l.leadSchedule.ran(now, l.clock())
			pace.end("lead")
		case l.leading && !leadTimerArmed:
			leadTimerArmed = true
			leadTimer.Reset(l.leadSchedule.wait(now, len(l.inputs)))
		}
		if l.viewOutdated {
			l.publish()
			pace.end("publish")
		}
		l.confirmation.Confirm(l.confirmedAt) // After the view that it is about.
	}
}
