package run

import (
	"context"
	"time"

	"guavacrank.example/gateway/peer"
)

const (
	// eagerAttempts is the number of failed questions of a starting daemon after which
	// the next ones wait.
	eagerAttempts = 3
	// minLeaderWait is how long a starting process waits for a leader's word before
	// it reads the store itself, leaderWaitJitter spreads that among processes: what
	// many of them read at once fills the link between the regions. configurationWait
	// is the same for the configuration if a leader answers, which sends it packed.
	minLeaderWait     = 1200 * time.Millisecond
	leaderWaitJitter  = 1200 * time.Millisecond
	configurationWait = 5 * time.Second
	// nearStoreLatency is the longest time of a small call to a store in the own region, a
	// new connection included. Reading much of such a store fills no link between
	// the regions.
	nearStoreLatency = 20 * time.Millisecond
	// fastLinkMbit is the rate of a link, in Mbit/s, that carries a large configuration
	// as it is within a tenth of a second.
	fastLinkMbit = 100
)

// starting says whether this daemon has not been ready yet.
func (l *loop) starting() bool { return !l.stopping && !l.ready.Load() }

// mayReadConfiguration says whether a daemon that does not lead takes the
// configuration from the store. A starting one waits for a leader's word first.
func (l *loop) mayReadConfiguration() bool {
	if l.configuration != nil {
		return l.followsStore || l.relay.reportFailures >= staleThreshold
	}
	passed := l.clock() - l.startedAt
	return passed >= configurationWait || passed >= l.leaderWait && !l.leaderResponded.Load() || l.mayReadStoreAtOnce()
}

// mayReadStoreAtOnce says whether a daemon that lacks everything need not wait for a
// leader, since reading the store fills no link.
func (l *loop) mayReadStoreAtOnce() bool {
	return l.storeIsNear && (l.settings.LinkMbit == 0 || l.settings.LinkMbit >= fastLinkMbit)
}

// reportWhileStarting asks for what a starting daemon lacks without waiting for the
// next tick.
func (l *loop) reportWhileStarting() {
	if l.starting() && l.relay.reportFailures <= eagerAttempts {
		l.nextReport = 0
		tick{}.apply(l)
	}
}

// waitForLeader waits until a starting daemon may read the store itself.
func (l *loop) waitForLeader(ctx context.Context) {
	timer := time.NewTimer(l.leaderWait)
	defer timer.Stop()
	select {
	case <-l.leaderWaitDone:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// endLeaderWait ends waitForLeader.
func (l *loop) endLeaderWait() {
	if !l.leaderWaitEnded {
		l.leaderWaitEnded = true
		close(l.leaderWaitDone)
	}
}

// startupResponse makes the answer of a daemon that does not lead. One that starts
// gets what it lacks, since there may be no leader yet.
func (l *loop) startupResponse(report *peer.Report) peer.ReportResponse {
	response := peer.ReportResponse{KnownLeader: l.knownLeader}
	if l.configuration == nil || !l.servers.known || report.ConfigurationVersion > 0 && report.Source != "" {
		return response
	}
	response.ConfigurationVersion, response.Record = l.configuration.Version, l.peerRecord()
	response.Pages = l.pagesFor(report)
	l.relay.update(l.servers)
	l.relay.addChanges(&response, l.source(), report)
	return response
}

// applyStartupResponse takes what a daemon that does not lead told this one, which starts.
func (l *loop) applyStartupResponse(response *peer.ReportResponse) {
	if response.Record == nil {
		return
	}
	l.applyRecord(response.Record)
	l.applyPages(response.Pages)
	if !l.servers.known {
		l.applyServers(l.clock(), l.relay.apply(response))
	}
}
