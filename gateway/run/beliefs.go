package run

import (
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/balance"
	"guavacrank.example/gateway/homes"
	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/leader"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/gateway/routing"
	"guavacrank.example/gateway/view"
	"guavacrank.example/kvstore"
)

const (
	// handoverMargin is added to the TTL of grants: a slow clock, a call that is
	// applied late, the write of the page and the new grant.
	handoverMargin = time.Second
	// waitingRuns is the number of requests for each slot of a server that may wait
	// for it on all VMs together.
	waitingRuns = 8
)

// trackStoreCall updates the store's availability after a call.
func (l *loop) trackStoreCall(operation string, err error) {
	now := l.clock()
	switch {
	case err != nil && !l.storeHealth.lost:
		l.storeHealth = dependency{lost: true, lostAt: now}
		l.log.Event(event.GatewayStoreLost, err.Error(), zap.String("calls", operation))
	case err == nil && l.storeHealth.lost:
		l.storeHealth.lost = false
		l.log.Event(event.GatewayStoreRegained, "", zap.String("calls", operation), zap.Duration("away", now-l.storeHealth.lostAt))
	}
}

func (r watchResult) apply(l *loop) {
	l.enterEra(r.era)
	if kvstore.IsKind(r.err, kvstore.KindHistoryGone) {
		return
	}
	l.trackStoreCall("watch "+r.prefix, r.err)
	if r.err != nil || r.era < l.era {
		return
	}
	switch r.prefix {
	case leaderKey:
		l.applyLeaderKey(r)
	case pagePrefix:
		for _, entry := range r.entries {
			l.applyPage(entry.Key[len(pagePrefix):], entry.Value)
		}
	default:
		for _, entry := range r.entries {
			if entry.Key == l.records.ConfigurationKey() && !entry.Deleted {
				l.applyConfiguration(entry, sourceStore)
			}
		}
		if l.storeConfirms() {
			l.confirmByStore(r.asOf)
		}
	}
}

// The sources of a configuration, as named in the log.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// applyConfiguration puts a configuration in force if it is newer than the
// current one.
func (l *loop) applyConfiguration(entry kvstore.Entry, source string) {
	configuration, err := l.records.Configuration(entry.Value)
	if err != nil {
		l.ignoreRecord(entry, err)
	}
	l.noteStored(entry, configuration)
	if configuration == nil || l.configuration != nil && configuration.Version <= l.configuration.Version {
		return
	}
	for _, err := range homes.LeaveOut(configuration, l.settings.Regions) {
		l.log.Event(event.RouteLeftOut, err.Error(), zap.Uint64("configuration", configuration.Version))
	}
	l.configuration, l.record, l.compressed = configuration, entry.Value, nil
	l.servers.services = configuration.Services
	l.recordPosition = kvstore.Position{Era: entry.Era, Version: entry.Version}
	l.versionInForce.Store(configuration.Version)
	clear(l.recordBatch.sentAt)
	l.routes = routing.NewTable(configuration)
	l.origin = view.Origin{Source: source, At: l.clock()}
	l.viewOutdated = true
	l.log.Event(event.GatewayConfigured, "", zap.Uint64("configuration", configuration.Version),
		zap.Int("routes", len(configuration.Routes)), zap.Uint64("record", uint64(entry.Version)), zap.String("source", source))
	if l.servers.known {
		l.stepServers(l.clock()) // Owners of keys may have to stand in other regions.
	}
	if l.leading {
		l.broadcast(peer.SpreadRequest{Record: l.peerRecord()})
		return
	}
	l.offerConfiguration()
}

// peerRecord returns the configuration record in the form sent to peers.
func (l *loop) peerRecord() *peer.ConfigurationRecord {
	if l.compressed == nil {
		l.compressed = &peer.ConfigurationRecord{Compressed: compress(l.record), Position: l.recordPosition}
	}
	return l.compressed
}

// ignoreRecord logs an invalid record, once for each version of it.
func (l *loop) ignoreRecord(entry kvstore.Entry, err error) {
	if l.ignoredVersions[entry.Key] == entry.Version {
		return
	}
	l.ignoredVersions[entry.Key] = entry.Version
	l.log.Event(event.RecordIgnored, err.Error(), zap.String("key", entry.Key), zap.Uint64("record", uint64(entry.Version)))
}

// leaderRecord is the value of the leader's key.
type leaderRecord struct {
	keys.Leader
	// Era is the store's era in which the leader was elected.
	Era kvstore.Era `json:"era,omitempty"`
}

// recordEra returns the era of a value of the leader's key; zero for an invalid one.
func recordEra(value []byte) kvstore.Era {
	var record leaderRecord
	if json.Unmarshal(value, &record) != nil {
		return 0
	}
	return record.Era
}

// applyLeaderKey processes a list or changes of the leader's key.
func (l *loop) applyLeaderKey(r watchResult) {
	l.storeIsNear = l.storeIsNear || r.full && r.duration < nearStoreLatency
	found := false
	for _, entry := range r.entries {
		if entry.Key == leaderKey {
			found = true
			l.applyLeaderEntry(entry)
		}
	}
	if r.full && !found {
		l.campaign.Observe(nil, kvstore.Position{Era: r.era, Version: r.version})
	}
	l.reportWhileStarting()
}

