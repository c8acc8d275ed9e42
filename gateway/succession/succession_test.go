package succession_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/succession"
)

const ms = time.Millisecond

// reporters returns a number of daemons with the same reports.
func reporters(count int, r succession.Reporter) []succession.Reporter {
	var all []succession.Reporter
	for range count {
		all = append(all, r)
	}
	return all
}

func TestMajorityOfALeaderWithoutTheStore(t *testing.T) {
	now := 100 * time.Second
	recent := succession.Reporter{ReportedAt: now, StartedAt: time.Second, Recorded: true, MayBeRecorded: true}
	silent := succession.Reporter{ReportedAt: now - succession.MajorityWindow - ms, MayBeRecorded: true}
	for name, c := range map[string]struct {
		others   []succession.Reporter
		majority bool
	}{
		"alone":                        {nil, true},
		"half of the fleet":            {append(reporters(1, recent), reporters(2, silent)...), false},
		"more than half":               {append(reporters(2, recent), reporters(2, silent)...), true},
		"report on its way too long":   {reporters(2, succession.Reporter{ReportedAt: now, Transit: succession.MajorityWindow + ms, Recorded: true, MayBeRecorded: true}), false},
		"started after the lease":      {reporters(2, succession.Reporter{ReportedAt: now, StartedAt: 99*time.Second + ms, Recorded: true, MayBeRecorded: true}), false},
		"started at the lease's end":   {reporters(2, succession.Reporter{ReportedAt: now, StartedAt: 99 * time.Second, Recorded: true, MayBeRecorded: true}), true},
		"perhaps recorded":             {reporters(2, succession.Reporter{ReportedAt: now, StartedAt: time.Second, MayBeRecorded: true}), false},
		"recorded ones and others":     {append(append(reporters(2, recent), reporters(2, silent)...), reporters(9, succession.Reporter{ReportedAt: now, StartedAt: time.Second})...), true},
		"silent for as long as a loss": {reporters(5, succession.Reporter{ReportedAt: now - succession.MemberTimeout - ms}), true},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(succession.HasMajority(now, 99*time.Second, c.others)).To(Equal(c.majority))
		})
	}
}

func TestMajorityThatHasLeftEarlierLeaders(t *testing.T) {
	g := NewWithT(t)
	election := succession.Election{At: 100 * time.Second, LostLeasesEnd: 103 * time.Second, Fleet: 6}
	counted := succession.Reporter{ReportedAt: 104 * time.Second, LeftAt: 101 * time.Second}
	later := succession.Reporter{ReportedAt: 104 * time.Second, LeftAt: 102 * time.Second}
	_, reported, majority := election.Left(reporters(4, counted))
	g.Expect(majority).To(BeFalse(), "two thirds are not more than two thirds")
	g.Expect(reported).To(Equal(4))
	left, _, majority := election.Left(append(reporters(2, later), reporters(4, counted)...))
	g.Expect(majority).To(BeTrue())
	g.Expect(left).To(Equal(102*time.Second), "the fifth")
	for name, r := range map[string]succession.Reporter{
		"before the election":                 {ReportedAt: 99 * time.Second},
		"before the end of lost leases":       {ReportedAt: 103*time.Second - ms},
		"perhaps sent before the end of them": {ReportedAt: 104 * time.Second, Transit: time.Second + ms},
	} {
		_, _, majority = election.Left(reporters(6, r))
		g.Expect(majority).To(BeFalse(), name)
	}
	election.Recorded = true
	_, _, majority = election.Left(reporters(6, counted))
	g.Expect(majority).To(BeFalse(), "they are not recorded")
	recorded := counted
	recorded.Recorded = true
	_, reported, majority = election.Left(append(reporters(6, counted), reporters(5, recorded)...))
	g.Expect(majority).To(BeTrue())
	g.Expect(reported).To(Equal(5))
	election.Fleet = 0
	_, _, majority = election.Left(reporters(6, counted))
	g.Expect(majority).To(BeFalse(), "the size of the fleet is unknown")
}

func TestEndOfLeadersThatAMajorityHasLeft(t *testing.T) {
	g := NewWithT(t)
	election := succession.Election{At: 100 * time.Second}
	now := 105 * time.Second
	g.Expect(election.StoppedBy(now, 95*time.Second, time.Second, true)).To(Equal(101*time.Second), "their last contact was before the election")
	g.Expect(election.StoppedBy(now, 102*time.Second, time.Second, true)).To(Equal(102*time.Second + succession.MajorityWindow))
	g.Expect(election.StoppedBy(now, 95*time.Second, time.Second, false)).To(Equal(now+succession.MajorityWindow), "a later leader is possible")
}

func TestProofsOfAnEnd(t *testing.T) {
	g := NewWithT(t)
	asked := keys.Leader{VM: "vm", Incarnation: "asked"}
	now := 100 * time.Second
	g.Expect(succession.ProofOf(asked, "vm", "asked")).To(Equal(succession.ProofStopped))
	g.Expect(succession.ProofOf(asked, "vm", "later")).To(Equal(succession.ProofEnded))
	g.Expect(succession.ProofOf(asked, "another", "later")).To(Equal(succession.ProofNone))
	g.Expect(succession.ProofStopped.LastArrival(now, time.Hour)).To(Equal(now + keys.MaxCallDelay))
	g.Expect(succession.ProofEnded.LastArrival(now, 100*ms)).To(Equal(now - 100*ms + keys.MaxCallDelay))
	g.Expect(succession.ProofEnded.LastArrival(now, time.Hour)).To(Equal(now))
	g.Expect(succession.ProofEnded.LastArrival(now, -time.Hour)).To(Equal(now + keys.MaxCallDelay))
}

func TestWitnessesAreAThirdOfTheFleet(t *testing.T) {
	for name, c := range map[string]struct {
		knowledge         succession.Knowledge
		enough, confirmed bool
	}{
		"a third":                        {succession.Knowledge{Members: 12, Asked: 2, Witnesses: 4, PagesKnown: true}, true, true},
		"fewer":                          {succession.Knowledge{Members: 12, Asked: 2, Witnesses: 3, PagesKnown: true}, false, false},
		"more were asked than are known": {succession.Knowledge{Members: 3, Asked: 5, Witnesses: 1, PagesKnown: true}, false, false},
		"fleet unknown":                  {succession.Knowledge{Witnesses: 4, PagesKnown: true}, false, false},
		"pages unknown":                  {succession.Knowledge{Members: 3, Witnesses: 3}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(c.knowledge.Enough()).To(Equal(c.enough))
			g.Expect(c.knowledge.Confirmed()).To(Equal(c.confirmed))
		})
	}
}
