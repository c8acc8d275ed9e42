package run

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/leader"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/gateway/port"
	"guavacrank.example/kvstore"
	"guavacrank.example/traffic/elapsed"
)

// newRestorationLoop returns a loop that knows era 1 of the store.
func newRestorationLoop(t *testing.T) *loop {
	l := newTestLoop(t, 3)
	l.ctx, l.peers = context.Background(), peer.NewClient()
	l.pages = make(map[string]*versionedPage)
	l.machines = make(map[string]*keys.Machine)
	l.yieldPending = make(map[string]bool)
	l.campaign = leader.New(leader.Options{EraOf: recordEra, Clock: l.clock})
	l.configurationWatcher = newStoreWatcher(nil, "", nil, nil)
	l.leaderWatcher = newStoreWatcher(nil, "", nil, nil)
	l.inputs = make(chan input, inputQueueSize)
	l.requestedKeys = newRequestedKeys()
	l.ready.Store(true)
	l.leaderWaitEnded = true
	l.self = keys.Leader{VM: "self", Incarnation: "self", Address: "127.0.0.1:1"}
	l.enterEra(1)
	return l
}

// page returns a page of one range, written by the leader "last".
func page(stamp keys.Stamp) *keys.Page {
	owner := keys.Holder{Incarnation: model.Incarnation{ID: "i-1"}, Address: "a:1", Fence: 3}
	return &keys.Page{Stamp: stamp, Writer: keys.Leader{VM: "last", Incarnation: "last"}, Fence: 3, Ranges: []keys.Range{{To: model.Keys - 1, Owner: owner}}}
}

func encoded(t *testing.T, p *keys.Page) []byte {
	value, err := p.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return value
}

func TestPageOfARestoredStoreDoesNotReplaceANewerOne(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	l.applyPage("s", encoded(t, page(keys.Stamp{Era: 1, Number: 9})))
	restored := watchResult{prefix: pagePrefix, full: true, era: 2, entries: []kvstore.Entry{
		{Key: pagePrefix + "s", Value: encoded(t, page(keys.Stamp{Era: 1, Number: 4})), Version: 900, Era: 2}}}
	restored.apply(l)
	g.Expect(l.pages["s"].page.Stamp).To(Equal(keys.Stamp{Era: 1, Number: 9}))
	l.applyPage("s", encoded(t, page(keys.Stamp{Era: 2, Number: 5})))
	g.Expect(l.pages["s"].page.Stamp).To(Equal(keys.Stamp{Era: 2, Number: 5}), "the first leader of the era has written it")
}

func TestLeaderOfARestoredRecordIsNotFollowed(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	last := peer.Leadership{Leader: keys.Leader{VM: "last", Incarnation: "last"}, Term: kvstore.Position{Era: 1, Version: 50}}
	l.followLeader(last)
	earlier := encodeLeader(keys.Leader{VM: "earlier", Incarnation: "earlier"}, 1)
	watchResult{prefix: leaderKey, full: true, era: 2, entries: []kvstore.Entry{{Key: leaderKey, Value: earlier, Version: 20, Era: 2}}}.apply(l)
	g.Expect(l.knownLeader).To(Equal(last))
	next := encodeLeader(keys.Leader{VM: "next", Incarnation: "next"}, 2)
	watchResult{prefix: leaderKey, era: 2, entries: []kvstore.Entry{{Key: leaderKey, Value: next, Version: 30, Era: 2}}}.apply(l)
	g.Expect(l.knownLeader.Leader.VM).To(Equal("next"), "its version is lower than that of the lost record")
	g.Expect(l.leaderBefore(2)).To(Equal(last))
}

func TestResultOfAnEarlierEraIsIgnored(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	l.enterEra(2)
	late := encodeLeader(keys.Leader{VM: "late", Incarnation: "late"}, 1)
	watchResult{prefix: leaderKey, full: true, era: 1, entries: []kvstore.Entry{{Key: leaderKey, Value: late, Version: 99, Era: 1}}}.apply(l)
	g.Expect(l.knownLeader.Leader.VM).To(BeEmpty())
}

