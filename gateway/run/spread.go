package run

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/kvstore"
)

const (
	// mostDirect is the number of daemons up to which the leader sends news to
	// each of them itself; beyond, one for each availability zone gets it.
	mostDirect = 16
	// fanOut is the number of daemons to which each one passes news on.
	fanOut = 4
	// mostWatchers is the number of daemons that follow the store themselves; the
	// others get its news from the leader. Each change goes whole from the store
	// to every daemon that follows it, also to other regions.
	mostWatchers = 12
	// soonSpread spreads the reports of daemons that miss something.
	soonSpread = 150 * time.Millisecond
)

// newsTaken is news of the leader.
type newsTaken struct{ news *peer.SpreadRequest }

// Spread implements peer.Service.
func (p peerService) Spread(_ context.Context, news *peer.SpreadRequest) (*peer.SpreadResponse, error) {
	p.passOn(*news, split(news.ForwardTo, fanOut))
	p.deliver(newsTaken{news})
	return &peer.SpreadResponse{}, nil
}

// passOn sends news to one daemon of each group, which passes it on to the
// others of its group.
func (l *loop) passOn(news peer.SpreadRequest, groups [][]string) {
	for _, group := range groups {
		go func() {
			for at, address := range group {
				message := news
				message.ForwardTo = group[at+1:]
				_, err := l.peers.Spread(l.ctx, address, &message)
				if err == nil {
					return
				}
				l.book.Event(event.NewsNotSent, err.Error(), zap.String("peer", address), zap.Int("onward", len(message.ForwardTo)))
			}
		}()
	}
}

// split cuts addresses into at most the given number of groups of about equal
// size.
func split(addresses []string, groups int) [][]string {
	if len(addresses) == 0 {
		return nil
	}
	size := (len(addresses) + groups - 1) / groups
	return slices.Collect(slices.Chunk(addresses, size))
}

// spread sends news to every daemon that reports to this leader. Those that
// miss it get it after a report.
func (l *loop) spread(news peer.SpreadRequest) {
	l.spreadTo(news, func(string) bool { return true })
}

// spreadTo sends news to the daemons that are wanted.
func (l *loop) spreadTo(news peer.SpreadRequest, wanted func(vm string) bool) {
	byZone := make(map[string][]member)
	count := 0
	for vm, m := range l.members {
		if vm != l.self.VM && wanted(vm) && l.clock()-m.at <= fleetLife {
			byZone[m.zone] = append(byZone[m.zone], m)
			count++
		}
	}
	var groups [][]string
	for _, members := range byZone {
		sort.Slice(members, func(i, j int) bool { return members[i].before(members[j]) })
		addresses := make([]string, len(members))
		for at, m := range members {
			addresses[at] = m.address
		}
		if count <= mostDirect {
			groups = append(groups, split(addresses, len(addresses))...)
			continue
		}
		groups = append(groups, addresses)
	}
	l.passOn(news, groups)
}

// before orders members by what they can do for the others.
func (m member) before(other member) bool {
	if m.strength != other.strength {
		return m.strength > other.strength
	}
	return m.address < other.address
}

// spreadPage sends what changed from one page to the next; nil before stands for
// no page.
func (l *loop) spreadPage(service string, before, next *seenPage) {
	if change := l.pageChange(service, before, next); change != nil {
		l.spread(peer.SpreadRequest{Page: change})
	}
}

// pageChange returns what changed from one page to the next, or nil if it can't be
// encoded.
func (l *loop) pageChange(service string, before, next *seenPage) *peer.PageChange {
	if before == nil {
		before = &seenPage{page: &keys.Page{}}
	}
	change, err := keys.Diff(before.page, next.page).Encode()
	if err != nil {
		l.book.Event(event.NewsNotSent, err.Error(), zap.String("service", service))
		return nil
	}
	return &peer.PageChange{Service: service, Base: uint64(before.version), Version: uint64(next.version), Change: change}
}

// chooseWatchers picks the daemons that follow the store themselves: the
// strongest of each availability zone in turn.
func (l *loop) chooseWatchers() {
	byZone := make(map[string][]string)
	vms := make([]string, 0, len(l.members))
	for vm := range l.members {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return l.members[vms[i]].before(l.members[vms[j]]) })
	var zones []string
	for _, vm := range vms {
		zone := l.members[vm].zone
		if byZone[zone] == nil {
			zones = append(zones, zone)
		}
		byZone[zone] = append(byZone[zone], vm)
	}
	slices.SortFunc(zones, strings.Compare)
	l.watchers = make(map[string]bool, mostWatchers)
	for rank := 0; len(l.watchers) < min(mostWatchers, len(vms)); rank++ {
		for _, zone := range zones {
			if rank < len(byZone[zone]) && len(l.watchers) < mostWatchers {
				l.watchers[byZone[zone][rank]] = true
			}
		}
	}
}

