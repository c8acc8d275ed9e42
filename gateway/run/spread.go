package run

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/kvstore"
)

const (
	// maxDirectRecipients is the number of daemons up to which the leader sends
	// updates to each of them itself. Beyond that it sends them to one daemon of
	// each availability zone, which forwards them.
	maxDirectRecipients = 16
	// fanOut is the number of daemons to which each receiver forwards an update.
	fanOut = 4
	// maxStoreFollowers is the maximum number of daemons that watch the store. The
	// others get changes from the leader. The store sends the full value of every
	// change to each daemon that watches it, also across regions.
	maxStoreFollowers = 12
	// reportJitter is the maximum random delay of a report by a daemon that lacks
	// data. It spreads the reports of many such daemons.
	reportJitter = 150 * time.Millisecond
)

// spreadReceived is an update from the leader.
type spreadReceived struct{ update *peer.SpreadRequest }

// forward sends an update to one daemon of each group, which forwards it to the rest
// of its group. If a daemon can't be reached, the next one of the group is tried.
func (l *loop) forward(update peer.SpreadRequest, groups [][]string) {
	for _, group := range groups {
		go func() {
			for at, address := range group {
				message := update
				message.ForwardTo = group[at+1:]
				_, err := l.peers.Spread(l.ctx, address, &message)
				if err == nil {
					return
				}
				l.log.Event(event.UpdateNotSent, err.Error(), zap.String("peer", address), zap.Int("onward", len(message.ForwardTo)))
			}
		}()
	}
}

// splitGroups splits addresses into at most the given number of groups of similar
// size.
func splitGroups(addresses []string, groups int) [][]string {
	if len(addresses) == 0 {
		return nil
	}
	size := (len(addresses) + groups - 1) / groups
	return slices.Collect(slices.Chunk(addresses, size))
}

// broadcast sends an update to every daemon that reports to this leader. A daemon
// that does not receive it gets the data with the response to a report.
func (l *loop) broadcast(update peer.SpreadRequest) {
	l.multicast(update, func(string) bool { return true })
}

// multicast sends an update to the members for which include returns true.
func (l *loop) multicast(update peer.SpreadRequest, include func(vm string) bool) {
	byZone := make(map[string][]member)
	count := 0
	for vm, m := range l.members {
		if vm != l.self.VM && include(vm) && l.clock()-m.reportedAt <= memberTimeout {
			byZone[m.zone] = append(byZone[m.zone], m)
			count++
		}
	}
	var groups [][]string
	for _, members := range byZone {
		sort.Slice(members, func(i, j int) bool { return members[i].ranksBefore(members[j]) })
		addresses := make([]string, len(members))
		for at, m := range members {
			addresses[at] = m.address
		}
		if count <= maxDirectRecipients {
			groups = append(groups, splitGroups(addresses, len(addresses))...)
			continue
		}
		groups = append(groups, addresses)
	}
	l.forward(update, groups)
}

// ranksBefore orders members by descending capacity.
func (m member) ranksBefore(other member) bool {
	if m.capacity != other.capacity {
		return m.capacity > other.capacity
	}
	return m.address < other.address
}

// broadcastPage broadcasts the difference between two versions of a page. previous
// is nil if there was no page.
func (l *loop) broadcastPage(service string, previous, next *versionedPage) {
	if change := l.pageChange(service, previous, next); change != nil {
		l.broadcast(peer.SpreadRequest{Page: change})
	}
}

// pageChange returns the difference between two versions of a page, or nil if it
// can't be encoded. previous is nil if there was no page.
func (l *loop) pageChange(service string, previous, next *versionedPage) *peer.PageChange {
	if previous == nil {
		previous = &versionedPage{page: &keys.Page{}}
	}
	change, err := keys.Diff(previous.page, next.page).Encode()
	if err != nil {
		l.log.Event(event.UpdateNotSent, err.Error(), zap.String("service", service))
		return nil
	}
	return &peer.PageChange{Service: service, Base: previous.page.Stamp, Change: change}
}

