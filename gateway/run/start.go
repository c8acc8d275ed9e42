package run

import (
	"context"
	"time"

	"guavacrank.example/gateway/peer"
	"guavacrank.example/kvstore"
)

const (
	// eagerAttempts is the number of failed reports after which a starting daemon
	// stops reporting again at once.
	eagerAttempts = 3
	// minLeaderWait is how long a starting daemon waits for a leader's response
	// before it reads the store itself. leaderWaitJitter is the maximum random
	// addition: many daemons that read the store at once would saturate the link
	// between regions. configurationWait replaces both for the configuration if a
	// leader has responded, because the leader sends it compressed.
	minLeaderWait     = 1200 * time.Millisecond
	leaderWaitJitter  = 1200 * time.Millisecond
	configurationWait = 5 * time.Second
	// nearStoreLatency is the maximum duration of a small call to a store in the own
	// region, including connection establishment. Large reads from such a store use
	// no link between regions.
	nearStoreLatency = 20 * time.Millisecond
	// fastLinkMbit is the bandwidth, in Mbit/s, of a link that transfers a large
	// uncompressed configuration within 100 ms.
	fastLinkMbit = 100
)

// starting says whether the daemon has not been ready yet and is not stopping.
func (l *loop) starting() bool { return !l.stopping && !l.ready.Load() }

// mayReadConfiguration says whether a daemon that is not the leader reads the
// configuration from the store. A starting one waits for a leader's response first.
func (l *loop) mayReadConfiguration() bool {
	if l.configuration != nil {
		return l.followsStore || l.reporting.failures >= staleThreshold && l.needsStore()
	}
	elapsed := l.clock() - l.startedAt
	return elapsed >= configurationWait || elapsed >= l.leaderWait && !l.leaderResponded.Load() || l.mayReadStoreAtOnce()
}

// mayReadStoreAtOnce says whether a starting daemon need not wait for a leader,
// because reading the store would not saturate a link.
func (l *loop) mayReadStoreAtOnce() bool {
	return l.storeIsNear && (l.settings.LinkMbit == 0 || l.settings.LinkMbit >= fastLinkMbit)
}

// reportWhileStarting makes a starting daemon report at once, so that the response
// brings the data that it lacks without waiting for the next tick.
func (l *loop) reportWhileStarting() {
	if l.starting() && l.reporting.failures <= eagerAttempts {
		l.nextReport = 0
		tick{}.apply(l)
	}
}

// waitForLeader blocks until a starting daemon may read the store itself.
func (l *loop) waitForLeader(ctx context.Context) {
	timer := time.NewTimer(l.leaderWait)
	defer timer.Stop()
	select {
	case <-l.leaderWaitDone:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// endLeaderWait makes waitForLeader return.
func (l *loop) endLeaderWait() {
	if !l.leaderWaitEnded {
		l.leaderWaitEnded = true
		close(l.leaderWaitDone)
	}
}

// startupResponse returns the response to a report if this daemon is not the
// leader. It contains the data that a starting sender lacks, since there may be no
// leader yet.
func (l *loop) startupResponse(report *peer.Report) peer.ReportResponse {
	response := peer.ReportResponse{KnownLeader: l.knownLeader, ConfirmedAgeMS: l.confirmedAgeFor(report)}
	if l.configuration == nil {
		return response
	}
	response.ConfigurationVersion = l.configuration.Version
	if !l.servers.known || report.ConfigurationVersion > 0 && report.ListBase != (kvstore.Position{}) {
		return response
	}
	response.Record = l.peerRecord()
	response.Pages = l.pagesFor(report.Pages)
	response.List = l.completeList()
	return response
}

// applyStartupResponse processes the response of a daemon that is not the leader.
func (l *loop) applyStartupResponse(response *peer.ReportResponse) {
	if response.Record == nil {
		return
	}
	l.applyRecord(response.Record)
	l.applyPages(response.Pages)
	if !l.servers.known {
		l.applyListNews(response)
	}
}
