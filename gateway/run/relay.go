package run

import (
	"encoding/json"
	"time"

	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/kvstore"
)

const (
	// nudgeEvery is the least time between two nudges of one feed.
	nudgeEvery = time.Second
	// staleAnswers is the number of the leader's answers in a row that must
	// know something newer before a feed counts as silent.
	staleAnswers = 2
	// mostChanges is the number of changed servers up to which the leader of a large
	// fleet sends them with its answers.
	mostChanges = 100
)

// relay carries the leader's list of servers to the other daemons, so that the
// store is read once for all.
type relay struct {
	// change counts the changes of this daemon's own list; rows and gone say
	// when each server changed last.
	change uint64
	rows   map[model.Incarnation]relayRow
	gone   map[model.Incarnation]uint64
	// notedAt is the reading of the servers that was taken last; packed is the
	// whole list as of a change, nil until it is needed.
	notedAt time.Duration
	packed  *peer.ServerList

	// source, seen and servers are what was taken from a leader.
	source  string
	seen    uint64
	servers map[model.Incarnation]model.Server

	// failures counts reports in a row that no leader answered, stale answers
	// in a row of a leader with a newer configuration.
	failures            int
	stale               int
	configurationNudged time.Duration
	leaderNudged        time.Duration
}

type relayRow struct {
	model.Server
	change uint64
}

func newRelay() relay {
	return relay{rows: make(map[model.Incarnation]relayRow), gone: make(map[model.Incarnation]uint64), servers: make(map[model.Incarnation]model.Server)}
}

// note takes this daemon's own list into the numbered changes.
func (r *relay) note(table *serverTable) {
	if r.notedAt == table.readAt && r.change > 0 {
		return
	}
	r.notedAt = table.readAt
	seen := make(map[model.Incarnation]bool, len(table.rows))
	for life, row := range table.rows {
		if row.gone {
			continue
		}
		seen[life] = true
		server := row.Server
		server.WarmUp = 0 // Counts down at each reading.
		if held, known := r.rows[life]; known && held.Server == server {
			continue
		}
		r.change++
		r.rows[life] = relayRow{server, r.change}
		delete(r.gone, life)
	}
	for life := range r.rows {
		if !seen[life] {
			r.change++
			delete(r.rows, life)
			r.gone[life] = r.change
		}
	}
}

// lacksAll says whether a daemon needs the whole list.
func (r *relay) lacksAll(source string, report *peer.Report) bool {
	return report.Source != source || report.Revision > r.change
}

// lacksMuch says whether a daemon lacks so much that it gets the whole list by the
// tree, in a large fleet.
func (r *relay) lacksMuch(source string, report *peer.Report) bool {
	return r.lacksAll(source, report) || r.change-report.Revision > mostChanges
}

// list returns the whole list for the way between daemons.
func (r *relay) list(source string) (*peer.ServerList, error) {
	if r.packed != nil && r.packed.Revision == r.change {
		return r.packed, nil
	}
	servers := make([]model.Server, 0, len(r.rows))
	for _, row := range r.rows {
		servers = append(servers, row.Server)
	}
	text, err := json.Marshal(servers)
	if err != nil {
		return nil, err
	}
	r.packed = &peer.ServerList{Source: source, Revision: r.change, Compressed: pack(text)}
	return r.packed, nil
}

// fill puts what a daemon lacks into an answer.
func (r *relay) fill(answer *peer.ReportResponse, source string, report *peer.Report) {
	answer.Source, answer.Revision = source, r.change
	since := report.Revision
	if r.lacksAll(source, report) {
		answer.Full, since = true, 0
	} else if since == r.change {
		return
	}
	for _, row := range r.rows {
		if row.change > since {
			answer.Servers = append(answer.Servers, row.Server)
		}
	}
	if answer.Full {
		return
	}
	for life, change := range r.gone {
		if change > since {
			answer.Removed = append(answer.Removed, life)
		}
	}
}

// take applies a leader's answer and returns the whole list.
func (r *relay) take(answer *peer.ReportResponse) []model.Server {
	if answer.Full {
		clear(r.servers)
	}
	r.source, r.seen = answer.Source, answer.Revision
	for _, server := range answer.Servers {
		r.servers[server.Incarnation()] = server
	}
	for _, life := range answer.Removed {
		delete(r.servers, life)
	}
	listed := make([]model.Server, 0, len(r.servers))
	for _, server := range r.servers {
		listed = append(listed, server)
	}
	return listed
}

