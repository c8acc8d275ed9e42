package run

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
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
	// predecessorLife is how long a leader renews grants without the store.
	predecessorLife = 12 * time.Second
	// reportWindow is the time in which more than half of the daemons must have
	// reported to a leader that the store does not answer: only then no later
	// leader can have most of them.
	reportWindow = 1500 * time.Millisecond
	// contactLife is how long after the last word of the store a leader still
	// changes owners.
	contactLife = leader.TimeToLive
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
	book     *logbook.Book
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
	recordAt      time.Duration   // The record is not sent to those that lack it before.
	asking        map[string]bool // Incarnations of earlier leaders that are being asked.
	leaderNow     peer.Follow
	fleetBefore   []string                 // peersKnown when leading began.
	peersKnown    []string                 // Addresses of all daemons, as the leader said.
	record        []byte                   // The operators' record of the configuration.
	recordVersion kvstore.Version          // Of record.
	packed        *peer.Record             // The same, packed; nil until it is needed.
	lacking       map[string]bool          // VMs that are to be sent the record, while this one leads.
	recordSent    map[string]time.Duration // When each VM was sent the record.
	watchers      map[string]bool          // VMs that are to follow the store, while this one leads.
	mayWatch      bool                     // The leader wants this VM to follow the store.
	latenciesAt   time.Duration            // Servers' times are not reported before.
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
		settings:   o.Settings,
		store:      o.Store,
		records:    o.Records,
		grantor:    o.Grantor,
		book:       parts.book,
		budget:     parts.budget,
		views:      parts.views,
		clock:      parts.clock,
		peers:      peer.NewClient(),
		self:       self,
		inputs:     make(chan input, inputQueue),
		ctx:        ctx,
		pages:      make(map[string]*seenPage),
		machines:   make(map[string]*keys.Machine),
		asking:     make(map[string]bool),
		members:    make(map[string]member),
		lacking:    make(map[string]bool),
		recordSent: make(map[string]time.Duration),
		ignored:    make(map[string]kvstore.Version),
		asked:      parts.asked,
		mayWatch:   true,
		startedAt:  parts.clock(),
	}
	l.servers = newServerTable(o.Settings, o.Dialect, parts.book)
	l.configurationFeed = newFeed(o.Store, o.Records.ConfigurationKey(), l.deliver)
	l.configurationFeed.most.Store(leanBytes)
	l.leaderFeed = newFeed(o.Store, leaderKey, l.deliver)
	l.relay = newRelay()
	l.relayedAt.Store(-int64(l.relayLife()))
	l.campaign = leader.New(leader.Options{
		Store:      o.Store,
		Key:        leaderKey,
		Value:      value,
		LeaseLeast: o.Settings.Bounds.LeaseLeast,
		Clock:      parts.clock,
	})
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

// storeCall notes whether a call of the store succeeded.
func (l *loop) storeCall(what string, err error) {
	now := l.clock()
	switch {
	case err != nil && !l.storeHealth.lost:
		l.storeHealth = dependency{lost: true, lostAt: now}
		l.book.Event(event.GatewayStoreLost, err.Error(), zap.String("calls", what))
	case err == nil && l.storeHealth.lost:
		l.storeHealth.lost = false
		l.book.Event(event.GatewayStoreRegained, "", zap.String("calls", what), zap.Duration("away", now-l.storeHealth.lostAt))
	}
}

func (f followed) apply(l *loop) {
	switch {
	case kvstore.IsKind(f.err, kvstore.KindHistoryGone):
		return
	case kvstore.IsKind(f.err, kvstore.KindTooLarge):
		l.reportSoon() // The leader has it.
		return
	}
	l.storeCall("watch "+f.prefix, f.err)
	if f.err != nil {
		return
	}
	switch f.prefix {
	case leaderKey:
		l.applyLeader(f)
	case pagePrefix:
		for _, entry := range f.entries {
			l.seePage(entry)
		}
	default:
		for _, entry := range f.entries {
			if entry.Key == l.records.ConfigurationKey() && !entry.Deleted {
				l.configure(entry)
			}
		}
	}
}

// configure takes a configuration if it is newer than the one in force.
func (l *loop) configure(entry kvstore.Entry) {
	configuration, err := l.records.Configuration(entry.Value)
	if err != nil {
		l.ignore(entry, err)
	}
	if configuration == nil || l.configuration != nil && configuration.Version <= l.configuration.Version {
		return
	}
	l.configuration, l.record, l.recordVersion, l.packed = configuration, entry.Value, entry.Version, nil
	clear(l.recordSent)
	l.routes = routing.NewTable(configuration)
	l.changed = true
	l.book.Event(event.GatewayConfigured, "", zap.Uint64("configuration", configuration.Version),
		zap.Int("routes", len(configuration.Routes)), zap.Uint64("record", uint64(entry.Version)))
	if l.leading {
		l.spread(peer.Spread{Record: l.packedRecord()})
	}
}

