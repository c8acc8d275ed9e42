package run

import (
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/peer"
)

// The store followers of a zone and the leader can be lost together while the store
// refuses this daemon. Any other daemon may have a newer configuration, or know who leads.
// It asks some of them, chosen at random, for their version, and the first one that has a
// newer one for the configuration. The answers also bring the changes of the server list.
// Everything else is too large: if all daemons of a region that reach no leader got complete
// server lists from the other region, the link between them would stay full, and the leader
// out of reach.

const (
	// followerPatience is how long a store follower may take to respond before others
	// are asked too.
	followerPatience = 200 * time.Millisecond
	// parallelQuestions is the number of daemons asked at a time, questionsPerRound the
	// number asked after one failed report.
	parallelQuestions = 2
	questionsPerRound = 4
)

// otherResponded is the result of asking any other daemon.
type otherResponded struct {
	address  string
	response *peer.ReportResponse
	err      error
	sentAt   time.Duration
	// whole says that the daemon was asked for the configuration, not only its version.
	whole bool
}

// followerSilent says that a store follower has not responded for followerPatience.
type followerSilent struct{ question int }

func (s followerSilent) apply(l *loop) {
	if l.askPending && l.questions == s.question {
		l.askOthers()
	}
}

// askOthers starts a round of questions to other daemons, unless one is under way. A
// starting daemon reports to seeds instead.
func (l *loop) askOthers() {
	if l.othersPending > 0 || l.leading || l.starting() {
		return
	}
	l.othersToAsk = l.chooseOthers(questionsPerRound)
	for range parallelQuestions {
		l.askNextOther()
	}
}

// chooseOthers returns up to a number of other daemons, apart from the leader and the store
// followers that are asked anyway.
func (l *loop) chooseOthers(most int) []string {
	asked := append([]string{l.self.Address, l.knownLeader.Leader.Address}, l.followersToAsk()...)
	known := l.knownPeers
	if len(known) == 0 {
		known = l.settings.Seeds
	}
	others := slices.DeleteFunc(slices.Clone(known), func(address string) bool { return slices.Contains(asked, address) })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), most)]
}

// askNextOther asks the next daemon of the round for its version.
func (l *loop) askNextOther() {
	if len(l.othersToAsk) == 0 {
		return
	}
	address := l.othersToAsk[0]
	l.othersToAsk = l.othersToAsk[1:]
	l.askOther(address, false)
}

// askOther asks another daemon for a newer configuration if whole is set, otherwise only
// for its version.
func (l *loop) askOther(address string, whole bool) {
	l.othersPending++
	query := l.newFollowerQuery()
	query.OnlyConfiguration, query.OnlyVersion = true, !whole
	go func() {
		sentAt := l.clock()
		response, err := l.peers.Report(l.ctx, address, query)
		l.deliver(otherResponded{address, response, err, sentAt, whole})
	}()
}

func (r otherResponded) apply(l *loop) {
	l.othersPending--
	if r.whole {
		l.fetching = false
	}
	switch {
	case r.err != nil:
		l.log.Event(event.PeerUnreachable, r.err.Error(), zap.String("peer", r.address))
		l.askNextOther()
	case !r.whole && !l.fetching && l.lacks(r.response.ConfigurationVersion):
		l.othersToAsk, l.fetching = nil, true
		l.followLeader(r.response.KnownLeader)
		l.askOther(r.address, true)
	case r.whole:
		l.applyFollowerResponse(r.response)
		l.confirmByPeer(r.response, r.sentAt)
	default:
		l.followLeader(r.response.KnownLeader)
		l.applyListNews(r.response)
		l.confirmByPeer(r.response, r.sentAt)
		if !r.response.InContact {
			l.askNextOther()
		}
	}
}

// lacks says whether a version is newer than that in force.
func (l *loop) lacks(version uint64) bool {
	return version > 0 && (l.configuration == nil || version > l.configuration.Version)
}

// inContact says whether this daemon watches the store and its last call to the store
// succeeded, so that it knows of each change.
func (l *loop) inContact() bool {
	return l.configuration != nil && (l.leading || l.followsStore) && !l.storeHealth.lost
}
