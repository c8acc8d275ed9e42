package dispatch_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/model"
	"guavacrank.example/traffic/verdict"
)

// promisingStatuses are those that callers take for the promise that a request has not run.
var promisingStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// failWith answers a request that the server has begun to run.
func failWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Proof", "1")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

// Guards against REFUSED: a server begins a non-idempotent request, fails it with a status
// that promises that it has not run, and the caller gets that status and sends it again.
func TestStatusWithoutProofDoesNotReachTheCallerOfANonIdempotentRequest(t *testing.T) {
	for _, kind := range []model.Kind{model.NonIdempotent, model.Upload} {
		for _, status := range promisingStatuses {
			for _, keyed := range []bool{false, true} {
				for _, size := range []int{0, 100 << 10} {
					runOnVirtualClock(t, fmt.Sprintf("%v, %d, by key %t, body of %d bytes", kind, status, keyed, size), func(t *testing.T) {
						f := newFixture(t, false)
						f.route.Kind = kind
						requests := f.add("a", failWith(status, strings.Repeat("x", size)))
						if keyed {
							f.divideByKey("a")
						} else {
							f.add("b", failWith(status, ""))
						}
						before := requests.Load()
						for requests.Load() == before {
							result := f.do(time.Second)
							f.Expect(result.Verdict).To(Equal(verdict.MayHaveRun))
							f.Expect(result.Code).To(Equal(verdict.CodeUnproved))
							f.Expect(result.Response).To(BeNil())
							f.Expect(result.RetryAfter).To(BeZero())
							f.Expect(result.Attempts).To(HaveLen(1), "it may have run")
							f.Expect(result.Attempts[0].Status).To(Equal(status), "for the log")
							f.Expect(result.Attempts[0].Cause).NotTo(BeEmpty(), "for the log")
						}
					})
				}
			}
		}
	}
}

// Guards against a fix that takes from callers what a server has said.
func TestOtherFailuresOfAServerReachTheCallerUnchanged(t *testing.T) {
	for _, status := range []int{400, 404, 409, 425, 500, 502, 504} {
		runOnVirtualClock(t, fmt.Sprint(status), func(t *testing.T) {
			f := newFixture(t, false)
			f.add("a", failWith(status, "why"))
			result := f.do(time.Second)
			f.Expect(result.Verdict).To(Equal(verdict.Answered))
			f.Expect(result.Response.Status).To(Equal(status))
			f.Expect(result.Response.Header.Get("Proof")).To(Equal("1"))
		})
	}
}

func TestIdempotentRequestWhoseServersFail(t *testing.T) {
	for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		runOnVirtualClock(t, fmt.Sprintf("gets %d as the server gave it", status), func(t *testing.T) {
			f := newFixture(t, true)
			f.add("a", failWith(status, "why"))
			result := f.do(time.Second)
			f.Expect(result.Verdict).To(Equal(verdict.Answered))
			f.Expect(result.Response.Status).To(Equal(status))
			f.Expect(result.Response.Header.Get("Proof")).To(Equal("1"))
		})
		runOnVirtualClock(t, fmt.Sprintf("gets %d after a hedged attempt", status), func(t *testing.T) {
			f := newFixture(t, true)
			slowly := func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(300 * time.Millisecond)
				failWith(status, "why")(w, r)
			}
			f.add("a", slowly)
			f.add("b", slowly)
			result := f.do(2 * time.Second)
			f.Expect(result.Verdict).To(Equal(verdict.Answered))
			f.Expect(result.Response.Status).To(Equal(status))
		})
	}
	runOnVirtualClock(t, "is sent to another server after a 503", func(t *testing.T) {
		f := newFixture(t, true)
		failing := f.add("a", failWith(http.StatusServiceUnavailable, ""))
		f.add("b", respond)
		for failing.Load() == 0 {
			result := f.do(time.Second)
			f.Expect(result.Response.Status).To(Equal(http.StatusOK))
		}
	})
	runOnVirtualClock(t, "is sent to another server after a 421", func(t *testing.T) {
		f := newFixture(t, true)
		failing := f.add("a", failWith(http.StatusMisdirectedRequest, ""))
		f.add("b", respond)
		for failing.Load() == 0 {
			result := f.do(time.Second)
			f.Expect(result.Response.Status).To(Equal(http.StatusOK))
		}
	})
}
