package run

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/kvstore"
)

// recordingPeer is a peer that records the updates and reports that it receives.
type recordingPeer struct {
	updates chan *peer.SpreadRequest
	queries chan *peer.Report
}

func (p recordingPeer) Report(_ context.Context, report *peer.Report) (*peer.ReportResponse, error) {
	p.queries <- report
	return &peer.ReportResponse{}, nil
}

func (recordingPeer) Yield(context.Context, *peer.YieldRequest) (*peer.YieldResponse, error) {
	return &peer.YieldResponse{}, nil
}

func (recordingPeer) Follow(context.Context, *peer.FollowRequest) (*peer.FollowResponse, error) {
	return &peer.FollowResponse{}, nil
}

func (recordingPeer) Fence(context.Context, *peer.FenceRequest) (*peer.FenceResponse, error) {
	return &peer.FenceResponse{}, nil
}

func (p recordingPeer) Spread(_ context.Context, update *peer.SpreadRequest) (*peer.SpreadResponse, error) {
	p.updates <- update
	return &peer.SpreadResponse{}, nil
}

// newLeaderOfLargeFleet returns a leader with listed servers whose members are all the
// returned peer.
func newLeaderOfLargeFleet(t *testing.T, servers int) (*loop, recordingPeer) {
	recorder := recordingPeer{make(chan *peer.SpreadRequest, 100), make(chan *peer.Report, 100)}
	server := httptest.NewServer(peer.NewHandler(recorder, nil))
	t.Cleanup(server.Close)
	l := newTestLoop(t, servers)
	l.ctx, l.peers, l.leading = context.Background(), peer.NewClient(), true
	for at := range maxDirectRecipients + 1 {
		l.members[fmt.Sprint(at)] = member{address: server.Listener.Addr().String(), zone: "a", reportedAt: l.clock()}
	}
	l.beginAnnouncements()
	return l, recorder
}

// read processes a read of the store's servers, at a position after that of the list.
func (l *loop) read(servers ...model.Server) {
	l.servers.update(l.clock(), servers, false)
	l.list.Replace(kvstore.Position{Era: 1, Version: l.list.Position().Version + 10}, l.servers.present())
	l.listedAt = l.clock()
	l.serversApplied(l.clock())
}

// Reports of a large fleet are too far apart for the time within which a server that is
// leaving must get no more requests.
func TestDrainingServerIsAnnouncedToALargeFleetAtOnce(t *testing.T) {
	g := NewWithT(t)
	l, recorder := newLeaderOfLargeFleet(t, 3)
	listed := l.servers.ofService("s")
	listed[1].Draining = true
	l.read(listed[:2]...)
	for _, announcement := range []string{"first", "second: the loss of one does no harm"} {
		var update *peer.SpreadRequest
		g.Eventually(recorder.updates, time.Second).Should(Receive(&update), announcement)
		g.Expect(update.Changes).NotTo(BeNil())
		g.Expect(update.Changes.Servers).To(ConsistOf(HaveField("Draining", true)))
		g.Expect(update.Changes.Removed).To(ConsistOf(listed[2].Incarnation()))
		l.read(listed[:2]...)
	}
	g.Consistently(recorder.updates, 100*time.Millisecond).ShouldNot(Receive(), "nothing has changed")
}

// The responses to the first reports after an election bring the list that the new leader
// had before it read the store.
func TestNewLeaderAnnouncesWhatItsFirstReadShows(t *testing.T) {
	g := NewWithT(t)
	l, recorder := newLeaderOfLargeFleet(t, 0)
	listed := []model.Server{{ID: "a", Service: "s", Address: "a:1"}, {ID: "b", Service: "s", Address: "b:1"}}
	l.applyServerListAsFollower(listOfServers(t, 50, listed...))
	l.beginAnnouncements()
	l.leaderResponse(&peer.Report{VM: "0"})
	listed[0].Draining = true
	l.read(listed...)
	var update *peer.SpreadRequest
	g.Eventually(recorder.updates, time.Second).Should(Receive(&update))
	g.Expect(update.Changes.Servers).To(ConsistOf(HaveField("Draining", true)))
	g.Expect(update.Changes.Base.Version).To(BeEquivalentTo(50), "the daemons have the list of the previous leader")
}

