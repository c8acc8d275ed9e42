package run

import (
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/kvstore"
)

func (s serversRead) apply(l *loop) {
	l.enterEra(resultEra(s.position, s.err))
	l.trackStoreCall("servers", s.err)
	now := l.clock()
	if s.err != nil || s.position.Era < l.era {
		return
	}
	l.noteRewrites(s)
	if !l.leading {
		l.log.Event(event.ServersReadDirectly, "", zap.Int("records", len(s.entries)), zap.Int("bytes", totalBytes(s.entries)), zap.Duration("took", s.duration))
	}
	listed := l.decodeServers(s.entries)
	if s.position.Before(l.servers.position) {
		return // A peer's list has overtaken this one.
	}
	l.servers.position = s.position
	l.listedAt, l.relayedListNewest = now-s.duration, false
	l.applyServers(now, listed)
}

// decodeServers returns the servers that entries name. The others are logged, each once
// for as long as its cause stays the same: their writers may write them again and again.
func (l *loop) decodeServers(entries []kvstore.Entry) []model.Server {
	listed := make([]model.Server, 0, len(entries))
	ignored := make(map[string]string)
	for _, entry := range entries {
		server, err := l.records.Server(entry)
		if err == nil {
			listed = append(listed, server)
			continue
		}
		ignored[entry.Key] = err.Error()
		if l.ignoredServers[entry.Key] != err.Error() {
			l.log.Event(event.RecordIgnored, err.Error(), zap.String("key", entry.Key), zap.Uint64("record", uint64(entry.Version)))
		}
	}
	l.ignoredServers = ignored
	return listed
}

// applyServers processes the complete server list, read from the store or received
// from the leader.
func (l *loop) applyServers(now time.Duration, listed []model.Server) {
	l.listSize.Store(int64(len(listed)))
	l.viewOutdated = l.servers.update(now, listed) || l.viewOutdated
	l.stepServers(now)
	if l.leading {
		l.announceServers()
	}
}

// stepServers passes the server list on to the state machines.
func (l *loop) stepServers(now time.Duration) {
	for service, machine := range l.machines {
		machine.StepServers(now, l.servers.ofService(service), l.servers.uninterrupted)
	}
}

// announceServers sends the changes of the leader's server list to a large fleet, whose
// reports are too far apart to wait for them.
func (l *loop) announceServers() {
	if len(l.members) <= maxDirectRecipients {
		return
	}
	base := l.relay.revision
	l.relay.update(l.servers)
	count := l.relay.revision - base
	if base == 0 || count == 0 || count > maxListedChanges {
		return // Daemons that lack the list or many changes get the complete, compressed list.
	}
	changed, removed := l.relay.changesSince(base)
	l.broadcast(peer.SpreadRequest{Changes: &peer.ServerChanges{Source: l.source(), ReadFrom: l.relay.position, Base: base, Revision: l.relay.revision, Servers: changed, Removed: removed}})
}

// applyServerChanges processes changes of the leader's server list. If it lacks earlier
// ones, the next report brings all.
func (l *loop) applyServerChanges(changes *peer.ServerChanges) {
	r := &l.relay
	outcome := l.judgeServerChanges(changes)
	l.logServerList(listChanges, changes.Source, changes.Base, changes.Revision, changes.ReadFrom, outcome)
	if outcome != listInForce {
		return
	}
	l.applyRelayedList(l.clock(), r.apply(&peer.ReportResponse{Source: changes.Source, Base: changes.Base, Revision: changes.Revision, ReadFrom: changes.ReadFrom, Servers: changes.Servers, Removed: changes.Removed}))
}

// The kinds of server lists, and what became of one, as named in the log.
const (
	listComplete     = "complete"
	listChanges      = "changes"
	listInForce      = "in_force"
	listOtherSource  = "continues_the_list_of_another_leader"
	listGap          = "continues_a_later_revision"
	listNotNewer     = "not_newer"
	listOlderReading = "read_earlier"
	listOwnReading   = "this_vm_leads"
)

// judgeServerChanges says what becomes of changes of the leader's list.
func (l *loop) judgeServerChanges(changes *peer.ServerChanges) string {
	switch {
	case l.leading:
		return listOwnReading
	case changes.Source != l.relay.source:
		return listOtherSource
	case l.relay.seenRevision < changes.Base:
		return listGap
	case l.relay.seenRevision >= changes.Revision:
		return listNotNewer
	default:
		return listInForce
	}
}

// judgeListOrder says what becomes of a list that was read from the store at a position.
func (l *loop) judgeListOrder(readFrom kvstore.Position) string {
	if readFrom.Before(l.servers.position) {
		return listOlderReading
	}
	return listInForce
}

// logServerList logs what became of a list, or of changes, received from another VM.
func (l *loop) logServerList(kind, source string, base, revision uint64, readFrom kvstore.Position, outcome string) {
	l.log.Event(event.ServerListReceived, "", zap.String("kind", kind), zap.String("source", source), zap.Uint64("base", base), zap.Uint64("revision", revision),
		zap.Uint64("era", uint64(readFrom.Era)), zap.Uint64("read_from", uint64(readFrom.Version)), zap.String("outcome", outcome))
}

// applyServerList processes a complete server list received from a peer, which was
// read from the store the given time ago.
func (l *loop) applyServerList(list *peer.ServerList, age time.Duration) {
	var servers []model.Server
	text, err := decompress(list.Compressed)
	if err == nil {
		err = json.Unmarshal(text, &servers)
	}
	if err != nil {
		l.log.Event(event.RecordIgnored, err.Error(), zap.String("key", "servers of "+list.Source))
		return
	}
	if l.leading || list.Source == l.relay.source && list.Revision <= l.relay.seenRevision {
		return
	}
	l.logServerList(listComplete, list.Source, 0, list.Revision, list.ReadFrom, l.judgeListOrder(list.ReadFrom))
	l.applyRelayedList(l.clock()-age, l.relay.apply(&peer.ReportResponse{Source: list.Source, Revision: list.Revision, ReadFrom: list.ReadFrom, Full: true, Servers: servers}))
}

// applyRelayedList puts the received list in force, which was read from the store at the
// given time, unless it is older than the list in force.
func (l *loop) applyRelayedList(readAt time.Duration, listed []model.Server) {
	if l.relay.readFrom.Before(l.servers.position) {
		l.relayedListNewest = false
		return
	}
	l.servers.position = l.relay.readFrom
	l.setRelayedListTime(readAt)
	l.applyServers(l.clock(), listed)
}

// setRelayedListTime records when the server list received from a peer was read from
// the store.
func (l *loop) setRelayedListTime(at time.Duration) {
	l.listedAt, l.relayedListNewest = at, true
	l.serversRelayedAt.Store(int64(at))
}
