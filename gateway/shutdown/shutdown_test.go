package shutdown

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestARequestThatCannotEndInTimeIsNotStarted(t *testing.T) {
	const second = time.Second
	schedule := Schedule{EstimatesUntil: 2800 * time.Millisecond, End: 5500 * time.Millisecond}
	for name, c := range map[string]struct {
		now, deadline, expected time.Duration
		may                     bool
	}{
		"its deadline is before the end":                    {5 * second, 5400 * time.Millisecond, 0, true},
		"its deadline is the end":                           {5 * second, 5500 * time.Millisecond, 9 * second, true},
		"its deadline is after the end":                     {5 * second, 5600 * time.Millisecond, time.Millisecond, false},
		"it is expected to end in time":                     {second, 11 * second, 4 * second, true},
		"it is expected to end just in time":                {second, 11 * second, 4500 * time.Millisecond, true},
		"it is expected to end too late":                    {second, 11 * second, 4600 * time.Millisecond, false},
		"its duration is unknown":                           {0, 10 * second, 0, false},
		"it is expected to end in time, but comes too late": {2800 * time.Millisecond, 12 * second, time.Millisecond, false},
		"the end is over":                                   {6 * second, 7 * second, time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(schedule.MayStart(c.now, c.deadline, c.expected)).To(Equal(c.may))
		})
	}
}

func TestGate(t *testing.T) {
	g := NewWithT(t)
	gate := NewGate()
	g.Expect(gate.MayStart(time.Hour, 2*time.Hour, 0)).To(BeTrue(), "the VM does not stop")
	gate.Begin(Schedule{EstimatesUntil: time.Second, End: time.Minute})
	g.Expect(gate.MayStart(2*time.Second, time.Minute, 0)).To(BeTrue())
	g.Expect(gate.MayStart(2*time.Second, time.Hour, 0)).To(BeFalse())
	gate.Close()
	g.Expect(gate.MayStart(2*time.Second, time.Minute, 0)).To(BeFalse())
}

func TestInterruptEndsRequestsWithItsCause(t *testing.T) {
	g := NewWithT(t)
	gate := NewGate()
	ctx, end := gate.Context(context.Background())
	defer end()
	ended, endOther := gate.Context(context.Background())
	endOther()
	g.Expect(context.Cause(ended)).To(MatchError(context.Canceled))
	g.Expect(ctx.Err()).NotTo(HaveOccurred())
	gate.Interrupt()
	g.Eventually(ctx.Done()).Should(BeClosed())
	g.Expect(context.Cause(ctx)).To(MatchError(ErrInterrupted))
	late, endLate := gate.Context(context.Background())
	defer endLate()
	g.Eventually(late.Done()).Should(BeClosed())
}
