package run

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/gateway/succession"
	"guavacrank.example/kvstore"
)

// consultationTimeout is how long a leader waits for what the other daemons know.
const consultationTimeout = time.Second

// unknownLeader stands for a leader of an earlier era that no reachable daemon knows. It
// can't be asked to stop.
var unknownLeader = keys.Leader{Incarnation: "unknown"}

// consultation collects, at the beginning of a term, what the daemons know of the time
// before the store was restored: the last leader and the newest ownership pages.
//
// A later leader moves keys only after its predecessor confirmed that it stopped, or after
// more than two thirds of the daemons reported to it. If a third of the fleet knows of no
// later leader than the one that has confirmed that it stopped, and that one wrote the
// newest pages, these are the last by which keys were granted.
type consultation struct {
	term     kvstore.Position
	deadline time.Duration
	asked    map[string]bool // By address; true until the daemon responds or fails to.
	informed int             // Daemons, this one included, that are witnesses of a leader of an earlier era.
	members  int             // The largest number of daemons that any of them knows.
	fleet    int             // The largest number of daemons that a leader of an earlier era named to any of them.
	last     peer.Leadership // The last leader of an earlier era.
	// lastYielded says that it has stopped and sent its pages.
	lastYielded bool
	waiting     map[string]bool // The services whose machines wait for the result.
}

// startConsultation announces the leadership to all known daemons, because some of them
// may not learn it from the store, and asks what they know.
func (l *loop) startConsultation(now time.Duration) {
	c := &consultation{
		term:     l.term,
		deadline: now + consultationTimeout,
		asked:    make(map[string]bool),
		members:  len(l.knownPeers),
		waiting:  make(map[string]bool),
	}
	l.consultation = c
	c.noteAnswer(l.leaderBefore(l.term.Era), l.fleetBefore(l.term.Era), l.isWitness(l.term.Era))
	l.announceLeadership(append(slices.Clone(l.knownPeers), l.settings.Seeds...))
	l.askLastLeader()
}

// announceLeadership announces the leadership to those daemons that were not told yet.
func (l *loop) announceLeadership(addresses []string) {
	request := &peer.FollowRequest{Leadership: l.knownLeader, Pages: l.pageStamps(), MemberCount: len(l.knownPeers)}
	for _, address := range addresses {
		if _, told := l.consultation.asked[address]; told || address == l.self.Address {
			continue
		}
		l.consultation.asked[address] = true
		go func() {
			response, err := l.peers.Follow(l.ctx, address, request)
			l.deliver(followDone{address, request.Term, response, err})
		}()
	}
}

// note records the last leader that a witness knows, and how many daemons that one named.
func (c *consultation) note(leadership peer.Leadership, fleet int) {
	c.noteAnswer(leadership, fleet, true)
}

// noteAnswer does so for any daemon. Before its start one that is no witness may have
// followed a later leader.
func (c *consultation) noteAnswer(leadership peer.Leadership, fleet int, witness bool) {
	if leadership.Leader.Incarnation == "" {
		return
	}
	if witness {
		c.informed++
	}
	c.fleet = max(c.fleet, fleet)
	c.hear(leadership)
}

// hear records a leader of an earlier era.
func (c *consultation) hear(leadership peer.Leadership) {
	if leadership.Term.Era < c.term.Era && c.last.Term.Before(leadership.Term) {
		c.last, c.lastYielded = leadership, false
	}
}

// askLastLeader asks the last leader of an earlier era to stop and to send its pages.
func (l *loop) askLastLeader() {
	if last := l.consultation.last.Leader; last.Incarnation != "" && last != l.self {
		l.askToYield(last)
	}
}

// apply answers an announcement with what this daemon knows.
func (a leaderAnnounced) apply(l *loop) {
	l.followLeader(a.request.Leadership)
	response := peer.FollowResponse{
		FormerLeader: l.leaderBefore(a.request.Term.Era),
		Witness:      l.isWitness(a.request.Term.Era),
		Pages:        l.pagesFor(a.request.Pages),
		MemberCount:  len(l.knownPeers),

		FormerMemberCount: l.fleetBefore(a.request.Term.Era),
	}
	if len(l.knownPeers) > a.request.MemberCount {
		response.Members = l.knownPeers
	}
	a.reply <- response
}

func (f followDone) apply(l *loop) {
	c := l.consultation
	if c == nil || c.term != f.term {
		return
	}
	c.asked[f.address] = false
	if f.err != nil {
		l.log.Event(event.PeerUnreachable, f.err.Error(), zap.String("peer", f.address))
		return
	}
	c.noteAnswer(f.response.FormerLeader, f.response.FormerMemberCount, f.response.Witness)
	c.members = max(c.members, f.response.MemberCount)
	l.applyPages(f.response.Pages)
	l.announceLeadership(f.response.Members)
	l.askLastLeader()
	l.decideConsultation(l.clock())
}

