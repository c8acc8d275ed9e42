package run

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/peer"
)

func TestAQuestionForAVersionBringsNoData(t *testing.T) {
	g := NewWithT(t)
	other, daemon := newTestLoop(t, 3), newTestLoop(t, 0)
	other.configuration, other.record = &model.Configuration{Version: 2}, []byte("{}")
	daemon.configuration = &model.Configuration{Version: 1}
	question := daemon.newFollowerQuery()
	question.OnlyConfiguration, question.OnlyVersion = true, true
	response := other.followerResponse(question)
	g.Expect(response.ConfigurationVersion).To(BeEquivalentTo(2))
	g.Expect(response.Record).To(BeNil())
	g.Expect(response.List).To(BeNil())

	question.OnlyVersion = false
	response = other.followerResponse(question)
	g.Expect(response.Record).NotTo(BeNil())
	g.Expect(response.List).To(BeNil(), "server lists of a whole region would fill the link to the other one")
}

func TestOthersAreAskedOnlyWhileNoFollowerInContactResponds(t *testing.T) {
	g := NewWithT(t)
	l, recorder := newLeaderOfLargeFleet(t, 0)
	l.leading, l.inputs = false, make(chan input, 10)
	l.ready.Store(true)
	address := l.members["0"].address
	l.distribution.Followers, l.knownPeers = []string{"follower"}, []string{"follower", address}
	inContact := followerResponded{address: "follower", response: &peer.ReportResponse{InContact: true}}
	inContact.apply(l)
	g.Consistently(recorder.queries, 100*time.Millisecond).ShouldNot(Receive())
	withoutContact := followerResponded{address: "follower", response: &peer.ReportResponse{}}
	withoutContact.apply(l)
	var query *peer.Report
	g.Eventually(recorder.queries, time.Second).Should(Receive(&query))
	g.Expect(query.OnlyVersion).To(BeTrue())
	g.Expect(query.ToFollower).To(BeTrue())
}

func TestTheFirstDaemonWithANewerConfigurationIsAskedForIt(t *testing.T) {
	g := NewWithT(t)
	l, recorder := newLeaderOfLargeFleet(t, 0)
	l.leading, l.inputs = false, make(chan input, 10)
	l.othersPending, l.othersToAsk = 1, []string{"next"}
	has := otherResponded{address: l.members["0"].address, response: &peer.ReportResponse{ConfigurationVersion: 2}}
	has.apply(l)
	var query *peer.Report
	g.Eventually(recorder.queries, time.Second).Should(Receive(&query))
	g.Expect(query.OnlyVersion).To(BeFalse())
	g.Expect(query.OnlyConfiguration).To(BeTrue())
	g.Expect(l.othersToAsk).To(BeEmpty(), "nobody else is asked")
}