// followStore starts and stops the feeds: a daemon follows the store if it
// leads, if the leader wants it to, or while no leader answers it.
func (l *loop) followStore() {
	l.leaderFeed.activate(l.leading || l.mayWatch || l.leaderNow.Leader.Address == "" || l.relay.failures > 0)
	l.configurationFeed.activate(l.leading || l.mayReadConfiguration())
	if l.leading || l.readsAtOnce() {
		l.endStartWait()
	}
}

func (n newsTaken) apply(l *loop) {
	if n.news.Page != nil {
		l.takeChange(n.news.Page)
	}
	if n.news.Record != nil {
		l.takeRecord(n.news.Record)
	}
	if n.news.Servers != nil {
		l.takeList(n.news.Servers)
	}
}

// takeChange applies the change of a page. If it does not fit the page that
// this VM has, the whole page comes with the answer to the next report.
func (l *loop) takeChange(news *peer.PageChange) {
	held := l.pages[news.Service]
	version := kvstore.Version(news.Version)
	if held != nil && held.version >= version {
		return
	}
	if held == nil && news.Base == 0 {
		held = &seenPage{page: &keys.Page{}}
	}
	if held == nil || held.version != kvstore.Version(news.Base) {
		l.reportSoon()
		return
	}
	change, err := keys.DecodeChange(news.Change)
	if err == nil {
		var next *keys.Page
		if next, err = change.Apply(held.page); err == nil {
			l.holdPage(news.Service, next, version)
			return
		}
	}
	l.ignore(kvstore.Entry{Key: pagePrefix + news.Service, Version: version}, err)
	l.reportSoon()
}

// takeRecord takes the operators' record from another daemon.
func (l *loop) takeRecord(taken *peer.ConfigurationRecord) {
	record, err := unpack(taken.Compressed)
	entry := kvstore.Entry{Key: l.records.ConfigurationKey(), Value: record, Version: kvstore.Version(taken.Version)}
	if err != nil {
		l.ignore(entry, err)
		return
	}
	l.configure(entry)
	l.configurationFeed.follow(entry.Version)
}

// recordFor returns the record for the answer to a daemon that lacks it, or nil
// in a large fleet, where it is sent to all that lack it together.
func (l *loop) recordFor(vm string, now time.Duration) *peer.ConfigurationRecord {
	if len(l.members) <= mostDirect {
		return l.packedRecord()
	}
	l.lackRecord.add(vm, now)
	return nil
}

// sendLacking sends the record, the pages and the list of servers to the daemons
// that lack them.
func (l *loop) sendLacking(now time.Duration) {
	if lacking := l.lackRecord.take(now); lacking != nil {
		l.spreadTo(peer.SpreadRequest{Record: l.packedRecord()}, func(vm string) bool { return lacking[vm] })
	}
	if lacking := l.lackPages.take(now); lacking != nil {
		for service, seen := range l.pages {
			if change := l.pageChange(service, nil, seen); change != nil {
				l.spreadTo(peer.SpreadRequest{Page: change}, func(vm string) bool { return lacking[vm] })
			}
		}
	}
	lacking := l.lackServers.take(now)
	if lacking == nil {
		return
	}
	list, err := l.relay.list(l.source())
	if err != nil {
		l.book.Event(event.NewsNotSent, err.Error(), zap.String("news", "servers"))
		return
	}
	l.spreadTo(peer.SpreadRequest{Servers: list}, func(vm string) bool { return lacking[vm] })
}

// takeList takes the whole list of servers from another daemon.
func (l *loop) takeList(list *peer.ServerList) {
	var servers []model.Server
	text, err := unpack(list.Compressed)
	if err == nil {
		err = json.Unmarshal(text, &servers)
	}
	if err != nil {
		l.book.Event(event.RecordIgnored, err.Error(), zap.String("key", "servers of "+list.Source))
		return
	}
	if l.leading || list.Source == l.relay.source && list.Revision <= l.relay.seen {
		return
	}
	now := l.clock()
	l.relayedAt.Store(int64(now))
	l.takeServers(now, l.relay.take(&peer.ReportResponse{Source: list.Source, Revision: list.Revision, Full: true, Servers: servers}))
}

// reportSoon has the next report sent shortly.
func (l *loop) reportSoon() {
	l.reportAt = min(l.reportAt, l.clock()+rand.N(soonSpread))
}
