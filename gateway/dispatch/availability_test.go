package dispatch_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/availability"
	"guavacrank.example/gateway/dispatch"
	"guavacrank.example/traffic/verdict"
)

// respondLeaving responds as a server that is leaving.
func respondLeaving(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Leaving", "1")
	respond(w, r)
}

// turnAway refuses as a server that wants no requests for some time.
func turnAway(after time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("After", after.String())
		refuse(w, r)
	}
}

func TestLeavingServerGetsNoRequestThatAnotherCanTake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, true)
		leaving := f.add("a", respondLeaving)
		f.add("b", respond)
		for leaving.Load() == 0 {
			f.do(time.Second)
		}
		for range 20 {
			f.Expect(f.do(time.Second).Verdict).To(Equal(verdict.Answered))
		}
		f.Expect(leaving.Load()).To(BeEquivalentTo(1))
		f.Expect(f.availability.Counts().KeptFromLeaving).To(BeEquivalentTo(20))
	})
}

func TestLeavingServerGetsRequestsThatNoOtherCanTakeForItsDrainTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, partitioned := range []bool{false, true} {
			f := newFixture(t, true)
			requests := f.add("a", respondLeaving)
			if partitioned {
				f.divideByKey("a")
			}
			f.Expect(f.do(time.Second).Verdict).To(Equal(verdict.Answered))
			f.Expect(f.do(time.Second).Verdict).To(Equal(verdict.Answered))
			f.availability.SetDrainTime(0)
			f.Expect(f.do(time.Second).Verdict).To(Equal(verdict.NotRun))
			f.Expect(requests.Load()).To(BeEquivalentTo(2))
		}
	})
}

func TestServerThatTurnsAwayGetsNoRepeatsNorHedges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, true)
		busy := f.add("a", turnAway(time.Minute))
		other := f.add("b", func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(150 * time.Millisecond) // Longer than the delay of a hedge.
			respond(w, r)
		})
		for busy.Load() == 0 {
			f.Expect(f.do(time.Second).Verdict).To(Equal(verdict.Answered))
		}
		sent := other.Load()
		for range 5 {
			f.Expect(f.do(time.Second).Verdict).To(Equal(verdict.Answered))
		}
		f.Expect(busy.Load()).To(BeEquivalentTo(1))
		f.Expect(other.Load() - sent).To(BeEquivalentTo(5))
	})
}

func TestRequestThatOnlyServersInBackoffCouldTakeIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, partitioned := range []bool{false, true} {
			f := newFixture(t, true)
			first := f.add("a", turnAway(10*time.Second))
			second := f.add("b", turnAway(time.Minute))
			if partitioned {
				f.divideByKey("a")
			}
			f.Expect(f.do(time.Second).Verdict).To(Equal(verdict.NotRun))
			sent := first.Load() + second.Load()
			begin := time.Now()
			for range 20 {
				result := f.do(time.Second)
				f.Expect(result.Code).To(Equal(verdict.CodeServerBackoff))
				f.Expect(result.Avoided).To(ContainElement(dispatch.AvoidedServer{Server: "a", Reason: availability.ReasonBackoff}))
				f.Expect(result.RetryAfter).To(And(BeNumerically(">", 9*time.Second), BeNumerically("<=", 12600*time.Millisecond)), "the earliest end")
			}
			f.Expect(time.Since(begin)).To(BeZero(), "nothing waits")
			f.Expect(first.Load() + second.Load()).To(Equal(sent))
			f.Expect(f.availability.Counts().KeptFromBackoff).To(BeNumerically(">=", 20))
		}
	})
}

func TestServerThatFailedMakesARefusalNoBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, false)
		f.add("a", turnAway(time.Minute))
		f.add("b", refuse)
		f.Expect(f.do(time.Second).Verdict).To(Equal(verdict.NotRun))
		result := f.do(time.Second)
		f.Expect(result.Code).To(Equal(verdict.CodeBusy), "the other server may have room sooner")
		f.Expect(result.RetryAfter).To(BeNumerically("<=", 300*time.Millisecond))
	})
}

func TestResponseOfAnotherServerSaysNothingOfThisOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, true)
		f.add("a", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Is", "other")
			w.Header().Set("Leaving", "1")
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
		})
		f.do(100 * time.Millisecond)
		f.Expect(f.service.Servers[0].Availability.Decide(f.clock(), f.clock())).To(Equal(availability.Available))
	})
}
