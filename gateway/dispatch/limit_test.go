package dispatch_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/traffic/verdict"
)

// respondLimited responds as a server that takes one request per second from all VMs.
func respondLimited(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Limit", "1")
	respond(w, r)
}

func TestRequestBeyondTheLimitOfItsOwnerIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, true)
		requests := f.add("a", respondLimited)
		f.divideByKey("a")
		f.Expect(f.do(time.Second).Verdict).To(Equal(verdict.Answered))
		begin := time.Now()
		for range 20 {
			result := f.do(time.Second)
			f.Expect(result.Verdict).To(Equal(verdict.NotRun))
			f.Expect(result.Code).To(Equal(verdict.CodeServerLimit))
			f.Expect(result.RetryAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", 300*time.Millisecond)))
		}
		f.Expect(time.Since(begin)).To(BeZero(), "nothing waits")
		f.Expect(requests.Load()).To(BeEquivalentTo(1))
	})
}

func TestRequestBeyondTheLimitOfAServerGoesToAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, true)
		limited := f.add("a", respondLimited)
		other := f.add("b", respond)
		for limited.Load() == 0 {
			f.do(time.Second)
		}
		sent := limited.Load()
		others := other.Load()
		for range 20 {
			f.Expect(f.do(time.Second).Verdict).To(Equal(verdict.Answered))
		}
		f.Expect(other.Load() - others).To(BeNumerically(">=", 19))
		f.Expect(limited.Load() - sent).To(BeNumerically("<=", 1))
	})
}
