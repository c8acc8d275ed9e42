package run

import (
	"fmt"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/limit"
	"guavacrank.example/gateway/logbook"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/gateway/view"
)

// newRelayLoop returns a loop with the given number of listed servers.
func newRelayLoop(t *testing.T, servers int) *loop {
	log := logbook.New(io.Discard)
	t.Cleanup(func() { log.Close(time.Second) })
	now := 5 * time.Second
	l := &loop{
		settings: &model.Settings{}, members: map[string]member{}, relay: newRelay(), log: log,
		allocator: limit.NewAllocator(), recordBatch: newRecipientBatch(), serverListBatch: newRecipientBatch(), pageBatch: newRecipientBatch(), clock: func() time.Duration { return now },
		confirmation: &view.Confirmation{},
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

// In a large fleet the leader must not put the complete server list into each
// response: sending it would keep the leader from responding in time.
func TestServerListInLargeFleet(t *testing.T) {
	g := NewWithT(t)
	leader := newRelayLoop(t, 3)
	report := &peer.Report{VM: "a"}
	g.Expect(leader.leaderResponse(report).Servers).To(HaveLen(3), "in a small fleet the response contains the list")
	for at := range maxDirectRecipients + 1 {
		leader.members[fmt.Sprint(at)] = member{}
	}
	response := leader.leaderResponse(report)
	g.Expect(response.Servers).To(BeEmpty(), "in a large fleet the complete list is sent separately")
	g.Expect(response.Source).To(BeEmpty(), "the daemon still lacks the list and has to ask again")
	g.Expect(leader.serverListBatch.take(leader.clock())).To(HaveKey("a"))

	list, err := leader.relay.fullList(leader.source())
	g.Expect(err).NotTo(HaveOccurred())
	again, err := leader.relay.fullList(leader.source())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(BeIdenticalTo(list), "the list is compressed once per revision")

	follower := newRelayLoop(t, 0)
	follower.applyServerList(list, 0)
	g.Expect(follower.servers.ofService("s")).To(HaveLen(3))
	next := follower.serverListReport()
	g.Expect(leader.relay.needsFullList(leader.source(), &next)).To(BeFalse())
	leader.relay.revision += maxListedChanges + 1
	g.Expect(leader.relay.needsListSpread(leader.source(), &next)).To(BeTrue(), "many changes use as much bandwidth as the complete list")
	leader.relay.revision -= maxListedChanges + 1
	response = leader.leaderResponse(&next)
	g.Expect(response.Source).To(Equal("leader"))
	g.Expect(response.Servers).To(BeEmpty(), "there are no changes since the reported revision")
}

// serverListReport returns a report with only the sender and its server list.
func (l *loop) serverListReport() peer.Report {
	return peer.Report{VM: "a", Source: l.relay.source, Revision: l.relay.seenRevision}
}

// In a large fleet a daemon without ownership pages gets them along the forwarding
// tree, and one with an older version gets the page with the response.
func TestPagesInLargeFleet(t *testing.T) {
	g := NewWithT(t)
	leader, follower := newRelayLoop(t, 1), newRelayLoop(t, 0)
	page := &keys.Page{Stamp: keys.Stamp{Era: 2, Number: 9}, Fence: 3, Ranges: []keys.Range{{From: 0, To: model.Keys - 1, Owner: keys.Holder{Incarnation: model.Incarnation{ID: "i-1"}, Address: "a:1", Fence: 3}}}}
	leader.pages = map[string]*versionedPage{"s": {page: page}}
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
	g.Expect(follower.pageStamps()).To(HaveKeyWithValue("s", page.Stamp))
	report.Pages = map[string]keys.Stamp{"s": {Era: 2, Number: 8}}
	g.Expect(leader.leaderResponse(report).Pages).To(HaveLen(1), "a daemon with an older version gets the page with the response")
}

// A server under one ID that restarts again and again, or an entry whose start differs at
// each write, is another incarnation each time.
func TestRelayForgetsServersThatWereRemovedLongAgo(t *testing.T) {
	g := NewWithT(t)
	leader, follower := newRelayLoop(t, 2), newRelayLoop(t, 0)
	leader.relay.update(leader.servers)
	var response peer.ReportResponse
	leader.relay.addChanges(&response, "leader", &peer.Report{})
	follower.relay.apply(&response)
	now := leader.clock()
	for born := range int64(4 * maxRemoved) {
		now += time.Second
		leader.servers.update(now, append(leader.servers.ofService("s")[:0], model.Server{ID: "restarting", Service: "s", Born: born}))
		leader.relay.update(leader.servers)
	}
	g.Expect(len(leader.relay.removed)).To(BeNumerically("<=", maxRemoved))
	report := follower.serverListReport()
	response = peer.ReportResponse{}
	leader.relay.addChanges(&response, "leader", &report)
	g.Expect(response.Full).To(BeTrue())
	g.Expect(follower.relay.apply(&response)).To(ConsistOf(HaveField("Born", int64(4*maxRemoved-1))))
	report = follower.serverListReport()
	leader.servers.update(now+time.Second, nil)
	leader.relay.update(leader.servers)
	response = peer.ReportResponse{}
	leader.relay.addChanges(&response, "leader", &report)
	g.Expect(response.Full).To(BeFalse(), "a recent list needs only the changes")
	g.Expect(follower.relay.apply(&response)).To(BeEmpty())
}