// noteYield records that an earlier leader has stopped.
func (l *loop) noteYield(y yieldDone) {
	c := l.consultation
	if c == nil {
		return
	}
	c.hear(y.response.FormerLeader)
	if y.predecessor != c.last.Leader {
		l.askLastLeader()
		return
	}
	c.members = max(c.members, len(y.response.Members))
	l.announceLeadership(y.response.Members)
	c.lastYielded = c.lastYielded || y.response.Incarnation == y.predecessor.Incarnation && y.response.NewestPages
	l.decideConsultation(l.clock())
}

// consultSender asks the sender of a report what it knows, if this is awaited: a leader
// that has just started may not know the fleet.
func (l *loop) consultSender(report *peer.Report) {
	if c := l.consultation; c != nil && (len(c.waiting) > 0 || l.fleetByDaemons() == 0) {
		l.announceLeadership([]string{report.Address})
	}
}

// confirmed says whether the newest pages are known.
func (c *consultation) confirmed(self keys.Leader) bool {
	return c.knowledge(self).Confirmed()
}

// informedEnough says whether a third of the fleet are witnesses.
func (c *consultation) informedEnough() bool { return c.knowledge(keys.Leader{}).Enough() }

// knowledge returns what the decisions need of the responses so far.
func (c *consultation) knowledge(self keys.Leader) succession.Knowledge {
	return succession.Knowledge{Members: c.members, Asked: len(c.asked), Witnesses: c.informed, PagesKnown: c.last.Leader == self || c.lastYielded}
}

// pending says whether responses are awaited.
func (c *consultation) pending() bool {
	for _, waiting := range c.asked {
		if waiting {
			return true
		}
	}
	return false
}

// decideConsultation tells the waiting machines the newest pages once these are
// confirmed, or once no response can confirm them any more.
func (l *loop) decideConsultation(now time.Duration) {
	c := l.consultation
	if !l.leading || c == nil || len(c.waiting) == 0 {
		return
	}
	confirmed := c.confirmed(l.self)
	unasked := c.informed == 0 && (len(l.pages) > 0 || !l.firstStart()) // Reports may show whom to ask.
	undecided := unasked || c.pending() || c.last.Leader.Incarnation != "" && l.yieldPending[c.last.Leader.Incarnation]
	if !confirmed && undecided && now < c.deadline {
		return
	}
	for service := range c.waiting {
		result := l.consultationResult(service, confirmed)
		l.log.Event(event.LeaderConsulted, "", zap.String("service", service), zap.Bool("confirmed", result.Confirmed),
			zap.Int("asked", len(c.asked)), zap.Int("informed", c.informed), zap.String("last_leader", c.last.Leader.VM))
		l.machines[service].StepConsulted(now, result)
	}
	clear(c.waiting)
}

// firstStart says whether the whole system is starting for the first time, as far as this
// process knows.
func (l *loop) firstStart() bool {
	return l.settings.FirstStart && !l.sawRestoration && l.consultation.last.Leader.Incarnation == ""
}

// consultationResult returns what the daemons know of the pages of a service. confirmed
// says that the last leader has sent its pages.
func (l *loop) consultationResult(service string, confirmed bool) keys.Consultation {
	result := keys.Consultation{Confirmed: confirmed, Predecessors: l.earlierLeaders()}
	if page := l.pages[service]; page != nil {
		result.Page = page.page
	}
	last := l.consultation.last.Leader
	switch {
	case result.Page != nil && result.Page.Writer.Incarnation != last.Incarnation:
		result.Confirmed = false // A leader that nobody names has written it.
	case l.consultation.informed == 0:
		result.Confirmed = l.firstStart() && result.Page == nil
	case last == l.self:
		result.Confirmed = confirmed && (l.machines[service].KnowsNewestPage() || l.knewPagesAtEnd)
	}
	return result
}

// earlierLeaders returns the leaders of an earlier era that may still send grants.
func (l *loop) earlierLeaders() []keys.Leader {
	c := l.consultation
	var leaders []keys.Leader
	if last := c.last.Leader; last.Incarnation != "" && last != l.self {
		leaders = append(leaders, last)
	}
	if !c.informedEnough() {
		leaders = append(leaders, unknownLeader)
	}
	return leaders
}

// knewNewestPages says whether this process knows, or knew at the end of its last term,
// the newest page of each service.
func (l *loop) knewNewestPages() bool {
	if !l.leading {
		return l.knewPagesAtEnd
	}
	if l.configuration == nil {
		return false
	}
	for name, service := range l.configuration.Services {
		if machine := l.machines[name]; service.Partitioned && (machine == nil || !machine.KnowsNewestPage()) {
			return false
		}
	}
	return true
}