// updateWatchers starts and stops the store watchers. A daemon watches the store if
// it leads, if the leader tells it to, or while neither a leader nor a store follower
// responds.
func (l *loop) updateWatchers() {
	leaderLost := l.knownLeader.Leader.Address == "" || l.reporting.failures > 0
	l.leaderWatcher.setActive(l.leading || l.followsStore || leaderLost && l.needsStore())
	l.configurationWatcher.frequent.Store(l.leading)
	l.configurationWatcher.setActive(l.leading || l.mayReadConfiguration())
	l.listReading.Store(int32(l.chooseListReading()))
	if l.leading || l.mayReadStoreAtOnce() {
		l.endLeaderWait()
	}
}

func (s spreadReceived) apply(l *loop) {
	if s.update.Page != nil {
		l.applyPageChange(s.update.Page)
	}
	if s.update.Record != nil {
		l.applyRecord(s.update.Record)
	}
	if s.update.Changes != nil {
		l.applyServerChanges(s.update.Changes)
	}
	if s.update.Servers != nil {
		l.applyServerList(s.update.Servers)
	}
	if s.update.Held != nil {
		l.checkHeld(s.update.Held)
	}
}

// applyPageChange applies the change of an ownership page. If it has another base
// version than this VM's page, the full page comes with the response to the next
// report.
func (l *loop) applyPageChange(update *peer.PageChange) {
	change, err := keys.DecodeChange(update.Change)
	if err != nil {
		l.ignoreRecord(kvstore.Entry{Key: pagePrefix + update.Service}, err)
		l.scheduleReport()
		return
	}
	current := &keys.Page{}
	if known := l.pages[update.Service]; known != nil {
		current = known.page
	}
	if !current.Stamp.Before(change.Head.Stamp) {
		return
	}
	if current.Stamp != update.Base {
		l.scheduleReport()
		return
	}
	next, err := change.Apply(current)
	if err != nil {
		l.ignoreRecord(kvstore.Entry{Key: pagePrefix + update.Service}, err)
		l.scheduleReport()
		return
	}
	l.setPage(update.Service, next)
}

// applyRecord processes the configuration record received from a peer.
func (l *loop) applyRecord(received *peer.ConfigurationRecord) {
	record, err := decompress(received.Compressed)
	entry := kvstore.Entry{Key: l.records.ConfigurationKey(), Value: record, Version: received.Position.Version, Era: received.Position.Era}
	if err != nil {
		l.ignoreRecord(entry, err)
		return
	}
	l.applyConfiguration(entry, sourcePeer)
	if received.Position.Era == l.era {
		l.configurationWatcher.resumeFrom(received.Position)
	}
}

// recordFor returns the configuration record for the response to a daemon that lacks
// it. In a large fleet it returns nil and adds the daemon to the recipients to whom
// the record is sent together.
func (l *loop) recordFor(vm string, now time.Duration) *peer.ConfigurationRecord {
	if len(l.members) <= maxDirectRecipients {
		return l.peerRecord()
	}
	l.recordBatch.add(vm, now)
	return nil
}

// sendBatches sends the configuration record, the ownership pages and the server
// list to the daemons that lack them.
func (l *loop) sendBatches(now time.Duration) {
	if pending := l.recordBatch.take(now); pending != nil {
		l.multicast(peer.SpreadRequest{Record: l.peerRecord()}, func(vm string) bool { return pending[vm] })
	}
	if pending := l.pageBatch.take(now); pending != nil {
		for service, page := range l.pages {
			if change := l.pageChange(service, nil, page); change != nil {
				l.multicast(peer.SpreadRequest{Page: change}, func(vm string) bool { return pending[vm] })
			}
		}
	}
	pending := l.serverListBatch.take(now)
	if pending == nil {
		return
	}
	list := l.completeList()
	if list == nil {
		return
	}
	l.multicast(peer.SpreadRequest{Servers: list}, func(vm string) bool { return pending[vm] })
}

// scheduleReport makes the next report due within reportJitter.
func (l *loop) scheduleReport() {
	l.nextReport = min(l.nextReport, l.clock()+rand.N(reportJitter))
}
