package run

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A turn of the loop processes an input that takes a millisecond, then leads if that is due.
func TestLongRunsOfTheLeadersWorkDoNotStarveInputs(t *testing.T) {
	for _, run := range []time.Duration{time.Millisecond, 40 * time.Millisecond, 400 * time.Millisecond} {
		g := NewWithT(t)
		var schedule leadSchedule
		processed, runs := 0, 0
		now := time.Duration(0)
		for now < 10*time.Second {
			now += time.Millisecond
			processed++
			if schedule.due(now, 256) {
				began := now
				now += run
				schedule.ran(began, now)
				runs++
			}
		}
		g.Expect(processed).To(BeNumerically(">=", 6000), "runs of %v", run)
		g.Expect(runs).To(BeNumerically(">=", 8), "runs of %v", run)
	}
}

func TestLeaderWorksOnAtOnceWhenNoInputIsQueued(t *testing.T) {
	g := NewWithT(t)
	var schedule leadSchedule
	schedule.ran(time.Second, time.Second+300*time.Millisecond)
	now := time.Second + 300*time.Millisecond
	g.Expect(schedule.due(now, 0)).To(BeTrue())
	g.Expect(schedule.due(now, 1)).To(BeFalse())
	g.Expect(schedule.wait(now, 1)).To(Equal(600 * time.Millisecond))
	schedule.ran(now, now+time.Millisecond)
	g.Expect(schedule.due(now+time.Millisecond, 0)).To(BeFalse())
	g.Expect(schedule.wait(now+time.Millisecond, 0)).To(Equal(leadInterval - time.Millisecond))
}