// Soon after its election the leader of a large fleet has heard of few daemons. Those that it
// has answered have the list from before its first read.
func TestNewLeaderOfALargeFleetAnnouncesWhatItsFirstReadShowsToTheFewThatHaveReported(t *testing.T) {
	g := NewWithT(t)
	l, recorder := newLeaderOfLargeFleet(t, 2)
	l.vms.Store(295)
	for vm := range l.members {
		if vm != "0" {
			delete(l.members, vm)
		}
	}
	listed := l.servers.ofService("s")
	listed[0].Draining = true
	l.read(listed...)
	var update *peer.SpreadRequest
	g.Eventually(recorder.updates, time.Second).Should(Receive(&update))
	g.Expect(update.Changes.Servers).To(ConsistOf(HaveField("Draining", true)))
}

func TestLeaderOfALargeFleetAnnouncesThatNothingHasChanged(t *testing.T) {
	g := NewWithT(t)
	l, recorder := newLeaderOfLargeFleet(t, 2)
	clock := setClock(l)
	l.servers.availability.SetDrainTime(3 * time.Second)
	listed := l.servers.ofService("s")
	announced := func(vms int64, reads int) int {
		l.vms.Store(vms)
		for range reads {
			clock.advance(l.leaderReadInterval())
			l.read(listed...)
		}
		time.Sleep(100 * time.Millisecond)
		count := len(recorder.updates)
		for len(recorder.updates) > 0 {
			g.Expect((<-recorder.updates).Changes.Empty()).To(BeTrue())
		}
		return count
	}
	g.Expect(announced(50, 10)).To(BeZero(), "the responses to reports bring it in time")
	g.Expect(announced(295, 10)).To(Equal(5))
	g.Expect(2*l.leaderReadInterval()+updateTransit).To(BeNumerically("<", l.maxListAge()), "before lists are too old")
}

func TestManyServerChangesAreAnnouncedByTheCompleteList(t *testing.T) {
	g := NewWithT(t)
	l, recorder := newLeaderOfLargeFleet(t, 1)
	listed := l.servers.ofService("s")
	for at := range maxListedChanges + 1 {
		listed = append(listed, model.Server{ID: fmt.Sprintf("n-%d", at), Service: "s", Address: fmt.Sprintf("n:%d", at)})
	}
	l.read(listed...)
	var update *peer.SpreadRequest
	g.Eventually(recorder.updates, time.Second).Should(Receive(&update))
	g.Expect(update.Changes).To(BeNil(), "the complete list is smaller, because it is compressed")
	follower := newTestLoop(t, 0)
	follower.applyServerList(update.Servers)
	g.Expect(follower.servers.ofService("s")).To(HaveLen(maxListedChanges + 2))
}

func TestServerChangesApplyToTheListThatTheyChange(t *testing.T) {
	g := NewWithT(t)
	leader, follower := newTestLoop(t, 0), newTestLoop(t, 0)
	a, b := model.Server{ID: "a", Service: "s"}, model.Server{ID: "b", Service: "s"}
	leader.read(a, b)
	follower.applyServerList(leader.completeList())
	a.Draining = true
	leader.read(a)
	first := leader.changesSince(10)
	follower.applyServerChanges(first)
	g.Expect(follower.servers.ofService("s")).To(ConsistOf(HaveField("Draining", true)))
	g.Expect(follower.list.Position().Version).To(BeEquivalentTo(20))
	g.Expect(follower.listedAt).To(Equal(follower.clock()))
	g.Expect(follower.listOutdated(follower.clock())).To(BeFalse())

	leader.read(a, b)
	leader.read(b)
	follower.applyServerChanges(leader.changesSince(30))
	g.Expect(follower.servers.ofService("s")).To(ConsistOf(HaveField("ID", "a")), "changes since 20 are missing")
	g.Expect(follower.listOutdated(follower.clock())).To(BeTrue(), "it asks for them")
	follower.applyServerChanges(leader.changesSince(20))
	g.Expect(follower.servers.ofService("s")).To(ConsistOf(HaveField("ID", "b")))
	g.Expect(follower.listOutdated(follower.clock())).To(BeFalse())
	follower.applyServerChanges(first)
	g.Expect(follower.servers.ofService("s")).To(ConsistOf(HaveField("ID", "b")), "they were overtaken")
}

// changesSince returns the changes of the list since a version of the store.
func (l *loop) changesSince(version kvstore.Version) *peer.ServerChanges {
	changes, _ := l.list.Since(kvstore.Position{Era: 1, Version: version}, maxListedChanges)
	return &peer.ServerChanges{ListOrigin: l.listOrigin(), Changes: changes}
}

// applyServerListAsFollower has a leader take a list as it did before it led.
func (l *loop) applyServerListAsFollower(list *peer.ServerList) {
	l.leading = false
	l.applyServerList(list)
	l.leading = true
}
