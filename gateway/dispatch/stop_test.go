package dispatch_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/dispatch"
	"guavacrank.example/gateway/shutdown"
	"guavacrank.example/traffic/verdict"
)

// beginStop starts a stop at whose end all requests must be answered. Expected
// durations count for half of that time.
func (f *fixture) beginStop(length time.Duration) {
	f.gate.Begin(shutdown.Schedule{EstimatesUntil: f.clock() + length/2, End: f.clock() + length})
}

// expectNotSent expects a refusal of a VM that stops.
func (f *fixture) expectNotSent(result dispatch.Result) {
	f.t.Helper()
	f.Expect(result.Verdict).To(Equal(verdict.NotRun))
	f.Expect(result.Code).To(Equal(verdict.CodeStopping))
	f.Expect(result.RetryAfter).To(BeNumerically("<", 100*time.Millisecond), "other VMs serve it")
}

func TestAStoppingVMSendsNothingThatCannotEndInTime(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(200 * time.Millisecond)
		respond(w, r)
	}

	runOnVirtualClock(t, "sends what is expected to end in time, and what must have by its deadline", func(t *testing.T) {
		f := newFixture(t, false)
		server := f.add("a", respond)
		for range 5 {
			f.Expect(f.do(5 * time.Second).Verdict).To(Equal(verdict.Answered))
		}
		f.beginStop(2 * time.Second)
		f.Expect(f.do(5 * time.Second).Verdict).To(Equal(verdict.Answered))
		time.Sleep(1100 * time.Millisecond)
		sent := server.Load()
		f.expectNotSent(f.do(5 * time.Second))
		f.Expect(server.Load()).To(Equal(sent))
		f.Expect(f.do(500 * time.Millisecond).Verdict).To(Equal(verdict.Answered))
		f.gate.Close()
		f.expectNotSent(f.do(500 * time.Millisecond))
	})

	runOnVirtualClock(t, "sends nothing that is expected to take longer, or of which nothing is known", func(t *testing.T) {
		f := newFixture(t, false)
		server := f.add("a", slow)
		f.beginStop(150 * time.Millisecond)
		f.expectNotSent(f.do(5 * time.Second))
		f.Expect(server.Load()).To(BeZero())
		f.beginStop(time.Hour)
		f.expectNotSent(f.do(2 * time.Hour))
	})

	runOnVirtualClock(t, "sends nothing after a wait for the owner of the key", func(t *testing.T) {
		f := newFixture(t, false)
		f.service.Partitioned = true
		f.route.LatencyObjective = 10 * time.Second
		owner := f.add("owner", respond)
		f.divideByKey("owner")
		for range 5 {
			f.Expect(f.do(5 * time.Second).Verdict).To(Equal(verdict.Answered))
		}
		sent := owner.Load()
		f.service.Page = nil
		f.publish()
		f.beginStop(2 * time.Second)
		time.AfterFunc(time.Second, f.dispatcher.EndWaits)
		time.AfterFunc(1500*time.Millisecond, func() {
			f.divideByKey("owner")
		})
		start := time.Now()
		f.expectNotSent(f.do(5 * time.Second))
		f.Expect(time.Since(start)).To(BeNumerically("<", 1300*time.Millisecond), "refused when it can't end in time any more")
		f.Expect(owner.Load()).To(Equal(sent))
	})

	runOnVirtualClock(t, "sends nothing once more", func(t *testing.T) {
		f := newFixture(t, true)
		f.route.LatencyObjective = time.Minute // No second server before a failure.
		first := new(atomic.Bool)
		fail := func(w http.ResponseWriter, r *http.Request) {
			if first.Load() {
				respond(w, r)
				return
			}
			time.Sleep(700 * time.Millisecond)
			first.Store(true)
			dropConnection(w, r)
		}
		first.Store(true)
		a, b := f.add("a", fail), f.add("b", fail)
		for range 20 {
			f.Expect(f.do(5 * time.Second).Verdict).To(Equal(verdict.Answered))
		}
		first.Store(false)
		sent := a.Load() + b.Load()
		f.beginStop(time.Second)
		result := f.do(5 * time.Second)
		f.Expect(result.Verdict).To(Equal(verdict.MayHaveRun))
		f.Expect(result.Code).To(Equal(verdict.CodeStopping))
		f.Expect(a.Load() + b.Load()).To(Equal(sent + 1))
	})

	runOnVirtualClock(t, "sends nothing to a second server", func(t *testing.T) {
		f := newFixture(t, true)
		a, b := f.add("a", slow), f.add("b", slow)
		f.beginStop(time.Second)
		f.route.LatencyObjective = 100 * time.Millisecond
		time.AfterFunc(20*time.Millisecond, f.gate.Close)
		f.Expect(f.do(900 * time.Millisecond).Verdict).To(Equal(verdict.Answered))
		f.Expect(a.Load() + b.Load()).To(Equal(int64(1)))
	})
}

func TestARequestThatIsInterruptedMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, true)
		f.add("a", block)
		ctx, end := f.gate.Context(context.Background())
		defer end()
		time.AfterFunc(100*time.Millisecond, f.gate.Interrupt)
		result := f.doWith(ctx, time.Minute)
		f.Expect(result.Verdict).To(Equal(verdict.MayHaveRun))
		f.Expect(result.Code).To(Equal(verdict.CodeStopping))
	})
}

func TestStoppingEndsWaits(t *testing.T) {
	runOnVirtualClock(t, "refuses what waits for a handover when this VM stops", func(t *testing.T) {
		f := newFixture(t, false)
		f.add("owner", respond)
		f.beginHandover(3*time.Second, 1)
		time.AfterFunc(200*time.Millisecond, f.dispatcher.EndWaits)
		start := time.Now()
		result := f.do(5 * time.Second)
		f.Expect(result.Verdict).To(Equal(verdict.NotRun))
		f.Expect(result.Code).To(Equal(verdict.CodeNoOwner))
		f.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		start = time.Now()
		f.Expect(f.do(5 * time.Second).Verdict).To(Equal(verdict.NotRun))
		f.Expect(time.Since(start)).To(BeNumerically("<", time.Second), "later ones don't wait")
	})
}
