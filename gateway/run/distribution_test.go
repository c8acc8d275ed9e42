package run

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/peer"
)

// newFleetMembers returns the given number of members in each of two zones, and a
// third zone without store followers. The first three of a zone follow the store.
func newFleetMembers(perZone int) (map[string]member, map[string]bool) {
	members, followers := make(map[string]member), make(map[string]bool)
	for _, zone := range []string{"a", "b", "c"} {
		for at := range perZone {
			vm := fmt.Sprintf("%s-%02d", zone, at)
			members[vm] = member{address: vm, zone: zone, capacity: 1}
			followers[vm] = zone != "c" && at < 3
		}
	}
	return members, followers
}

func TestEachDaemonGetsOffersFromTwoFollowers(t *testing.T) {
	g := NewWithT(t)
	members, followers := newFleetMembers(10)
	plan := planDistribution(members, followers, "a-00")
	offers := make(map[string]int)
	for follower, recipients := range plan.recipientsOf {
		g.Expect(follower).NotTo(Equal("a-00"), "the leader sends its own updates")
		g.Expect(recipients).NotTo(ContainElement(follower))
		for _, recipient := range recipients {
			offers[recipient]++
			if members[recipient].zone != "c" {
				g.Expect(members[follower].zone).To(Equal(members[recipient].zone))
			}
		}
	}
	for vm := range members {
		if !followers[vm] {
			g.Expect(offers[vm]).To(Equal(offersPerVM), vm)
		}
	}
	g.Expect(plan.of("a-05", "a").Followers).To(Equal([]string{"a-01", "a-02", "a-00"}), "the leader is asked last")
	g.Expect(plan.of("c-05", "c").Followers).To(HaveLen(6), "a zone without followers uses those of all zones")
}

func TestDistributionIsSentOnceAndAfterTheFleetIsKnown(t *testing.T) {
	g := NewWithT(t)
	l := newTestLoop(t, 0)
	members, followers := newFleetMembers(10)
	l.plan = planDistribution(members, followers, "a-00")
	report := &peer.Report{VM: "a-01", Address: "a-01", Zone: "a", FollowsStore: true}
	l.leadingSince = l.clock() - time.Second
	l.peersAtElection = []string{"a-01"}
	g.Expect(l.distributionFor(report, l.clock())).NotTo(BeNil(), "a daemon without an assignment gets one at once")
	report.Distribution = 1
	g.Expect(l.distributionFor(report, l.clock())).To(BeNil(), "a new leader does not know the fleet yet")
	g.Expect(l.mayFollowStore(report, l.clock())).To(BeTrue(), "until then store followers continue")

	l.leadingSince = l.clock() - activeMemberTimeout
	assigned := l.distributionFor(report, l.clock())
	g.Expect(assigned.Recipients).NotTo(BeEmpty())
	report.Distribution = fingerprint(*assigned)
	g.Expect(l.distributionFor(report, l.clock())).To(BeNil())

	l.plan = distributionPlan{}
	g.Expect(l.distributionFor(report, l.clock())).To(HaveValue(Equal(peer.Distribution{})), "a fleet that has become small needs none")
	g.Expect(fingerprint(peer.Distribution{})).To(BeZero())
}