func TestDepartedServerOfARestoredListGetsNoRequests(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	table := l.servers
	table.settings.HeartbeatInterval = 500 * time.Millisecond
	listed := table.ofService("s")
	now := l.clock()
	for range 2 {
		now += leaderServerPollInterval
		table.update(now, listed[:2], false)
	}
	left := listed[2].Incarnation()
	table.storeRestored(now)
	table.update(now+leaderServerPollInterval, listed, false)
	g.Expect(table.ofService("s")).To(HaveLen(2), "the record is that of the copy")
	table.update(now+expiryHeartbeats*table.settings.HeartbeatInterval, listed, false)
	g.Expect(table.ofService("s")).To(HaveLen(3), "it did not expire: the server is alive")

	table.update(now+20*time.Second, listed[:2], false)
	table.update(now+20*time.Second+leaderServerPollInterval, listed[:2], false)
	table.storeRestored(now + 24*time.Second)
	table.returned(left)
	table.update(now+24*time.Second, listed, false)
	g.Expect(table.ofService("s")).To(HaveLen(3), "the server has written its record since")
}

func TestServerMissingFromARestoredListIsKeptUntilItReappears(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	listed := l.servers.ofService("s")
	now := l.clock() + leaderServerPollInterval
	l.servers.storeRestored(now)
	l.servers.update(now, listed[:1], false)
	g.Expect(l.servers.available("s", model.Service{}, 1)).To(HaveLen(3))
	l.servers.update(now+reappearTime, listed[:1], false)
	g.Expect(l.servers.available("s", model.Service{}, 1)).To(HaveLen(1))
}

// eraStore answers watches in a later era than that of its list.
type eraStore struct {
	port.Store
	lists chan kvstore.Position
}

func (s eraStore) List(context.Context, string) ([]kvstore.Entry, kvstore.Position, error) {
	position := kvstore.Position{Era: 1, Version: 40}
	s.lists <- position
	return nil, position, nil
}

func (s eraStore) Changes(_ context.Context, _ string, after kvstore.Version, _ time.Duration) ([]kvstore.Entry, kvstore.Position, error) {
	return []kvstore.Entry{{Key: "k", Version: after + 1, Era: 2}}, kvstore.Position{Era: 2, Version: after + 1}, nil
}

func TestWatchThatContinuesInAnotherEraListsAgain(t *testing.T) {
	g := NewWithT(t)
	store := eraStore{lists: make(chan kvstore.Position, 10)}
	results := make(chan input, 100)
	w := newStoreWatcher(store, "k", func(in input) { results <- in }, elapsed.Now)
	w.setActive(true)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go w.run(ctx)
	g.Eventually(store.lists, time.Second).Should(Receive())
	g.Eventually(store.lists, time.Second).Should(Receive(), "changes since the list are unknown")
	for len(results) > 0 {
		g.Expect((<-results).(watchResult).full).To(BeTrue(), "changes of the other era are not delivered")
	}
}

// informedPeer answers announcements and requests to yield.
type informedPeer struct {
	recordingPeer
	follow peer.FollowResponse
	yield  peer.YieldResponse
}

func (p informedPeer) Follow(context.Context, *peer.FollowRequest) (*peer.FollowResponse, error) {
	return &p.follow, nil
}

func (p informedPeer) Yield(context.Context, *peer.YieldRequest) (*peer.YieldResponse, error) {
	return &p.yield, nil
}

// consult has a loop lead in era 2 with one other daemon, and returns whether the pages
// of a service were confirmed.
func consult(t *testing.T, l *loop, answers informedPeer) bool {
	g := NewWithT(t)
	server := httptest.NewServer(peer.NewHandler(answers, nil))
	t.Cleanup(server.Close)
	l.knownPeers = []string{server.Listener.Addr().String()}
	l.machines["s"] = keys.NewMachine(keys.Options{Service: "s", Self: l.self, GrantTTL: time.Second})
	l.term = kvstore.Position{Era: 2, Version: 60}
	l.startLeading(l.clock())
	l.machines["s"].StepRead(l.clock(), page(keys.Stamp{Era: 1, Number: 4}), kvstore.Position{Era: 2, Version: 30})
	l.consultation.waiting["s"] = true
	for deadline := time.Now().Add(5 * time.Second); len(l.consultation.waiting) > 0; {
		g.Expect(time.Now().Before(deadline)).To(BeTrue())
		select {
		case in := <-l.inputs:
			in.apply(l)
		case <-time.After(10 * time.Millisecond):
		}
		l.decideConsultation(l.clock())
	}
	return l.consultationResult("s", l.consultation.confirmed(l.self)).Confirmed
}

func TestFirstLeaderOfAnEraTakesThePagesOfTheLastOne(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	last := keys.Leader{VM: "last", Incarnation: "last"}
	answers := informedPeer{follow: peer.FollowResponse{Witness: true, FormerLeader: peer.Leadership{Leader: last, Term: kvstore.Position{Era: 1, Version: 50}}}}
	server := httptest.NewServer(peer.NewHandler(informedPeer{yield: peer.YieldResponse{Incarnation: "last", NewestPages: true,
		Pages: []peer.StoredPage{{Service: "s", Page: encoded(t, page(keys.Stamp{Era: 1, Number: 9}))}}}}, nil))
	t.Cleanup(server.Close)
	answers.follow.FormerLeader.Leader.Address = server.Listener.Addr().String()
	g.Expect(consult(t, l, answers)).To(BeTrue())
	g.Expect(l.machines["s"].Page().Stamp).To(Equal(keys.Stamp{Era: 1, Number: 9}))
}

