package run

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/leader"
	"guavacrank.example/gateway/peer"
)

func TestFirstFollowerOfAZoneReadsTheStoreForAll(t *testing.T) {
	g := NewWithT(t)
	l := newRelayLoop(t, 0)
	l.relay.reportFailures = 1
	g.Expect(l.chooseListReading()).To(Equal(readIfStale), "a daemon without followers to ask reads the store")
	l.distribution.Followers = []string{"first", "second"}
	l.self.Address = "other"
	g.Expect(l.followersToAsk()).To(Equal([]string{"first", "second"}))
	g.Expect(l.chooseListReading()).To(Equal(readNever))
	l.followerFailures = staleThreshold
	g.Expect(l.chooseListReading()).To(Equal(readIfStale), "no follower responds")
	l.followerFailures = 0
	l.self.Address = "second"
	g.Expect(l.followersToAsk()).To(Equal([]string{"first"}))
	g.Expect(l.chooseListReading()).To(Equal(readNever))
	l.self.Address = "first"
	g.Expect(l.followersToAsk()).To(BeEmpty())
	g.Expect(l.chooseListReading()).To(Equal(readForZone))
	l.relay.reportFailures = 0
	g.Expect(l.chooseListReading()).To(Equal(readForZoneIfStale), "a leader that has lost the store may respond with an old list")
}

func TestDirectReadsOfAllDaemonsAreSpread(t *testing.T) {
	g := NewWithT(t)
	l := newRelayLoop(t, 0)
	l.vms.Store(300)
	l.listSize.Store(3000)
	spread := 300 * 3000 * serverRecordBytes / maxFleetServerBytesPerSec * time.Second
	longest := time.Duration(0)
	for range 200 {
		longest = max(longest, l.directReadDelay())
	}
	g.Expect(longest).To(BeNumerically("~", spread, spread/10))
	l.listReading.Store(int32(readForZone))
	g.Expect(l.directReadDelay()).To(BeZero(), "the daemon that reads for its zone reads at once")
	l.vms.Store(12)
	l.listReading.Store(int32(readIfStale))
	l.listSize.Store(40)
	g.Expect(l.directReadDelay()).To(BeNumerically("<", 200*time.Millisecond), "a small fleet needs no spread")
}

func TestFollowerSendsOnlyAMoreRecentServerList(t *testing.T) {
	g := NewWithT(t)
	follower, daemon := newRelayLoop(t, 3), newRelayLoop(t, 0)
	follower.listedAt = follower.clock() - time.Second
	daemon.listedAt = daemon.clock() - time.Second
	g.Expect(follower.followerResponse(daemon.newFollowerQuery()).List).To(BeNil(), "both lists have the same age")

	daemon.listedAt = daemon.clock() - 3*time.Second
	response := follower.followerResponse(daemon.newFollowerQuery())
	g.Expect(response.List).NotTo(BeNil())
	daemon.applyFollowerResponse(&response)
	g.Expect(daemon.servers.ofService("s")).To(HaveLen(3))
	g.Expect(daemon.listedAt).To(Equal(follower.listedAt))

	daemon.listedAt = daemon.clock() - 3*time.Second
	response = follower.followerResponse(daemon.newFollowerQuery())
	g.Expect(response.List).To(BeNil(), "the daemon has this list; only its age is new")
	daemon.applyFollowerResponse(&response)
	g.Expect(daemon.listedAt).To(Equal(follower.listedAt))
}

func TestFollowerPassesOnTheLeadersListUnderItsIdentity(t *testing.T) {
	g := NewWithT(t)
	leader, follower := newRelayLoop(t, 3), newRelayLoop(t, 0)
	leader.relay.update(leader.servers)
	list, err := leader.relay.fullList("leader")
	g.Expect(err).NotTo(HaveOccurred())
	follower.applyServerList(list, 0)
	passedOn, err := follower.newestList()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(passedOn.Source).To(Equal("leader"))
	g.Expect(passedOn.Revision).To(Equal(list.Revision), "the daemon continues with the leader's changes")
}

func TestDaemonAsksAFollowerWhileTheLeaderHasNoRecentServerList(t *testing.T) {
	g := NewWithT(t)
	l, recorder := newLeaderOfLargeFleet(t, 0)
	l.leading = false
	l.distribution.Followers = []string{l.members["0"].address}
	l.campaign = leader.New(leader.Options{})
	l.configurationWatcher = newStoreWatcher(nil, "", nil, nil)
	old := l.relayedListTTL().Milliseconds()
	l.applyLeaderResponse(&peer.ReportResponse{Leading: true, Source: "leader", Revision: 1, Full: true, ListAgeMS: old - 100})
	g.Consistently(recorder.queries, 100*time.Millisecond).ShouldNot(Receive())
	l.applyLeaderResponse(&peer.ReportResponse{Leading: true, Source: "leader", Revision: 1, ListAgeMS: old})
	var query *peer.Report
	g.Eventually(recorder.queries, time.Second).Should(Receive(&query))
	g.Expect(query.ToFollower).To(BeTrue())
}

// An earlier leader that is a store follower must not take the questions of daemons for
// reports: it would believe that a majority still follows it.
func TestAQuestionToAFollowerIsNoReport(t *testing.T) {
	g := NewWithT(t)
	l := newRelayLoop(t, 1)
	l.leading = true
	query := reportReceived{l.newFollowerQuery(), make(chan peer.ReportResponse, 1)}
	query.apply(l)
	response := <-query.reply
	g.Expect(response.Leading).To(BeFalse())
	g.Expect(l.members).To(BeEmpty())
}
