package run

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/gateway/port"
	"guavacrank.example/kvstore"
)

// fencingPeer records requests to send releases, and says whether the server answered.
type fencingPeer struct {
	recordingPeer
	answered bool
	requests chan *peer.FenceRequest
}

func (p fencingPeer) Fence(_ context.Context, request *peer.FenceRequest) (*peer.FenceResponse, error) {
	p.requests <- request
	return &peer.FenceResponse{Answered: p.answered}, nil
}

// recordingGrantor records releases, which end with err.
type recordingGrantor struct {
	port.Grantor
	err      error
	releases chan port.Release
}

func (r recordingGrantor) Release(_ context.Context, _ string, release port.Release) (string, error) {
	r.releases <- release
	return "", r.err
}

// fencingCall returns a relayed call to a server.
func fencingCall() keys.ReleaseCall {
	call := keys.ReleaseCall{Incarnation: model.Incarnation{ID: "i-1", Born: 5}, Address: "a:1", Fencing: true, Relayed: true, Timeout: time.Second}
	call.From, call.To, call.Server, call.Fence, call.Held = 7, 9, "i-1", 40, 30
	return call
}

// newRelayedLoop returns a leader whose own calls to servers fail, and another daemon.
func newRelayedLoop(t *testing.T, answered bool) (*loop, fencingPeer) {
	l := newLeadingLoop(t)
	other := fencingPeer{answered: answered, requests: make(chan *peer.FenceRequest, 10)}
	server := httptest.NewServer(peer.NewHandler(other, nil))
	t.Cleanup(server.Close)
	l.grantor = recordingGrantor{err: errors.New("reset"), releases: make(chan port.Release, 10)}
	l.members = map[string]member{"other": {address: server.Listener.Addr().String(), reportedAt: l.clock()}}
	return l, other
}

// nextReleaseDone returns the next result of a release.
func nextReleaseDone(g *WithT, l *loop) releaseDone {
	var next input
	g.Eventually(l.inputs, "2s").Should(Receive(&next))
	return next.(releaseDone)
}

func TestAnswerToAReleaseThatAnotherVMSentCounts(t *testing.T) {
	g := NewWithT(t)
	for answered, outcome := range map[bool]keys.ReleaseOutcome{true: keys.ReleasedByOne, false: keys.ReleaseUnanswered} {
		l, other := newRelayedLoop(t, answered)
		l.startRelayed("s", fencingCall(), l.clock()+2*time.Second)
		g.Expect(nextReleaseDone(g, l).outcome()).To(Equal(outcome))
		var request *peer.FenceRequest
		g.Expect(other.requests).To(Receive(&request))
		g.Expect(request.Leader).To(Equal(peer.Leadership{Leader: l.self, Term: l.term}))
		g.Expect(request.Address).To(Equal("a:1"))
		g.Expect(request.Release()).To(Equal(fencingCall().Release))
	}
}

func TestRelayedReleaseIsNotSentAfterItsDeadline(t *testing.T) {
	g := NewWithT(t)
	l, other := newRelayedLoop(t, true)
	l.startRelayed("s", fencingCall(), l.clock()-time.Millisecond)
	g.Expect(nextReleaseDone(g, l).outcome()).To(Equal(keys.ReleaseUnanswered))
	g.Expect(other.requests).To(BeEmpty())
}

func TestRelayedReleaseHasEndedOnlyWhenAllItsCallsWereAnswered(t *testing.T) {
	g := NewWithT(t)
	failed := errors.New("no response")
	g.Expect(releaseDone{relays: 2, relayed: 2}.outcome()).To(Equal(keys.Released))
	g.Expect(releaseDone{relays: 2, relayed: 1}.outcome()).To(Equal(keys.ReleasedByOne))
	g.Expect(releaseDone{relays: 2, relayed: 0}.outcome()).To(Equal(keys.ReleasedByOne))
	g.Expect(releaseDone{relays: 2, relayed: 1, err: failed}.outcome()).To(Equal(keys.ReleasedByOne))
	g.Expect(releaseDone{relays: 2, err: failed}.outcome()).To(Equal(keys.ReleaseUnanswered))
	g.Expect(releaseDone{err: &port.OtherServerError{}}.outcome()).To(Equal(keys.HolderEnded))
	g.Expect(releaseDone{}.outcome()).To(Equal(keys.Released))
}

func TestReleaseIsRelayedByAFewOtherVMs(t *testing.T) {
	g := NewWithT(t)
	l := newLeadingLoop(t)
	l.members = map[string]member{l.self.VM: {address: l.self.Address, reportedAt: l.clock()}}
	for _, address := range []string{"a", "b", "c"} {
		l.members[address] = member{address: address, reportedAt: l.clock()}
	}
	for range 20 {
		relays := l.chooseRelays()
		g.Expect(relays).To(HaveLen(relaysPerFence))
		g.Expect(relays).NotTo(ContainElement(l.self.Address))
	}
	l.members = nil
	g.Expect(l.chooseRelays()).To(BeEmpty())
}

func TestVMThatHasNotReportedLatelyIsNoRelay(t *testing.T) {
	g := NewWithT(t)
	l := newLeadingLoop(t)
	late := relayReportIntervals*l.reportInterval() + time.Millisecond
	l.members = map[string]member{
		"silent": {address: "silent", reportedAt: l.clock() - late},
		"held":   {address: "held", reportedAt: l.clock(), transit: late},
	}
	g.Expect(l.chooseRelays()).To(BeEmpty(), "they may be frozen")
}

func TestDaemonSendsReleasesForTheLastKnownLeadershipOnly(t *testing.T) {
	g := NewWithT(t)
	term := func(version kvstore.Version) peer.Leadership {
		return peer.Leadership{Leader: keys.Leader{VM: "x", Incarnation: "x"}, Term: kvstore.Position{Era: 1, Version: version}}
	}
	l := newRestorationLoop(t)
	grantor := recordingGrantor{releases: make(chan port.Release, 10)}
	l.grantor = grantor
	l.followLeader(term(40))
	ask := func(leader peer.Leadership) bool {
		go func() { (<-l.inputs).apply(l) }()
		response, err := peerService{l}.Fence(context.Background(), peer.NewFenceRequest(leader, "a:1", fencingCall().Release))
		g.Expect(err).NotTo(HaveOccurred())
		return response.Answered
	}
	g.Expect(ask(term(30))).To(BeFalse(), "an earlier leader's fences may be too low")
	restarted := term(40)
	restarted.Leader.Incarnation = "another process"
	g.Expect(ask(restarted)).To(BeFalse())
	g.Expect(grantor.releases).To(BeEmpty())
	g.Expect(ask(term(40))).To(BeTrue())
	g.Expect(grantor.releases).To(Receive(Equal(fencingCall().Release)))
	g.Expect(ask(term(50))).To(BeTrue())
	g.Expect(l.knownLeader).To(Equal(term(50)))
	grantor.err = errors.New("reset")
	l.grantor = grantor
	g.Expect(ask(term(50))).To(BeFalse())
}
