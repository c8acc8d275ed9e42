package dispatch_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/budget"
	"guavacrank.example/gateway/dispatch"
	"guavacrank.example/traffic/verdict"
)

func TestDo(t *testing.T) {
	runOnVirtualClock(t, "forwards a complete response", func(t *testing.T) {
		f := newFixture(t, false)
		f.add("a", respond)
		result := f.do(time.Second)
		f.Expect(result.Verdict).To(Equal(verdict.Answered))
		f.Expect(io.ReadAll(result.Response.Body.NewReader())).To(BeEquivalentTo("body"))
		f.Expect(result.Attempts).To(HaveLen(1))
	})

	runOnVirtualClock(t, "tries another server if the first one proves that it did not run the request", func(t *testing.T) {
		f := newFixture(t, false)
		full := f.add("full", refuse)
		f.add("b", respond)
		for range 10 {
			f.Expect(f.do(time.Second).Verdict).To(Equal(verdict.Answered))
		}
		f.Expect(full.Load()).To(BeNumerically("<=", 10))
	})

	runOnVirtualClock(t, "does not retry a non-idempotent request whose response was lost", func(t *testing.T) {
		f := newFixture(t, false)
		first, second := f.add("a", dropConnection), f.add("b", dropConnection)
		result := f.do(time.Second)
		f.Expect(result.Verdict).To(Equal(verdict.MayHaveRun))
		f.Expect(result.RetryAfter).To(BeZero())
		f.Expect(first.Load() + second.Load()).To(Equal(int64(1)))
	})

	runOnVirtualClock(t, "retries an idempotent request up to the route's maximum number of attempts", func(t *testing.T) {
		f := newFixture(t, true)
		first, second, third := f.add("a", dropConnection), f.add("b", dropConnection), f.add("c", dropConnection)
		f.Expect(f.do(time.Second).Verdict).To(Equal(verdict.MayHaveRun))
		f.Expect(first.Load() + second.Load() + third.Load()).To(Equal(int64(2)))
	})

	runOnVirtualClock(t, "does not retry without a retry budget", func(t *testing.T) {
		f := newFixture(t, true)
		f.budget.SetOptions(budget.Options{Window: 10 * time.Second})
		first, second := f.add("a", dropConnection), f.add("b", dropConnection)
		f.Expect(f.do(time.Second).Verdict).To(Equal(verdict.MayHaveRun))
		f.Expect(first.Load() + second.Load()).To(Equal(int64(1)))
	})

	runOnVirtualClock(t, "does not count unreachable servers as attempts, and reports not run if none can be reached", func(t *testing.T) {
		f := newFixture(t, false)
		for _, id := range []string{"a", "b", "c"} {
			f.addAddress(id, id) // Nothing listens there.
		}
		result := f.do(time.Second)
		f.Expect(result.Verdict).To(Equal(verdict.NotRun))
		f.Expect(result.Attempts).To(HaveLen(3))
		f.Expect(result.RetryAfter).To(BeNumerically("~", 300*time.Millisecond, 50*time.Millisecond))
	})

	runOnVirtualClock(t, "hedges a slow idempotent request to a second server and cancels the first attempt", func(t *testing.T) {
		f := newFixture(t, true)
		canceled := make(chan struct{}, 1)
		slow := f.add("slow", func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			canceled <- struct{}{}
		})
		served := f.add("good", respond)
		requests := int64(0)
		for requests < 3 || slow.Load() == 0 { // Without measurements, the first server is random.
			f.Expect(f.do(2 * time.Second).Verdict).To(Equal(verdict.Answered))
			requests++
		}
		f.Expect(served.Load()).To(Equal(requests))
		f.Eventually(canceled, "500ms").Should(Receive())
	})

	runOnVirtualClock(t, "reports not run if the first and the hedged server both prove that they did not run it", func(t *testing.T) {
		f := newFixture(t, true)
		f.route.MaxAttempts = 2
		slowRefusal := func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(250 * time.Millisecond) // Beyond the delay of a hedged request.
			refuse(w, r)
		}
		f.add("a", slowRefusal)
		f.add("b", slowRefusal)
		f.Expect(f.do(2 * time.Second).Verdict).To(Equal(verdict.NotRun))
	})

	runOnVirtualClock(t, "sends a non-idempotent request only once, even if it times out", func(t *testing.T) {
		f := newFixture(t, false)
		first, second := f.add("a", block), f.add("b", block)
		result := f.do(600 * time.Millisecond)
		f.Expect(result.Verdict).To(Equal(verdict.MayHaveRun))
		f.Expect(result.Code).To(Equal(verdict.CodeTimeout))
		f.Expect(first.Load() + second.Load()).To(Equal(int64(1)))
	})

	runOnVirtualClock(t, "cancels the request at the server when the caller disconnects", func(t *testing.T) {
		f := newFixture(t, false)
		canceled := make(chan struct{})
		f.add("a", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done(); close(canceled) })
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		f.Expect(f.doWith(ctx, 5*time.Second).Code).To(Equal(verdict.CodeCallerGone))
		f.Eventually(canceled, "500ms").Should(BeClosed())
	})

	runOnVirtualClock(t, "treats a successful response without a signature as possibly run", func(t *testing.T) {
		f := newFixture(t, false)
		f.add("a", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("from nobody")) })
		f.Expect(f.do(time.Second).Verdict).To(Equal(verdict.MayHaveRun))
	})

	runOnVirtualClock(t, "forwards a server error if no other server responds", func(t *testing.T) {
		f := newFixture(t, true)
		f.add("a", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Proof", "1")
			w.WriteHeader(http.StatusInternalServerError)
		})
		result := f.do(time.Second)
		f.Expect(result.Verdict).To(Equal(verdict.Answered))
		f.Expect(result.Response.Status).To(Equal(http.StatusInternalServerError))
	})

	runOnVirtualClock(t, "does not retry a server whose address is used by another server", func(t *testing.T) {
		f := newFixture(t, true)
		gone := f.add("gone", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Is", "another")
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
		})
		for range 5 {
			f.Expect(f.do(time.Second).Verdict).To(Equal(verdict.NotRun))
		}
		f.Expect(gone.Load()).To(Equal(int64(1)))
	})
}