const (
	// strongShare: a daemon with less than this part of the strongest one's
	// strength leaves the leadership to stronger ones.
	strongShare = 0.5
	// weakStrength: a daemon with less does so before it knows the others. Its link
	// carries a large configuration too slowly for it to keep its lease.
	weakStrength = 0.1
)

// weak says whether a daemon leaves the leadership to stronger ones. strongest is
// the greatest strength that is known, zero if none is.
func weak(strength, strongest float64) bool {
	if strength == 0 {
		return false // Unknown.
	}
	return strongest == 0 && strength < weakStrength || strength < strongShare*strongest
}

// strongest returns the greatest strength of the daemons that report.
func (l *loop) strongest() float64 {
	most := l.settings.Capacity()
	for _, m := range l.members {
		most = max(most, m.strength)
	}
	return most
}

// source names this process's list of servers.
func (l *loop) source() string { return l.self.Incarnation }

// answerReport makes a leader's answer.
func (l *loop) answerReport(report *peer.Report) peer.ReportResponse {
	now := l.clock()
	answer := peer.ReportResponse{
		Leading:     true,
		VMs:         l.countMembers(now),
		MaxCapacity: l.strongest(),
		FollowStore: l.watchers[report.VM] || len(l.members) <= mostWatchers,
		ListAgeMS:   (now - l.servers.readAt).Milliseconds(),
	}
	if l.configuration != nil {
		answer.ConfigurationVersion = l.configuration.Version
		if report.WantConfiguration && report.ConfigurationVersion < answer.ConfigurationVersion {
			answer.Record = l.recordFor(report.VM, now)
		}
	}
	if report.MemberCount != answer.VMs {
		answer.Members = l.memberAddresses()
	}
	if len(l.members) > mostDirect && len(report.Pages) == 0 && len(l.pages) > 0 {
		l.lackPages.add(report.VM, now)
	} else {
		answer.Pages = l.pagesFor(report)
	}
	if l.servers.known {
		l.relay.note(l.servers)
		if len(l.members) > mostDirect && l.relay.lacksMuch(l.source(), report) {
			l.lackServers.add(report.VM, now)
		} else {
			l.relay.fill(&answer, l.source(), report)
		}
	}
	return answer
}

// pagesFor returns the pages that a daemon lacks.
func (l *loop) pagesFor(report *peer.Report) []peer.StoredPage {
	var lacked []peer.StoredPage
	for service, seen := range l.pages {
		if report.Pages[service] >= uint64(seen.version) {
			continue
		}
		page, err := seen.encoded()
		if err != nil {
			l.ignore(kvstore.Entry{Key: pagePrefix + service, Version: seen.version}, err)
			continue
		}
		lacked = append(lacked, peer.StoredPage{Service: service, Version: uint64(seen.version), Page: page})
	}
	return lacked
}

// takePages takes pages from another daemon.
func (l *loop) takePages(pages []peer.StoredPage) {
	for _, page := range pages {
		l.seePage(kvstore.Entry{Key: pagePrefix + page.Service, Value: page.Page, Version: kvstore.Version(page.Version)})
	}
}

// takeAnswer takes what the leader knows.
func (l *loop) takeAnswer(answer *peer.ReportResponse) {
	now := l.clock()
	l.relayed.Store(true)
	l.takeVMs(answer.VMs)
	age := time.Duration(answer.ListAgeMS) * time.Millisecond
	if answer.Source != "" && !l.leading {
		listed := l.relay.take(answer)
		if age < l.relayLife() {
			l.relayedAt.Store(int64(now - age))
			l.takeServers(now, listed)
		}
	}
	l.mayWatch = answer.FollowStore
	l.campaign.SetLowPriority(weak(l.settings.Capacity(), answer.MaxCapacity))
	l.takePages(answer.Pages)
	if len(answer.Members) > 0 {
		l.peersKnown = answer.Members
	}
	if answer.Record != nil {
		l.takeRecord(answer.Record)
	}
	l.compareVersion(now, answer.ConfigurationVersion)
}

// compareVersion nudges the configuration's feed if it misses what the leader
// has.
func (l *loop) compareVersion(now time.Duration, leaders uint64) {
	r := &l.relay
	r.stale++
	if l.configuration != nil && l.configuration.Version >= leaders {
		r.stale = 0
		return
	}
	l.reportSoon()
	if r.stale >= staleAnswers && now >= r.configurationNudged+nudgeEvery {
		r.configurationNudged = now
		l.configurationFeed.nudge()
	}
}

// nudgeLeader has the leader's key listed again.
func (l *loop) nudgeLeader(now time.Duration) {
	if now >= l.relay.leaderNudged+nudgeEvery {
		l.relay.leaderNudged = now
		l.leaderFeed.nudge()
	}
}
