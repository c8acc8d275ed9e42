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
	"guavacrank.example/gateway/serverlist"
	"guavacrank.example/gateway/view"
	"guavacrank.example/kvstore"
)

// newTestLoop returns a loop with the given number of listed servers.
func newTestLoop(t *testing.T, servers int) *loop {
	log := logbook.New(io.Discard)
	t.Cleanup(func() { log.Close(time.Second) })
	now := 5 * time.Second
	l := &loop{
		settings: &model.Settings{}, members: map[string]member{}, list: serverlist.New(), log: log,
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
		l.servers.update(now, listed, false)
		l.list.Replace(kvstore.Position{Era: 1, Version: 10}, listed)
		l.listedAt = now
	}
	return l
}

// In a large fleet the leader must not put the complete server list into each
// response: sending it would keep the leader from responding in time.
func TestServerListInLargeFleet(t *testing.T) {
	g := NewWithT(t)
	leader := newTestLoop(t, 3)
	report := &peer.Report{VM: "a"}
	small := newTestLoop(t, 0)
	small.applyServerList(leader.leaderResponse(report).List)
	g.Expect(small.servers.ofService("s")).To(HaveLen(3), "in a small fleet the response contains the list")
	for at := range maxDirectRecipients + 1 {
		leader.members[fmt.Sprint(at)] = member{}
	}
	response := leader.leaderResponse(report)
	g.Expect(response.List).To(BeNil(), "in a large fleet the complete list is sent separately")
	g.Expect(response.Changes).To(BeNil(), "the daemon still lacks the list and has to ask again")
	g.Expect(leader.serverListBatch.take(leader.clock())).To(HaveKey("a"))

	list := leader.completeList()
	g.Expect(&leader.completeList().Compressed[0]).To(BeIdenticalTo(&list.Compressed[0]), "the list is compressed once for the same contents")

	follower := newTestLoop(t, 0)
	follower.applyServerList(list)
	g.Expect(follower.servers.ofService("s")).To(HaveLen(3))
	next := follower.serverListReport()
	response = leader.leaderResponse(&next)
	g.Expect(response.Changes.Empty()).To(BeTrue(), "there are no changes since the reported position")
	g.Expect(leader.serverListBatch.pending).To(BeEmpty())
	leader.listMany(maxListedChanges + 1)
	leader.serverListBatch.clear()
	response = leader.leaderResponse(&next)
	g.Expect(response.Changes).To(BeNil(), "many changes use as much bandwidth as the complete list")
	g.Expect(response.List).To(BeNil())
	g.Expect(leader.serverListBatch.pending).To(HaveKey("a"))
}

// listMany adds servers to the list at a later position.
func (l *loop) listMany(count int) {
	servers := l.list.Servers()
	for at := range count {
		servers = append(servers, model.Server{ID: fmt.Sprintf("many-%d", at), Service: "s"})
	}
	l.list.Replace(kvstore.Position{Era: 1, Version: l.list.Position().Version + 1}, servers)
}

// serverListReport returns a report with only the sender and its server list.
func (l *loop) serverListReport() peer.Report {
	return peer.Report{VM: "a", ListBase: l.list.Base()}
}

// In a large fleet a daemon without ownership pages gets them along the forwarding
// tree, and one with an older version gets the page with the response.
func TestPagesInLargeFleet(t *testing.T) {
	g := NewWithT(t)
	leader, follower := newTestLoop(t, 1), newTestLoop(t, 0)
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
