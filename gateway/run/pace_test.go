package run

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestPaceTellsWhatALateLoopDid(t *testing.T) {
	g := NewWithT(t)
	now := time.Duration(0)
	p := newPace(func() time.Duration { return now })
	now += 100 * time.Millisecond
	p.end("waiting")
	_, late := p.tick()
	g.Expect(late).To(BeFalse())

	now += lateAfter
	p.end("lead")
	now += 10 * time.Millisecond
	p.end(activityOf(serversRead{}))
	lateness, late := p.tick()
	g.Expect(late).To(BeTrue())
	g.Expect(lateness.turns).To(Equal(2))
	g.Expect(lateness.activities).To(Equal([]string{"lead 0.500s", "serversRead 0.010s"}))

	now += 100 * time.Millisecond
	p.end("waiting")
	_, late = p.tick()
	g.Expect(late).To(BeFalse(), "each interval counts for itself")
}
