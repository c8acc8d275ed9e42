package run

import (
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/gateway/routing"
	"guavacrank.example/gateway/view"
	"guavacrank.example/kvstore"
)

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
	if kvstore.IsKind(f.err, kvstore.KindHistoryGone) {
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
	clear(l.lackRecord.sent)
	l.routes = routing.NewTable(configuration)
	l.changed = true
	l.book.Event(event.GatewayConfigured, "", zap.Uint64("configuration", configuration.Version),
		zap.Int("routes", len(configuration.Routes)), zap.Uint64("record", uint64(entry.Version)))
	if l.leading {
		l.spread(peer.SpreadRequest{Record: l.packedRecord()})
	}
}

// packedRecord returns the operators' record for the way between daemons.
func (l *loop) packedRecord() *peer.ConfigurationRecord {
	if l.packed == nil {
		l.packed = &peer.ConfigurationRecord{Compressed: pack(l.record), Version: uint64(l.recordVersion)}
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
	l.nearStore = l.nearStore || f.whole && f.took < nearTime
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
	l.askWhileStarting()
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
	l.follow(peer.Leadership{Leader: seen, Term: uint64(entry.Version)})
}

// follow takes a leader if it is a later one than the leader known.
func (l *loop) follow(f peer.Leadership) {
	if f.Term <= l.leaderNow.Term {
		return
	}
	l.leaderNow, l.relay.failures = f, 0
	l.reportSoon()
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

// publish makes the newest view, once the configuration and the servers are
// known.
func (l *loop) publish() {
	if l.configuration == nil || !l.servers.known {
		return
	}
	l.changed = false
	services := make(map[string]*view.Service, len(l.configuration.Services))
	vms := int(l.vms.Load())
	for name, declared := range l.configuration.Services {
		service := &view.Service{Service: declared, Servers: l.servers.taking(name, declared, vms)}
		if seen := l.pages[name]; declared.Partitioned && seen != nil {
			service.Page = seen.page
			service.Owners = l.servers.owners(seen.page, name, declared, vms)
		}
		services[name] = service
	}
	l.views.Publish(&view.View{Configuration: l.configuration, Routes: l.routes, Services: services})
	if l.starting() {
		l.ready.Store(true)
		l.book.Event(event.GatewayReady, "", zap.Uint64("configuration", l.configuration.Version), zap.Int("servers", len(l.servers.rows)))
	}
}
