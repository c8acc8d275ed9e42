package run

import (
	"context"
	"time"

	"guavacrank.example/gateway/peer"
)

const (
	// firstTries is the number of failed questions of a starting daemon after which
	// the next ones wait.
	firstTries = 3
	// leastPatience is how long a starting process waits for a leader's word before
	// it reads the store itself, patienceSpread spreads that among processes: what
	// many of them read at once fills the link between the regions. recordPatience
	// is the same for the configuration if a leader answers, which sends it packed.
	leastPatience  = 1200 * time.Millisecond
	patienceSpread = 1200 * time.Millisecond
	recordPatience = 5 * time.Second
	// nearTime is the longest time of a small call to a store in the own region, a
	// new connection included. Reading much of such a store fills no link between
	// the regions.
	nearTime = 20 * time.Millisecond
	// wideLink is the rate of a link, in Mbit/s, that carries a large configuration
	// as it is within a tenth of a second.
	wideLink = 100
)

// starting says whether this daemon has not been ready yet.
func (l *loop) starting() bool { return !l.stopping && !l.ready.Load() }

// mayReadConfiguration says whether a daemon that does not lead takes the
// configuration from the store. A starting one waits for a leader's word first.
func (l *loop) mayReadConfiguration() bool {
	if l.configuration != nil {
		return l.mayWatch || l.relay.failures >= staleAnswers
	}
	passed := l.clock() - l.startedAt
	return passed >= recordPatience || passed >= l.startPatience && !l.relayed.Load() || l.readsAtOnce()
}

// readsAtOnce says whether a daemon that lacks everything need not wait for a
// leader, since reading the store fills no link.
func (l *loop) readsAtOnce() bool {
	return l.nearStore && (l.settings.LinkMbit == 0 || l.settings.LinkMbit >= wideLink)
}

// askWhileStarting asks for what a starting daemon lacks without waiting for the
// next tick.
func (l *loop) askWhileStarting() {
	if l.starting() && l.relay.failures <= firstTries {
		l.reportAt = 0
		ticked{}.apply(l)
	}
}

// awaitStart waits until a starting daemon may read the store itself.
func (l *loop) awaitStart(ctx context.Context) {
	timer := time.NewTimer(l.startPatience)
	defer timer.Stop()
	select {
	case <-l.startWait:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// endStartWait ends awaitStart.
func (l *loop) endStartWait() {
	if !l.startOver {
		l.startOver = true
		close(l.startWait)
	}
}

// answerStarting makes the answer of a daemon that does not lead. One that starts
// gets what it lacks, since there may be no leader yet.
func (l *loop) answerStarting(report *peer.Report) peer.ReportResponse {
	answer := peer.ReportResponse{KnownLeader: l.leaderNow}
	if l.configuration == nil || !l.servers.known || report.ConfigurationVersion > 0 && report.Source != "" {
		return answer
	}
	answer.ConfigurationVersion, answer.Record = l.configuration.Version, l.packedRecord()
	answer.Pages = l.pagesFor(report)
	l.relay.note(l.servers)
	l.relay.fill(&answer, l.source(), report)
	return answer
}

// takeFromPeer takes what a daemon that does not lead told this one, which starts.
func (l *loop) takeFromPeer(answer *peer.ReportResponse) {
	if answer.Record == nil {
		return
	}
	l.takeRecord(answer.Record)
	l.takePages(answer.Pages)
	if !l.servers.known {
		l.takeServers(l.clock(), l.relay.take(answer))
	}
}
