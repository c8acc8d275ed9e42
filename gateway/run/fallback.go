package run

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/peer"
)

// followersToAsk returns the addresses of the store followers that this daemon asks
// while the leader does not respond. A follower asks only those that come before it, so
// that the first one of a zone reads the store for all.
func (l *loop) followersToAsk() []string {
	if self := slices.Index(l.distribution.Followers, l.self.Address); self >= 0 {
		return l.distribution.Followers[:self]
	}
	return l.distribution.Followers
}

// needsStore says whether this daemon has to read the store while the leader does not
// respond, because there is no store follower to ask or none responds.
func (l *loop) needsStore() bool {
	return len(l.followersToAsk()) == 0 || l.followerFailures >= staleThreshold
}

// askFollower asks a store follower for what this daemon lacks, or other daemons if it
// has no store follower to ask.
func (l *loop) askFollower() {
	followers := l.followersToAsk()
	if len(followers) == 0 {
		l.askOthers()
		return
	}
	if l.askPending {
		return
	}
	l.askPending = true
	l.questions++
	silent := followerSilent{l.questions}
	time.AfterFunc(followerPatience, func() { l.deliver(silent) })
	address, query := followers[l.nextFollower%len(followers)], l.newFollowerQuery()
	go func() {
		sentAt := l.clock()
		response, err := l.peers.Report(l.ctx, address, query)
		l.deliver(followerResponded{address, response, err, sentAt})
	}()
}

// newFollowerQuery creates the message that asks a store follower.
func (l *loop) newFollowerQuery() *peer.Report {
	query := l.newStatus()
	query.ToFollower = true
	return query
}

func (r followerResponded) apply(l *loop) {
	l.askPending = false
	if r.err == nil {
		l.followerFailures = 0
		l.applyFollowerResponse(r.response)
		if l.listOutdated(l.clock()) && l.refresh.attempts != 1 {
			l.nextFollower++ // Another one may have a newer list. At first this one is about to read it.
		}
		l.confirmByPeer(r.response, r.sentAt)
		if !r.response.InContact {
			l.askOthers()
		}
		return
	}
	l.log.Event(event.PeerUnreachable, r.err.Error(), zap.String("follower", r.address))
	l.askOthers()
	l.nextFollower++
	if l.followerFailures++; l.followerFailures < staleThreshold {
		l.askFollower()
	}
}

// followerResponse returns a store follower's response to a daemon that can't reach
// the leader. It contains what the sender lacks.
func (l *loop) followerResponse(report *peer.Report) peer.ReportResponse {
	response := peer.ReportResponse{KnownLeader: l.knownLeader, ConfirmedAgeMS: l.confirmedAgeFor(report), InContact: l.inContact()}
	if l.configuration != nil && report.ConfigurationVersion < l.configuration.Version {
		response.ConfigurationVersion = l.configuration.Version
		if !report.OnlyVersion {
			response.Record = l.peerRecord()
		}
	}
	few := l.addListChanges(&response, report)
	if report.OnlyVersion || report.OnlyConfiguration {
		return response
	}
	response.Pages = l.pagesFor(report.Pages)
	if !few {
		response.List = l.completeList()
	}
	return response
}

// applyFollowerResponse processes the response of a store follower.
func (l *loop) applyFollowerResponse(response *peer.ReportResponse) {
	l.followLeader(response.KnownLeader)
	if response.Record != nil {
		l.applyRecord(response.Record)
	}
	l.applyPages(response.Pages)
	l.applyListNews(response)
}

// listReading says when a daemon that does not lead reads the server list from the
// store.
type listReading int32

const (
	// readIfStale reads it once the list received from a peer is out of date.
	readIfStale listReading = iota
	// readForZoneIfStale does the same for the daemons of the own zone.
	readForZoneIfStale
	// readForZone reads it for the daemons of the own zone, as no leader responds.
	readForZone
	// readNever leaves it to a store follower.
	readNever
)

// chooseListReading chooses according to who responds to this daemon.
func (l *loop) chooseListReading() listReading {
	follower := slices.Contains(l.distribution.Followers, l.self.Address)
	switch {
	case follower && l.refresh.attempts > refreshesBeforeRead:
		return readForZoneIfStale
	case !l.needsStore():
		return readNever
	case follower && l.reporting.failures > 0:
		return readForZone
	case follower:
		return readForZoneIfStale
	default:
		return readIfStale
	}
}

// mayReadServers says whether this daemon may read the server list from the store now.
func (l *loop) mayReadServers() bool {
	if l.leadingNow.Load() {
		return true
	}
	age := l.clock() - time.Duration(l.serversRelayedAt.Load())
	switch listReading(l.listReading.Load()) {
	case readNever:
		return false
	case readForZone:
		return age >= serverPollInterval
	default:
		return age >= l.directReadAge()
	}
}
