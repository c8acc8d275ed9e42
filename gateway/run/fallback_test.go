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
	l := newTestLoop(t, 0)
	l.reporting.failures = 1
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
	l.reporting.failures = 0
	g.Expect(l.chooseListReading()).To(Equal(readForZoneIfStale), "a leader that has lost the store may respond with an old list")
}

func TestDirectReadsOfAllDaemonsAreSpread(t *testing.T) {
	g := NewWithT(t)
	l := newTestLoop(t, 0)
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
	follower, daemon := newTestLoop(t, 3), newTestLoop(t, 0)
	follower.listedAt = follower.clock() - time.Second
	response := follower.followerResponse(daemon.newFollowerQuery())
	g.Expect(response.List).NotTo(BeNil())
	daemon.applyFollowerResponse(&response)
	g.Expect(daemon.servers.ofService("s")).To(HaveLen(3))
	g.Expect(daemon.listedAt).To(Equal(follower.listedAt))

	follower.read(follower.servers.ofService("s")...)
	response = follower.followerResponse(daemon.newFollowerQuery())
	g.Expect(response.List).To(BeNil(), "the daemon has this list; only its age is new")
	daemon.applyFollowerResponse(&response)
	g.Expect(daemon.listedAt).To(Equal(follower.listedAt))

	response = daemon.followerResponse(follower.newFollowerQuery())
	g.Expect(response.Changes.Empty()).To(BeTrue())
	follower.read(follower.servers.ofService("s")[:1]...)
	response = daemon.followerResponse(follower.newFollowerQuery())
	g.Expect(response.List).To(BeNil(), "the list is older than that of the sender")
	g.Expect(response.Changes).To(BeNil())
}

func TestDaemonAskedForTheVersionOnlyAddsChangesButNoCompleteList(t *testing.T) {
	g := NewWithT(t)
	other, daemon := newTestLoop(t, 3), newTestLoop(t, 0)
	query := daemon.newFollowerQuery()
	query.OnlyConfiguration, query.OnlyVersion = true, true
	g.Expect(other.followerResponse(query).List).To(BeNil())
	daemon.applyServerList(other.completeList())
	other.read(other.servers.ofService("s")[:1]...)
	query.ListBase = daemon.list.Base()
	g.Expect(other.followerResponse(query).Changes.Removed).To(HaveLen(2))
}

func TestFollowerPassesOnTheLeadersList(t *testing.T) {
	g := NewWithT(t)
	leader, follower := newTestLoop(t, 3), newTestLoop(t, 0)
	follower.applyServerList(leader.completeList())
	passedOn := follower.completeList()
	g.Expect(passedOn.Position).To(Equal(leader.list.Position()), "the daemon continues with the leader's changes")
}

func TestDaemonAsksAFollowerWhileTheLeaderHasNoRecentServerList(t *testing.T) {
	g := NewWithT(t)
	l, recorder := newLeaderOfLargeFleet(t, 1)
	l.leading = false
	l.ready.Store(true)
	l.distribution.Followers = []string{l.members["0"].address}
	l.campaign = leader.New(leader.Options{})
	l.configurationWatcher = newStoreWatcher(nil, "", nil, nil)
	l.servers.availability.SetDrainTime(2 * time.Second)
	now := l.clock()
	listWithAge := func(age time.Duration) *peer.ReportResponse {
		changes := l.changesSince(10)
		changes.Position.Version++
		changes.AgeMS = age.Milliseconds()
		return &peer.ReportResponse{Leading: true, Changes: changes}
	}
	l.applyLeaderResponse(listWithAge(l.maxListAge() - 100*time.Millisecond))
	l.refreshList(now)
	g.Consistently(recorder.queries, 100*time.Millisecond).ShouldNot(Receive())
	l.applyLeaderResponse(listWithAge(l.maxListAge()))
	l.refreshList(now)
	var query *peer.Report
	g.Eventually(recorder.queries, time.Second).Should(Receive(&query))
	g.Expect(query.ToFollower).To(BeTrue())
	g.Expect(query.ListBase).To(Equal(l.list.Base()))
}

// An earlier leader that is a store follower must not take the questions of daemons for
// reports: it would believe that a majority still follows it.
func TestAQuestionToAFollowerIsNoReport(t *testing.T) {
	g := NewWithT(t)
	l := newTestLoop(t, 1)
	l.leading = true
	query := reportReceived{l.newFollowerQuery(), make(chan peer.ReportResponse, 1)}
	query.apply(l)
	response := <-query.reply
	g.Expect(response.Leading).To(BeFalse())
	g.Expect(l.members).To(BeEmpty())
}
