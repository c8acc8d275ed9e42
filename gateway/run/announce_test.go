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
	l := newRelayLoop(t, servers)
	l.ctx, l.peers, l.leading = context.Background(), peer.NewClient(), true
	for at := range maxDirectRecipients + 1 {
		l.members[fmt.Sprint(at)] = member{address: server.Listener.Addr().String(), zone: "a", reportedAt: l.clock()}
	}
	l.applyServers(l.clock(), l.servers.ofService("s"))
	return l, recorder
}

// Reports of a large fleet are too far apart for the time within which a server that is
// leaving must get no more requests.
func TestDrainingServerIsAnnouncedToALargeFleetAtOnce(t *testing.T) {
	g := NewWithT(t)
	l, recorder := newLeaderOfLargeFleet(t, 3)
	listed := l.servers.ofService("s")
	listed[1].Draining = true
	l.applyServers(l.clock()+leaderServerPollInterval, listed[:2])
	var update *peer.SpreadRequest
	g.Eventually(recorder.updates, time.Second).Should(Receive(&update))
	g.Expect(update.Changes).NotTo(BeNil())
	g.Expect(update.Changes.Servers).To(ConsistOf(HaveField("Draining", true)))
	g.Expect(update.Changes.Removed).To(ConsistOf(listed[2].Incarnation()))

	l.applyServers(l.clock()+2*leaderServerPollInterval, listed[:2])
	g.Consistently(recorder.updates, 100*time.Millisecond).ShouldNot(Receive(), "nothing has changed")
}

// The responses to the first reports after an election bring the list that the new leader
// had before it read the store.
func TestNewLeaderAnnouncesWhatItsFirstReadShows(t *testing.T) {
	g := NewWithT(t)
	l, recorder := newLeaderOfLargeFleet(t, 0)
	l.relay = newRelay()
	listed := []model.Server{{ID: "a", Service: "s", Address: "a:1"}, {ID: "b", Service: "s", Address: "b:1"}}
	l.servers.update(l.clock(), listed)
	l.leaderResponse(&peer.Report{VM: "0"})
	listed[0].Draining = true
	l.applyServers(l.clock()+leaderServerPollInterval, listed)
	var update *peer.SpreadRequest
	g.Eventually(recorder.updates, time.Second).Should(Receive(&update))
	g.Expect(update.Changes.Servers).To(ConsistOf(HaveField("Draining", true)))
}

func TestManyServerChangesWaitForTheCompleteList(t *testing.T) {
	g := NewWithT(t)
	l, recorder := newLeaderOfLargeFleet(t, 1)
	listed := l.servers.ofService("s")
	for at := range maxListedChanges + 1 {
		listed = append(listed, model.Server{ID: fmt.Sprintf("n-%d", at), Service: "s", Address: fmt.Sprintf("n:%d", at)})
	}
	l.applyServers(l.clock()+leaderServerPollInterval, listed)
	g.Consistently(recorder.updates, 200*time.Millisecond).ShouldNot(Receive(), "the complete list is smaller, because it is compressed")
}

func TestServerChangesApplyToTheListThatTheyChange(t *testing.T) {
	g := NewWithT(t)
	follower := newRelayLoop(t, 0)
	follower.relay.apply(&peer.ReportResponse{Source: "leader", Revision: 5, Full: true, Servers: []model.Server{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}}})
	changes := &peer.ServerChanges{Source: "leader", Base: 5, Revision: 7, Servers: []model.Server{{ID: "a", Service: "s", Draining: true}}, Removed: []model.Incarnation{{ID: "b"}}}
	follower.applyServerChanges(changes)
	g.Expect(follower.servers.ofService("s")).To(ConsistOf(HaveField("Draining", true)))
	g.Expect(follower.relay.seenRevision).To(BeEquivalentTo(7))
	g.Expect(follower.listedAt).To(Equal(follower.clock()))

	follower.applyServerChanges(&peer.ServerChanges{Source: "leader", Base: 8, Revision: 9, Removed: []model.Incarnation{{ID: "a"}}})
	g.Expect(follower.servers.ofService("s")).To(HaveLen(1), "changes since 7 are missing; the next report brings them")
	follower.applyServerChanges(&peer.ServerChanges{Source: "other", Base: 7, Revision: 9, Removed: []model.Incarnation{{ID: "a"}}})
	g.Expect(follower.servers.ofService("s")).To(HaveLen(1), "these change the list of another leader")
}