func TestDoByKey(t *testing.T) {
	runOnVirtualClock(t, "waits until the key has an owner and sends only to that owner", func(t *testing.T) {
		f := newFixture(t, true)
		f.service.Partitioned = true
		owner, other := f.add("owner", respond), f.add("other", respond)
		f.service.Page = page("owner", true)
		f.publish()
		time.AfterFunc(30*time.Millisecond, func() {
			f.divideByKey("owner")
		})
		f.Expect(f.do(time.Second).Verdict).To(Equal(verdict.Answered))
		f.Expect(owner.Load()).To(Equal(int64(1)))
		f.Expect(other.Load()).To(BeZero())
	})

	runOnVirtualClock(t, "reports not run if the key has no owner for too long", func(t *testing.T) {
		f := newFixture(t, true)
		f.service.Partitioned = true
		f.publish()
		start := time.Now()
		result := f.do(2 * time.Second)
		f.Expect(result.Verdict).To(Equal(verdict.NotRun))
		f.Expect(result.Code).To(Equal(verdict.CodeNoOwner))
		f.Expect(time.Since(start)).To(Equal(70*time.Millisecond), "0.35 of the latency objective")
	})

	runOnVirtualClock(t, "waits longer for a handover whose end is known", func(t *testing.T) {
		f := newFixture(t, false)
		owner := f.add("owner", respond)
		f.beginHandover(time.Second, 1)
		time.AfterFunc(400*time.Millisecond, func() {
			f.divideByKey("owner")
		})
		f.Expect(f.do(2 * time.Second).Verdict).To(Equal(verdict.Answered))
		f.Expect(owner.Load()).To(Equal(int64(1)))
	})

	runOnVirtualClock(t, "refuses at once what can't wait for the end of a handover", func(t *testing.T) {
		f := newFixture(t, false)
		f.add("owner", respond)
		f.beginHandover(time.Second, 1)
		start := time.Now()
		f.Expect(f.do(900 * time.Millisecond).Code).To(Equal(verdict.CodeNoOwner))
		f.Expect(time.Since(start)).To(Equal(70*time.Millisecond), "as if nothing was known")
	})

	runOnVirtualClock(t, "lets only as many requests wait as the next owner can run", func(t *testing.T) {
		f := newFixture(t, false)
		f.add("owner", respond)
		f.beginHandover(time.Second, 2)
		time.AfterFunc(500*time.Millisecond, func() {
			f.divideByKey("owner")
		})
		results := make(chan dispatch.Result, 6)
		for range cap(results) {
			go func() { results <- f.do(3 * time.Second) }()
		}
		answered := 0
		for range cap(results) {
			if result := <-results; result.Verdict == verdict.Answered {
				answered++
			} else {
				f.Expect(result.Code).To(Equal(verdict.CodeNoOwner))
			}
		}
		f.Expect(answered).To(Equal(2))
	})

	runOnVirtualClock(t, "sends again to an owner that was full, within the retry budget", func(t *testing.T) {
		f := newFixture(t, false)
		f.service.Partitioned = true
		full := int64(1)
		var owner *atomic.Int64
		owner = f.add("owner", func(w http.ResponseWriter, r *http.Request) {
			if owner.Load() <= full {
				refuse(w, r)
				return
			}
			respond(w, r)
		})
		f.divideByKey("owner")
		f.Expect(f.do(time.Second).Verdict).To(Equal(verdict.Answered))
		f.Expect(owner.Load()).To(Equal(int64(2)))

		f.budget.SetOptions(budget.Options{Window: 10 * time.Second})
		full = 1000
		start := time.Now()
		result := f.do(time.Second)
		f.Expect(result.Verdict).To(Equal(verdict.NotRun))
		f.Expect(result.Code).To(Equal(verdict.CodeShed))
		f.Expect(result.RetryAfter).To(BeNumerically(">", 0))
		f.Expect(time.Since(start)).To(Equal(serviceTime), "a request that may not be sent again is refused at once")
		f.Expect(owner.Load()).To(Equal(int64(3)))
	})
}