func TestFirstLeaderOfAnEraDoesNotTrustACopyWhoseLeaderHasEnded(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	last := keys.Leader{VM: "last", Incarnation: "last"}
	answers := informedPeer{follow: peer.FollowResponse{Witness: true, FormerLeader: peer.Leadership{Leader: last, Term: kvstore.Position{Era: 1, Version: 50}}}}
	server := httptest.NewServer(peer.NewHandler(informedPeer{yield: peer.YieldResponse{Incarnation: "another process"}}, nil))
	t.Cleanup(server.Close)
	answers.follow.FormerLeader.Leader.Address = server.Listener.Addr().String()
	g.Expect(consult(t, l, answers)).To(BeFalse())
}

func TestLeaderTakesANewerConfigurationFromADaemon(t *testing.T) {
	g := NewWithT(t)
	l, recorder := newLeaderOfLargeFleet(t, 0)
	l.inputs = make(chan input, 10)
	l.configuration = &model.Configuration{Version: 9}
	l.configurationWatcher = newStoreWatcher(nil, "", nil, nil)
	report := &peer.Report{VM: "0", Address: l.members["0"].address, ConfigurationVersion: 12}
	l.learnNewerVersion(report)
	l.learnNewerVersion(report)
	g.Eventually(recorder.queries, time.Second).Should(Receive(HaveField("ToFollower", true)))
	g.Consistently(recorder.queries, 100*time.Millisecond).ShouldNot(Receive(), "one call at a time")
}

func TestRecordOfARestoredStoreInformsOfNoLeader(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	earlier := encodeLeader(keys.Leader{VM: "earlier", Incarnation: "earlier"}, 1)
	watchResult{prefix: leaderKey, full: true, era: 2, entries: []kvstore.Entry{{Key: leaderKey, Value: earlier, Version: 20, Era: 2}}}.apply(l)
	g.Expect(l.leaderBefore(2).Leader.Incarnation).To(BeEmpty(), "a later leader may be lost with the copy")
}

func TestLeaderThatKnowsNobodyAsksTheSendersOfReports(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	l.machines["s"] = keys.NewMachine(keys.Options{Service: "s", Self: l.self, GrantTTL: time.Second})
	l.term = kvstore.Position{Era: 2, Version: 60}
	l.startLeading(l.clock())
	l.consultation.waiting["s"] = true
	l.decideConsultation(l.clock())
	g.Expect(l.consultation.waiting).To(HaveKey("s"), "nobody could be asked yet")

	last := keys.Leader{VM: "last", Incarnation: "last"}
	settled := informedPeer{recordingPeer{make(chan *peer.SpreadRequest, 1), make(chan *peer.Report, 1)}, peer.FollowResponse{},
		peer.YieldResponse{Incarnation: "last", NewestPages: true}}
	server := httptest.NewServer(peer.NewHandler(&settled, nil))
	t.Cleanup(server.Close)
	last.Address = server.Listener.Addr().String()
	settled.follow = peer.FollowResponse{Witness: true, FormerLeader: peer.Leadership{Leader: last, Term: kvstore.Position{Era: 1, Version: 50}}, MemberCount: 2}
	l.consultSender(&peer.Report{Address: last.Address})
	for deadline := time.Now().Add(5 * time.Second); len(l.consultation.waiting) > 0; {
		g.Expect(time.Now().Before(deadline)).To(BeTrue())
		(<-l.inputs).apply(l)
	}
	g.Expect(l.consultation.confirmed(l.self)).To(BeTrue())
}

func TestFewInformedDaemonsOfALargeFleetConfirmNothing(t *testing.T) {
	g := NewWithT(t)
	c := consultation{asked: map[string]bool{"a": false, "b": false}, informed: 2, members: 12, lastYielded: true}
	g.Expect(c.confirmed(keys.Leader{VM: "self"})).To(BeFalse(), "another leader may have had the others")
	c.informed = 4
	g.Expect(c.confirmed(keys.Leader{VM: "self"})).To(BeTrue())
	c.members = 0
	g.Expect(c.confirmed(keys.Leader{VM: "self"})).To(BeFalse(), "nobody knows the size of the fleet")
}
