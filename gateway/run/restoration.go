package run

import (
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/kvstore"
)

// The store may be restored from an earlier copy of itself, which its era counts. What
// holds then:
//
//   - Configurations are ordered by their own versions, ownership pages by their stamps,
//     leaders by the era in which they were elected. The store's versions order nothing
//     across eras.
//   - A leadership ends with its era. The leader goes on renewing grants, changes nothing
//     and claims the key again. The first leader of an era consults the VMs before it
//     uses a stored page (consultation.go).
//   - Watches list again. Absent servers may reappear, as after an interruption, and
//     servers that have left are listed again until their records expire
//     (departures.go).

// enterEra records the store's era as named by a response of the store or a peer.
func (l *loop) enterEra(era kvstore.Era) {
	if era <= l.era {
		return
	}
	previous := l.era
	l.era, l.eraKnownSince = era, l.clock()
	l.campaign.EnterEra(era)
	if previous == 0 {
		return // The first contact.
	}
	l.sawRestoration = true
	l.log.Event(event.StoreRestored, "", zap.Uint64("era", uint64(era)), zap.Uint64("previous", uint64(previous)))
	l.servers.storeRestored(l.clock())
	l.configurationWatcher.relist()
	l.leaderWatcher.relist()
}

// setKnownLeader records a leader with a later term than that of the known one.
func (l *loop) setKnownLeader(leadership peer.Leadership) {
	if known := l.knownLeader; known.Term.Era < leadership.Term.Era && known.Leader.Incarnation != "" {
		l.formerLeader, l.formerMemberCount = known, len(l.knownPeers)
	}
	if known := l.knownLeader.Leader; known.Incarnation != "" && known != leadership.Leader {
		l.followedAnother = true
	}
	l.knownLeader, l.answered = leadership, leaderAnswer{}
}

// leaderBefore returns the last known leader of the eras before the given one.
func (l *loop) leaderBefore(era kvstore.Era) peer.Leadership {
	if l.knownLeader.Term.Era < era {
		return l.knownLeader
	}
	if l.formerLeader.Term.Era < era {
		return l.formerLeader
	}
	return peer.Leadership{}
}

// witness records a leader that was the last one at some time after the start of this
// process. No earlier process of this VM can then have followed a later leader.
func (l *loop) witness(term kvstore.Position) {
	if l.witnessed.Era == 0 || term.Before(l.witnessed) {
		l.witnessed = term
	}
}

// isWitness says whether no process of this VM has followed a later leader of the eras
// before the given one than leaderBefore.
func (l *loop) isWitness(era kvstore.Era) bool {
	return l.witnessed.Era > 0 && l.witnessed.Era < era
}

// noteLeaderContact processes when the leader was in contact with the store before it
// answered the newest report.
func (l *loop) noteLeaderContact(response *peer.ReportResponse) {
	if response.ContactMS <= 0 {
		return
	}
	atMost := time.Duration(response.ClockMS-response.ContactMS+1) * time.Millisecond // Both are rounded.
	if l.reportSentAt-atMost >= l.startedAt {
		l.witness(response.KnownLeader.Term)
	}
}

// setKnownPeers records the addresses of all daemons according to the leader.
func (l *loop) setKnownPeers(addresses []string) {
	l.knownPeers = addresses
	l.largestFleet = max(l.largestFleet, len(addresses))
}

// fleetBefore returns the number of daemons of which the leaders until leaderBefore told
// this one. A leader that has just begun does not know all.
func (l *loop) fleetBefore(era kvstore.Era) int {
	if l.knownLeader.Term.Era < era {
		return max(l.largestFleet, len(l.knownPeers))
	}
	if l.formerLeader.Term.Era < era {
		return max(l.largestFleet, l.formerMemberCount)
	}
	return 0
}

// noteRewrites records which servers have written their records since the store was
// restored: those with a version that the store did not have when it was listed first.
func (l *loop) noteRewrites(read serversRead) {
	if l.rewrittenEra != read.position.Era {
		l.rewrittenEra, l.rewrittenAfter = read.position.Era, read.position.Version
		return
	}
	if l.clock() >= l.servers.departures.doubtedUntil {
		return
	}
	for _, entry := range read.entries {
		if entry.Version <= l.rewrittenAfter {
			continue
		}
		if server, err := l.records.Server(entry); err == nil {
			l.servers.returned(server.Incarnation())
		}
	}
}