// packedRecord returns the operators' record for the way between daemons.
func (l *loop) packedRecord() *peer.Record {
	if l.packed == nil {
		l.packed = &peer.Record{Packed: pack(l.record), Version: uint64(l.recordVersion)}
	}
	return l.packed
}

// ignore logs a record that can't be used, once for each version of it.
func (l *loop) ignore(entry kvstore.Entry, err error) {
	if l.ignored[entry.Key] == entry.Version {
		return
	}
	l.ignored[entry.Key] = entry.Version
	l.book.Event(event.RecordIgnored, err.Error(), zap.String("key", entry.Key), zap.Uint64("record", uint64(entry.Version)))
}

// applyLeader takes the leader's key.
func (l *loop) applyLeader(f followed) {
	seen := false
	for _, entry := range f.entries {
		if entry.Key == leaderKey {
			seen = true
			l.seeLeader(entry)
		}
	}
	if f.whole && !seen {
		l.campaign.Observe(nil)
	}
}

func (l *loop) seeLeader(entry kvstore.Entry) {
	if entry.Deleted {
		l.campaign.Observe(nil)
		return
	}
	var seen keys.Leader
	if err := json.Unmarshal(entry.Value, &seen); err != nil {
		l.ignore(entry, err)
	}
	l.campaign.Observe(entry.Value)
	l.follow(peer.Follow{Leader: seen, Term: uint64(entry.Version)})
}

// follow takes a leader if it is a later one than the leader known.
func (l *loop) follow(f peer.Follow) {
	if f.Term <= l.leaderNow.Term {
		return
	}
	l.leaderNow = f
	if l.leading && f.Leader != l.self {
		l.stopLeading("a later leader is known: " + f.Leader.VM)
	}
}

// seePage takes a newer page.
func (l *loop) seePage(entry kvstore.Entry) {
	service := entry.Key[len(pagePrefix):]
	if held := l.pages[service]; held != nil && held.version >= entry.Version {
		return
	}
	page, err := keys.Decode(entry.Value)
	if err != nil {
		l.ignore(entry, err)
		return
	}
	l.holdPage(service, page, entry.Version)
}

// holdPage puts a newer page in force.
func (l *loop) holdPage(service string, page *keys.Page, version kvstore.Version) {
	l.pages[service] = &seenPage{page: page, version: version}
	l.changed = true
	l.book.Event(event.KeysPageSeen, "", zap.String("service", service), zap.Uint64("page", uint64(version)),
		zap.Int("ranges", len(page.Ranges)), zap.Uint64("fence", page.Fence), zap.String("writer", page.Writer.VM))
}

// encoded returns the page as it is stored.
func (s *seenPage) encoded() ([]byte, error) {
	var err error
	if s.stored == nil {
		s.stored, err = s.page.Encode()
	}
	return s.stored, err
}

func (p polled) apply(l *loop) {
	l.storeCall("servers", p.err)
	now := l.clock()
	if p.err != nil {
		return
	}
	var listed []model.Server
	for _, entry := range p.entries {
		server, err := l.records.Server(entry)
		if err != nil {
			l.ignore(entry, err)
			continue
		}
		listed = append(listed, server)
	}
	l.takeServers(now, listed)
}

// takeServers takes the list of all servers, from the store or the leader.
func (l *loop) takeServers(now time.Duration, listed []model.Server) {
	l.changed = l.servers.update(now, listed) || l.changed
	for service, machine := range l.machines {
		machine.StepServers(now, l.servers.of(service), l.servers.uninterrupted)
	}
}

// publish makes the newest view.
func (l *loop) publish() {
	if l.configuration == nil {
		return
	}
	l.changed = false
	services := make(map[string]*view.Service, len(l.configuration.Services))
	vms := int(l.vms.Load())
	for name, declared := range l.configuration.Services {
		service := &view.Service{Service: declared, Servers: l.servers.taking(name, declared, vms)}
		if seen := l.pages[name]; declared.DividedByKey && seen != nil {
			service.Page = seen.page
			service.Owners = l.servers.owners(seen.page, name, declared, vms)
		}
		services[name] = service
	}
	l.views.Publish(&view.View{Configuration: l.configuration, Routes: l.routes, Services: services})
	if !l.stopping && !l.ready.Load() && l.servers.known {
		l.ready.Store(true)
		l.book.Event(event.GatewayReady, "", zap.Uint64("configuration", l.configuration.Version), zap.Int("servers", len(l.servers.rows)))
	}
}
