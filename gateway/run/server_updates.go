package run

import (
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/homes"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/gateway/serverlist"
	"guavacrank.example/kvstore"
)

func (s serversRead) apply(l *loop) {
	l.enterEra(resultEra(s.position, s.err))
	l.trackStoreCall("servers", s.err)
	now := l.clock()
	if s.err != nil || s.position.Era < l.era {
		return
	}
	if s.heldFor == 0 {
		l.noteRewrites(s)
		l.logDirectRead(s)
	}
	if s.heldFor == 0 && l.servers.interrupted(now) {
		l.hold(s)
		return
	}
	listed := l.decodeServers(s.entries)
	markEvacuated(listed, s.evacuated)
	if s.position.Before(l.list.Position()) {
		return // A peer's list has overtaken this one.
	}
	l.servers.steadyWarmUps(listed)
	l.viewOutdated = l.servers.update(now-s.heldFor, listed, false) || l.viewOutdated
	l.list.Replace(s.position, l.servers.announced())
	l.listedAt, l.listSettled = now-s.duration-s.heldFor, l.servers.settled(now)
	l.serversApplied(now)
}

// logDirectRead logs a read by a VM that does not lead.
func (l *loop) logDirectRead(s serversRead) {
	if !l.leading {
		l.log.Event(event.ServersReadDirectly, "", zap.Int("records", len(s.entries)), zap.Int("bytes", totalBytes(s.entries)), zap.Duration("took", s.duration))
	}
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

// serversApplied passes on what a new server list has changed.
func (l *loop) serversApplied(now time.Duration) {
	l.listSize.Store(int64(len(l.servers.rows)))
	l.stepServers(now)
	if l.leading {
		l.announceServers(now)
	}
}

// possibleOwners returns the servers of a service for the state machine of its keys.
func (l *loop) possibleOwners(service string) []model.Server {
	return l.servers.ofService(service, homes.OwnerRegions(l.configuration, service)...)
}

// stepServers passes the server list on to the state machines.
func (l *loop) stepServers(now time.Duration) {
	for service, machine := range l.machines {
		machine.SetWarmUpRate(l.servers.services[service].WarmUpRate)
		machine.StepServers(now, l.possibleOwners(service), l.servers.uninterrupted)
	}
}

// applyListNews processes the server list, or its changes, in a response.
func (l *loop) applyListNews(response *peer.ReportResponse) {
	if response.Changes != nil {
		l.applyServerChanges(response.Changes)
	}
	if response.List != nil {
		l.applyServerList(response.List)
	}
}

// takesLists reports whether this VM takes lists from others. A leader reads them itself,
// unless it was cut off.
func (l *loop) takesLists() bool { return !l.leading || l.listOutdated(l.clock()) }

// applyServerChanges processes changes of the server list received from a peer. If earlier
// ones are missing, it asks for them.
func (l *loop) applyServerChanges(changes *peer.ServerChanges) {
	if !l.takesLists() {
		return
	}
	outcome := l.list.Apply(changes.Changes)
	if !changes.Empty() && outcome != serverlist.SamePosition || !outcome.Current() {
		l.logServerList(listChanges, changes.Base, changes.Position, len(changes.Servers)+len(changes.Removed), string(outcome))
	}
	readAt := l.clock() - time.Duration(changes.AgeMS)*time.Millisecond
	switch outcome {
	case serverlist.Gap:
		l.requestList(changes.Position)
	case serverlist.SamePosition:
		l.relayedListApplied(max(l.listedAt, readAt), changes.Settled, true)
	case serverlist.InForce, serverlist.Different:
		l.relayedListApplied(readAt, changes.Settled, changes.Empty())
	}
	if outcome == serverlist.Different {
		l.requestList(changes.Position)
	}
}

// relayedListApplied puts the list received from a peer in force, which was read at the
// given time.
func (l *loop) relayedListApplied(readAt time.Duration, settled, unchanged bool) {
	now := l.clock()
	l.listSettled = settled
	l.setRelayedListTime(readAt)
	changed := false
	if unchanged && l.servers.known {
		changed = l.servers.confirm(now, settled)
	} else {
		changed = l.servers.update(now, l.list.Servers(), settled)
	}
	l.viewOutdated = changed || l.viewOutdated
	l.serversApplied(now)
}

// The kinds of messages with a server list, as named in the log.
const (
	listComplete = "complete"
	listChanges  = "changes"
)

// applyServerList processes a complete server list received from a peer.
func (l *loop) applyServerList(list *peer.ServerList) {
	if !l.takesLists() || list.Position.Before(l.list.Position()) {
		return
	}
	readAt := l.clock() - time.Duration(list.AgeMS)*time.Millisecond
	if list.Position == l.list.Base() && list.Digest == l.list.Digest() {
		l.relayedListApplied(max(l.listedAt, readAt), list.Settled, true)
		return
	}
	var servers []model.Server
	text, err := decompress(list.Compressed)
	if err == nil {
		err = json.Unmarshal(text, &servers)
	}
	if err != nil {
		l.log.Event(event.RecordIgnored, err.Error(), zap.String("key", "servers of a peer"))
		return
	}
	l.logServerList(listComplete, kvstore.Position{}, list.Position, len(servers), string(serverlist.InForce))
	l.list.Replace(list.Position, servers)
	l.relayedListApplied(readAt, list.Settled, false)
}

// setRelayedListTime records when the server list received from a peer was read from
// the store.
func (l *loop) setRelayedListTime(at time.Duration) {
	l.listedAt = at
	l.serversRelayedAt.Store(int64(at))
}

// logServerList logs what became of a list, or of changes, received from another VM.
func (l *loop) logServerList(kind string, base, position kvstore.Position, rows int, outcome string) {
	l.log.Event(event.ServerListReceived, "", zap.String("kind", kind), zap.Uint64("base", uint64(base.Version)),
		zap.Uint64("era", uint64(position.Era)), zap.Uint64("read_from", uint64(position.Version)), zap.Int("rows", rows),
		zap.Duration("previous_age", l.clock()-l.listedAt), zap.String("outcome", outcome))
}
