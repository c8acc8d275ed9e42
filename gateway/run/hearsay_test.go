package run

import (
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/leader"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/kvstore"
)

// newHearer returns a daemon that started at 100 s and has been told of a leader of era 1 by
// another daemon.
func newHearer(t *testing.T, now *time.Duration, told peer.Leadership) *loop {
	daemon := newRestorationLoop(t)
	daemon.campaign = leader.New(leader.Options{})
	*now = 100 * time.Second
	daemon.clock = func() time.Duration { return *now }
	daemon.startedAt = *now
	daemon.knownPeers = []string{"daemon", "next"}
	daemon.followLeader(told)
	return daemon
}

// confirmedWith says whether a new leader takes the pages of the last one of era 1, which has
// stopped, with the answer of one daemon.
func confirmedWith(t *testing.T, daemon *loop, last keys.Leader) bool {
	l := newRestorationLoop(t)
	l.term = kvstore.Position{Era: 2, Version: 60}
	l.startLeading(l.clock())
	reply := make(chan peer.FollowResponse, 1)
	leaderAnnounced{&peer.FollowRequest{Leadership: l.knownLeader}, reply}.apply(daemon)
	response := <-reply
	l.consultation.asked["daemon"] = true
	followDone{address: "daemon", term: l.term, response: &response}.apply(l)
	yieldDone{last, l.term, &peer.YieldResponse{VM: last.VM, Incarnation: last.Incarnation, NewestPages: true}, nil}.apply(l)
	NewWithT(t).Expect(l.consultation.last.Leader).To(Equal(last))
	return l.consultation.confirmed(l.self)
}

func TestRestartedDaemonThatWasToldOfALeaderDoesNotConfirmThatThereWasNoLaterOne(t *testing.T) {
	g := NewWithT(t)
	var now time.Duration
	told := peer.Leadership{Leader: keys.Leader{VM: "last", Incarnation: "last", Address: "127.0.0.1:2"}, Term: kvstore.Position{Era: 1, Version: 50}}
	daemon := newHearer(t, &now, told)
	g.Expect(confirmedWith(t, daemon, told.Leader)).To(BeFalse(), "it may have reported to a later one before its restart")
}

// answerOf has a leader whose last contact to the store was some time ago answer a report.
func (l *loop) answerOf(leader peer.Leadership, contactAgo time.Duration) {
	l.reportPending, l.reportSentAt = true, l.clock()
	clock := 500 * time.Second // The leader's clock differs.
	reportDone{&peer.ReportResponse{Leading: true, KnownLeader: leader, ClockMS: clock.Milliseconds(), ContactMS: (clock - contactAgo).Milliseconds()}, nil}.apply(l)
}

func TestDaemonConfirmsOnceItsLeaderWasInContactAfterItsStart(t *testing.T) {
	g := NewWithT(t)
	var now time.Duration
	told := peer.Leadership{Leader: keys.Leader{VM: "last", Incarnation: "last", Address: "127.0.0.1:2"}, Term: kvstore.Position{Era: 1, Version: 50}}
	daemon := newHearer(t, &now, told)
	now += 2 * time.Second
	daemon.answerOf(told, 3*time.Second)
	g.Expect(confirmedWith(t, daemon, told.Leader)).To(BeFalse(), "a later one may have been elected between")
	daemon = newHearer(t, &now, told)
	now += 2 * time.Second
	daemon.answerOf(told, time.Second)
	g.Expect(confirmedWith(t, daemon, told.Leader)).To(BeTrue())
}

func TestLeaderThatLedOnlyInTheNewEraConfirmsNothingOfTheOneBefore(t *testing.T) {
	g := NewWithT(t)
	var now time.Duration
	told := peer.Leadership{Leader: keys.Leader{VM: "last", Incarnation: "last"}, Term: kvstore.Position{Era: 1, Version: 50}}
	l := newHearer(t, &now, told)
	l.term = kvstore.Position{Era: 2, Version: 60}
	l.startLeading(now)
	g.Expect(l.consultation.informed).To(BeZero())
	g.Expect(l.consultation.last).To(Equal(told), "it is asked to stop")
}

func TestLeaderTellsItsLastContactToTheStore(t *testing.T) {
	g := NewWithT(t)
	l, store := newElectedLoop(t)
	store.pause(true)
	time.Sleep(contactTimeout / 4)
	l.lead()
	response := l.leaderResponse(&peer.Report{VM: "a"})
	g.Expect(response.ContactMS).To(Equal(l.campaign.State().LastContact.Milliseconds()))
	g.Expect(response.ContactMS).To(BeNumerically("<", response.ClockMS))
}

func TestFirstStartIsNoneWhereADaemonWasToldOfALeader(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	l.settings.FirstStart = true
	told := peer.Leadership{Leader: keys.Leader{VM: "last", Incarnation: "last"}, Term: kvstore.Position{Era: 1, Version: 50}}
	server := httptest.NewServer(peer.NewHandler(informedPeer{follow: peer.FollowResponse{FormerLeader: told, MemberCount: 1}}, nil))
	t.Cleanup(server.Close)
	l.term = kvstore.Position{Era: 2, Version: 60}
	l.startLeading(l.clock())
	l.sawRestoration = false // As in a process that has just started.
	g.Expect(l.firstStart()).To(BeTrue())
	l.consultSender(&peer.Report{Address: server.Listener.Addr().String()})
	(<-l.inputs).apply(l)
	g.Expect(l.firstStart()).To(BeFalse())
}
