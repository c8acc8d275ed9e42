package limit

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestServerWithoutLimitGetsAllRequests(t *testing.T) {
	g := NewWithT(t)
	a := &Admission{}
	a.Observe(time.Second, false, 0)
	for range 100 {
		g.Expect(a.Admit(time.Second, 12)).To(BeTrue())
	}
	_, relevant := a.TakeObservation(2 * time.Second)
	g.Expect(relevant).To(BeFalse(), "a server that never named a limit is not reported")
}

func TestOlderObservationOfAnotherVMChangesNothing(t *testing.T) {
	g := NewWithT(t)
	a := &Admission{}
	now := 10 * time.Second
	a.Observe(now, true, 5)
	a.Apply(now, now+time.Second, Allotment{Limited: false, AgeMS: 500})
	_, limited := a.Limit()
	g.Expect(limited).To(BeTrue())
	a.Apply(now+time.Second, now+2*time.Second, Allotment{Limited: true, Rate: 2, AgeMS: 100})
	rate, _ := a.Limit()
	g.Expect(rate).To(Equal(2.0))
}

func TestEndOfALimitIsReportedForSomeTime(t *testing.T) {
	g := NewWithT(t)
	a := &Admission{}
	a.Observe(time.Second, true, 5)
	a.Observe(2*time.Second, false, 0)
	observation, relevant := a.TakeObservation(3 * time.Second)
	g.Expect(relevant).To(BeTrue())
	g.Expect(observation.Limited).To(BeFalse())
	g.Expect(observation.AgeMS).To(BeEquivalentTo(1000))
	_, relevant = a.TakeObservation(2*time.Second + endedMemory)
	g.Expect(relevant).To(BeFalse())
}

func TestRetryAfterIsTheTimeToTheNextRequest(t *testing.T) {
	g := NewWithT(t)
	a := &Admission{}
	now := 10 * time.Second
	a.Observe(now, true, 4/usableShare)
	g.Expect(a.RetryAfter(now, 8)).To(BeNumerically("~", 2*time.Second, time.Millisecond), "an eighth of 4 requests per second")
	a.Observe(now, true, 100_000)
	g.Expect(a.RetryAfter(now, 1)).To(Equal(minRetryAfter))
	a.Observe(now, true, 0)
	g.Expect(a.RetryAfter(now, 1)).To(Equal(10*time.Second), "a server that takes none is asked again from time to time")
}

func TestVMWithoutARecentShareSendsNoBurst(t *testing.T) {
	g := NewWithT(t)
	a := &Admission{random: rand.New(rand.NewPCG(1, 1))}
	now, until := 10*time.Second, 20*time.Second
	a.Observe(now, true, 100)
	a.Apply(now, until, Allotment{Limited: true, Rate: 100, Decided: true, Share: 0.5})
	g.Expect(a.Admit(until, 1)).To(BeFalse(), "the share has used the VM's part up to now")
	g.Expect(a.Admit(until+time.Second, 1)).To(BeTrue())
}
