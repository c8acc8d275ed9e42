package run

import (
	"fmt"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/logbook"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/peer"
)

// relaying returns a loop that knows some servers.
func relaying(t *testing.T, servers int) *loop {
	log := logbook.New(io.Discard)
	t.Cleanup(func() { log.Close(time.Second) })
	now := 5 * time.Second
	l := &loop{
		settings: &model.Settings{}, members: map[string]member{}, relay: newRelay(), log: log,
		recordBatch: newRecipientBatch(), serverListBatch: newRecipientBatch(), pageBatch: newRecipientBatch(), clock: func() time.Duration { return now },
	}
	l.servers = newServerTable(l.settings, nil, log)
	l.self.Incarnation = "leader"
	var listed []model.Server
	for at := range servers {
		listed = append(listed, model.Server{ID: fmt.Sprintf("i-%d", at), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", at), Slots: 4})
	}
	if servers > 0 {
		l.servers.update(now, listed)
	}
	return l
}

func TestServersOfALargeFleet(t *testing.T) {
	g := NewWithT(t)
	leader := relaying(t, 3)
	report := &peer.Report{VM: "a"}
	g.Expect(leader.leaderResponse(report).Servers).To(HaveLen(3), "a small fleet gets the list with the answer")
	for at := range maxDirectRecipients + 1 {
		leader.members[fmt.Sprint(at)] = member{}
	}
	response := leader.leaderResponse(report)
	g.Expect(response.Servers).To(BeEmpty(), "the whole list in each answer keeps the leader of a large fleet from answering in time")
	g.Expect(response.Source).To(BeEmpty(), "the daemon goes on to lack it")
	g.Expect(leader.serverListBatch.take(leader.clock())).To(HaveKey("a"))

	list, err := leader.relay.fullList(leader.source())
	g.Expect(err).NotTo(HaveOccurred())
	again, err := leader.relay.fullList(leader.source())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(BeIdenticalTo(list), "it is packed once")

	follower := relaying(t, 0)
	follower.applyServerList(list)
	g.Expect(follower.servers.ofService("s")).To(HaveLen(3))
	next := follower.makeReportOfServers()
	g.Expect(leader.relay.needsFullList(leader.source(), &next)).To(BeFalse())
	leader.relay.revision += maxListedChanges + 1
	g.Expect(leader.relay.needsListSpread(leader.source(), &next)).To(BeTrue(), "many changes fill the link as the whole list does")
	leader.relay.revision -= maxListedChanges + 1
	response = leader.leaderResponse(&next)
	g.Expect(response.Source).To(Equal("leader"))
	g.Expect(response.Servers).To(BeEmpty(), "nothing changed")
}

// makeReportOfServers returns what a report says of the list of servers.
func (l *loop) makeReportOfServers() peer.Report {
	return peer.Report{VM: "a", Source: l.relay.source, Revision: l.relay.seenRevision}
}

func TestFirstPageOfALargeFleet(t *testing.T) {
	g := NewWithT(t)
	leader, follower := relaying(t, 1), relaying(t, 0)
	page := &keys.Page{Fence: 3, Ranges: []keys.Range{{From: 0, To: model.Keys - 1, Owner: keys.Holder{Incarnation: model.Incarnation{ID: "i-1"}, Address: "a:1", Fence: 3}}}}
	leader.pages = map[string]*versionedPage{"s": {page: page, version: 9}}
	follower.pages = make(map[string]*versionedPage)
	report := &peer.Report{VM: "a"}
	g.Expect(leader.leaderResponse(report).Pages).To(HaveLen(1))
	for at := range maxDirectRecipients + 1 {
		leader.members[fmt.Sprint(at)] = member{}
	}
	g.Expect(leader.leaderResponse(report).Pages).To(BeEmpty())
	g.Expect(leader.pageBatch.pending).To(HaveKey("a"))
	follower.applyPageChange(leader.pageChange("s", nil, leader.pages["s"]))
	g.Expect(follower.pages["s"].page.Ranges).To(Equal(page.Ranges))
	g.Expect(follower.pageVersions()).To(HaveKeyWithValue("s", uint64(9)))
	report.Pages = map[string]uint64{"s": 8}
	g.Expect(leader.leaderResponse(report).Pages).To(HaveLen(1), "one that is behind gets it with the answer")
}
