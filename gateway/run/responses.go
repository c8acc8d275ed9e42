package run

import (
	"time"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/kvstore"
)

// leaderResponse returns the leader's response to a report.
func (l *loop) leaderResponse(report *peer.Report) peer.ReportResponse {
	now := l.clock()
	response := peer.ReportResponse{
		Leading:       true,
		KnownLeader:   l.knownLeader,
		ClockMS:       now.Milliseconds(),
		ContactMS:     l.lastContact.Milliseconds(),
		VMs:           l.countMembers(now),
		ImpairedZones: l.impairedZones(),
		MaxCapacity:   l.maxCapacity(),
		FollowStore:   l.mayFollowStore(report, now),
		Era:           l.era,
		Distribution:  l.distributionFor(report, now),
		Limits:        l.allocator.Allotments(now, l.reportInterval()),

		ConfirmedAgeMS: l.confirmedAgeFor(report),
	}
	if l.configuration != nil {
		response.ConfigurationVersion = l.configuration.Version
		if report.WantConfiguration && report.ConfigurationVersion < response.ConfigurationVersion {
			response.Record = l.recordFor(report.VM, now)
		}
	}
	if report.MemberCount != response.VMs {
		response.Members = l.memberAddresses()
	}
	if len(l.members) > maxDirectRecipients && len(report.Pages) == 0 && len(l.pages) > 0 {
		l.pageBatch.add(report.VM, now)
	} else {
		response.Pages = l.pagesFor(report.Pages)
	}
	if report.WantEstimates {
		response.Estimates = l.estimate()
	}
	l.addList(&response, report, now)
	return response
}

// addList adds to the response what the sender of a report lacks of the server list. In a
// large fleet the complete list is sent separately.
func (l *loop) addList(response *peer.ReportResponse, report *peer.Report, now time.Duration) {
	switch {
	case l.addListChanges(response, report):
	case l.fleetSize() > maxDirectRecipients:
		l.serverListBatch.add(report.VM, now)
	default:
		response.List = l.completeList()
	}
}

// pagesFor returns the ownership pages that a daemon with the given ones lacks.
func (l *loop) pagesFor(known map[string]keys.Stamp) []peer.StoredPage {
	var missing []peer.StoredPage
	for service, current := range l.pages {
		if !known[service].Before(current.page.Stamp) {
			continue
		}
		page, err := current.encoded()
		if err != nil {
			l.ignoreRecord(kvstore.Entry{Key: pagePrefix + service}, err)
			continue
		}
		missing = append(missing, peer.StoredPage{Service: service, Page: page})
	}
	return missing
}

// applyPages processes ownership pages received from a peer.
func (l *loop) applyPages(pages []peer.StoredPage) {
	for _, page := range pages {
		l.applyPage(page.Service, page.Page)
	}
}

// applyLeaderResponse processes the leader's response to a report.
func (l *loop) applyLeaderResponse(response *peer.ReportResponse) {
	now := l.clock()
	l.enterEra(response.Era)
	l.leaderResponded.Store(true)
	l.answered = leaderAnswer{response.ClockMS, now}
	l.noteLeaderContact(response)
	l.leadersImpaired = response.ImpairedZones
	l.setVMs(response.VMs)
	l.applyListNews(response)
	l.followsStore = response.FollowStore
	if response.Distribution != nil {
		l.distribution = *response.Distribution
		l.followerFailures = 0
	}
	l.reportIfUnassigned(now)
	l.campaign.SetPriority(l.priority(response.MaxCapacity))
	l.applyPages(response.Pages)
	l.applyAllotments(response.Limits)
	l.applyEstimates(response.Estimates)
	if len(response.Members) > 0 {
		l.setKnownPeers(response.Members)
	}
	if response.Record != nil {
		l.applyRecord(response.Record)
	}
	l.checkConfigurationVersion(now, response.ConfigurationVersion)
	l.confirmByPeer(response, l.reportSentAt)
}

// checkConfigurationVersion relists the configuration if the watch has missed the
// leader's version.
func (l *loop) checkConfigurationVersion(now time.Duration, leaderVersion uint64) {
	r := &l.reporting
	r.staleResponses++
	if l.configuration != nil && l.configuration.Version >= leaderVersion {
		r.staleResponses = 0
		return
	}
	l.scheduleReport()
	if r.staleResponses >= staleThreshold && now >= r.configurationRelistedAt+relistInterval {
		r.configurationRelistedAt = now
		l.configurationWatcher.relist()
	}
}

// relistLeader relists the leader's key, at most once per relistInterval.
func (l *loop) relistLeader(now time.Duration) {
	if now >= l.reporting.leaderRelistedAt+relistInterval {
		l.reporting.leaderRelistedAt = now
		l.leaderWatcher.relist()
	}
}