func (l *loop) applyLeaderEntry(entry kvstore.Entry) {
	at := kvstore.Position{Era: entry.Era, Version: entry.Version}
	if entry.Deleted {
		l.campaign.Observe(nil, at)
		return
	}
	if leader.IsVacant(entry.Value) {
		l.campaign.Observe(entry.Value, at)
		return
	}
	var decoded leaderRecord
	if err := json.Unmarshal(entry.Value, &decoded); err != nil {
		l.ignoreRecord(entry, err)
	}
	l.campaign.Observe(entry.Value, at)
	if decoded.Era < entry.Era {
		return // A record of a restored store: later leaders may be lost with it.
	}
	l.followLeader(peer.Leadership{Leader: decoded.Leader, Term: kvstore.Position{Era: decoded.Era, Version: entry.Version}})
}

// followLeader accepts a leader whose term is later than that of the known leader. It
// says whether this is so.
func (l *loop) followLeader(leadership peer.Leadership) bool {
	if !l.knownLeader.Term.Before(leadership.Term) {
		return false
	}
	l.enterEra(leadership.Term.Era)
	l.setKnownLeader(leadership)
	l.reporting.failures, l.reporting.unanswered = 0, 0
	l.scheduleReport()
	if l.leading && leadership.Leader != l.self {
		l.stopLeading("a leader with a later term is known: " + leadership.Leader.VM)
	}
	return true
}

// applyPage puts an ownership page in force if it is newer than the current one. It is
// given in the format of the store.
func (l *loop) applyPage(service string, value []byte) {
	page, err := keys.Decode(value)
	if err != nil {
		l.ignoreRecord(kvstore.Entry{Key: pagePrefix + service}, err)
		return
	}
	if current := l.pages[service]; current == nil || current.page.Stamp.Before(page.Stamp) {
		l.setPage(service, page)
	}
}

// setPage puts an ownership page in force.
func (l *loop) setPage(service string, page *keys.Page) {
	now := l.clock()
	l.pages[service] = &versionedPage{
		page: page, since: now, handoverSince: l.handoversSince(service, page),
		lostGrants: l.lostGrants(service).See(now, page), priorGrants: l.priorGrants(service).See(now, page),
	}
	l.viewOutdated = true
	l.log.Event(event.KeysPageSeen, "", append(pageFields(service, page.Stamp),
		zap.Int("ranges", len(page.Ranges)), zap.Uint64("fence", page.Fence), zap.String("writer", page.Writer.VM))...)
}

// lostGrants returns what this VM knows of the grants by lost pages of a service.
func (l *loop) lostGrants(service string) keys.LostGrantsBound {
	if known := l.pages[service]; known != nil {
		return known.lostGrants
	}
	return keys.LostGrantsBound{}
}

// priorGrants returns what this VM knows of the grants to prior holders of a service.
func (l *loop) priorGrants(service string) keys.PriorGrantBounds {
	if known := l.pages[service]; known != nil {
		return known.priorGrants
	}
	return keys.PriorGrantBounds{}
}

// pageFields returns the fields that identify an ownership page in the log.
func pageFields(service string, stamp keys.Stamp) []zap.Field {
	return []zap.Field{zap.String("service", service), zap.Uint64("era", uint64(stamp.Era)), zap.Uint64("page", stamp.Number)}
}

// handoversSince returns when this VM learned of each change of owner that has not
// ended in a new page, by fence.
func (l *loop) handoversSince(service string, page *keys.Page) map[uint64]time.Duration {
	var earlier map[uint64]time.Duration
	if previous := l.pages[service]; previous != nil {
		earlier = previous.handoverSince
	}
	since := make(map[uint64]time.Duration)
	for _, r := range page.Ranges {
		if len(r.Prior) == 0 {
			continue
		}
		at, known := earlier[r.Owner.Fence]
		if !known {
			at = l.clock()
		}
		since[r.Owner.Fence] = at
	}
	return since
}

// maxHandover bounds how long a change of owner takes: the prior owner's grants must
// have expired at the latest.
func (l *loop) maxHandover(page *keys.Page) time.Duration {
	ttl := max(page.MaxGrantTTL, min(grantTTL, l.settings.Bounds.MaxGrantTTL))
	return ttl + handoverMargin
}

// maxWaiting returns the number of requests that may wait on this VM for one server:
// its part of what the servers run in about waitingRuns times their work.
func maxWaiting(servers []*balance.Server, vms int) int {
	slots := 1
	for _, server := range servers {
		slots = max(slots, server.Slots)
	}
	return max(waitingRuns*slots/max(vms, 1), 1)
}

// encoded returns the page in the format of the store.
func (v *versionedPage) encoded() ([]byte, error) {
	var err error
	if v.stored == nil {
		v.stored, err = v.page.Encode()
	}
	return v.stored, err
}

// publish publishes a new view. It does nothing until the configuration and the
// servers are known.
func (l *loop) publish() {
	if l.configuration == nil || !l.servers.known {
		return
	}
	l.viewOutdated = false
	services := make(map[string]*view.Service, len(l.configuration.Services))
	vms := int(l.vms.Load())
	for name, configured := range l.configuration.Services {
		service := &view.Service{Service: configured, Servers: l.servers.available(name, configured, vms)}
		if page := l.pages[name]; configured.Partitioned && page != nil {
			service.Page = page.page
			service.Owners = l.servers.owners(page.page, name, configured, vms)
			service.HandoverSince = page.handoverSince
			service.MaxHandover = l.maxHandover(page.page)
			service.MaxWaiting = maxWaiting(service.Servers, vms)
		}
		services[name] = service
	}
	l.views.Publish(&view.View{Configuration: l.configuration, Routes: l.routes, Services: services, VMs: vms, Origin: l.origin})
	if l.starting() {
		l.ready.Store(true)
		l.log.Event(event.GatewayReady, "", zap.Uint64("configuration", l.configuration.Version), zap.Int("servers", len(l.servers.rows)))
	}
}
