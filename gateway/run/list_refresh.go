package run

import (
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/kvstore"
)

// Requests must not reach a server later than the drain time after its departure was
// stored, nor the evacuation time after the evacuation of its zone was. A VM can't know of a departure that happened after its list was read. So the age
// of the list is what is bounded, whatever is lost on the way: a VM whose list is older than
// maxListAge asks for a newer one. All times here are shares of the shorter of the
// two, and none grows with the fleet.

const (
	// maxListAgeShare is the share of that time after which a VM asks for a newer list.
	maxListAgeShare = 0.5
	// minMaxListAge is the lower bound of the result.
	minMaxListAge = 400 * time.Millisecond
	// directReadMargin is how long after that a VM that reads the store itself lets others
	// answer.
	directReadMargin = 100 * time.Millisecond
	// heartbeatShare is the share of the greatest age after which the leader of a large fleet
	// says that nothing has changed.
	heartbeatShare = 0.5
	// readShare is the share of that time between two reads by the leader, at most.
	readShare = 0.25
	// updateTransit is the time that an update usually takes to reach all VMs.
	updateTransit = 250 * time.Millisecond
	// refreshInterval is the time between two attempts to get a newer list. After
	// quickRefreshes it is half the greatest age of a list: others have none either.
	refreshInterval = 200 * time.Millisecond
	quickRefreshes  = 6
	// refreshesBeforeRead is the number of attempts after which a store follower reads the
	// store itself: those that should have done so for its zone have not.
	refreshesBeforeRead = 2
)

// listRefresh is the state of the attempts to get a newer server list.
type listRefresh struct {
	attempts int
	next     time.Duration
	// since is when the list became too old; valid if attempts is positive.
	since time.Duration
	// leaderPending says whether a question to the leader is pending.
	leaderPending bool
	// needed is the position that the list must have at least.
	needed kvstore.Position
}

// newsTime returns the time in which departures and evacuations must be known. It is safe for
// all goroutines.
func (l *loop) newsTime() time.Duration {
	drainTime := l.servers.availability.DrainTime()
	if evacuationTime := l.settings.Bounds.EvacuationTime; evacuationTime > 0 {
		return min(drainTime, evacuationTime)
	}
	return drainTime
}

// maxListAge returns the age beyond which a VM asks for a newer list.
func (l *loop) maxListAge() time.Duration {
	return max(time.Duration(maxListAgeShare*float64(l.newsTime())), minMaxListAge)
}

// directReadAge returns the age of a list received from others beyond which a VM may read the
// store itself. It is safe for all goroutines.
func (l *loop) directReadAge() time.Duration { return l.maxListAge() + directReadMargin }

// leaderReadInterval returns the time between two reads of the list by the leader. It is
// safe for all goroutines.
func (l *loop) leaderReadInterval() time.Duration {
	share := time.Duration(readShare * float64(l.newsTime()))
	return min(leaderServerPollInterval, max(share, minRetryDelay))
}

// heartbeatInterval returns the time after which the leader announces a list without
// changes, with the read that comes next.
func (l *loop) heartbeatInterval() time.Duration {
	return time.Duration(heartbeatShare*float64(l.maxListAge())) - l.leaderReadInterval()/2
}

// needsHeartbeats reports whether the responses to reports alone would let lists become
// too old.
func (l *loop) needsHeartbeats() bool {
	longest := l.reportInterval() * 5 / 4 // With its jitter.
	return longest+l.leaderReadInterval()+updateTransit > l.maxListAge()
}

// requestList makes this VM ask soon for the list at a position, or a later one.
func (l *loop) requestList(position kvstore.Position) {
	if l.refresh.needed.Before(position) {
		l.refresh.needed = position
	}
	if l.refresh.attempts == 0 {
		l.refresh.next = l.clock() + rand.N(reportJitter)
	}
}

// listOutdated reports whether the list in force is too old or lacks changes.
func (l *loop) listOutdated(now time.Duration) bool {
	return now-l.listedAt >= l.maxListAge() || l.list.Base().Before(l.refresh.needed)
}

// refreshList asks others for a newer server list if the one in force is outdated.
func (l *loop) refreshList(now time.Duration) {
	if l.starting() || !l.servers.known || !l.listOutdated(now) {
		l.endRefresh(now)
		return
	}
	if now < l.refresh.next {
		return
	}
	if l.refresh.attempts == 0 {
		l.refresh.since = now
		l.log.Event(event.ServerListOutdated, "", zap.Duration("age", now-l.listedAt), zap.Uint64("position", uint64(l.list.Position().Version)), zap.Uint64("needed", uint64(l.refresh.needed.Version)))
	}
	l.askForList()
	l.refresh.attempts++
	l.refresh.next = now + l.refreshDelay()
}

// endRefresh ends the attempts to get a newer list, if there were any.
func (l *loop) endRefresh(now time.Duration) {
	if l.refresh.attempts == 0 {
		return
	}
	l.log.Event(event.ServerListCurrent, "", zap.Duration("outdated_for", now-l.refresh.since), zap.Int("attempts", l.refresh.attempts))
	l.refresh.attempts, l.refresh.next = 0, 0
}

// refreshDelay returns the time until the next attempt.
func (l *loop) refreshDelay() time.Duration {
	if l.refresh.attempts < quickRefreshes {
		return jitter(refreshInterval)
	}
	return l.maxListAge() / 2
}

// askForList asks for a newer list: first a store follower of the zone, so that the leader
// of a large fleet is asked by few. Later attempts ask the leader and other daemons too.
func (l *loop) askForList() {
	first, followers := l.refresh.attempts == 0, len(l.followersToAsk()) > 0
	if followers {
		l.askFollower()
	}
	if !first || !followers {
		l.askLeader()
	}
	if !first {
		l.askOthers()
	}
}

// leaderAsked is the result of asking the leader for what this daemon lacks.
type leaderAsked struct {
	response *peer.ReportResponse
	err      error
	sentAt   time.Duration
}

// askLeader asks the leader for what this daemon lacks, unless such a question is pending.
func (l *loop) askLeader() {
	address := l.knownLeader.Leader.Address
	if address == "" || l.leading || l.refresh.leaderPending {
		return
	}
	l.refresh.leaderPending = true
	query := l.newFollowerQuery()
	go func() {
		sentAt := l.clock()
		response, err := l.peers.Report(l.ctx, address, query)
		l.deliver(leaderAsked{response, err, sentAt})
	}()
}

func (r leaderAsked) apply(l *loop) {
	l.refresh.leaderPending = false
	if r.err != nil {
		l.log.Event(event.PeerUnreachable, r.err.Error(), zap.String("leader", l.knownLeader.Leader.VM))
		return
	}
	l.applyFollowerResponse(r.response)
	l.confirmByPeer(r.response, r.sentAt)
}
