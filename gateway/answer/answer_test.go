package answer_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/answer"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/port"
	"guavacrank.example/traffic/verdict"
)

var (
	idempotentKinds    = []model.Kind{model.Idempotent, model.Download}
	nonIdempotentKinds = []model.Kind{model.NonIdempotent, model.Upload}
	allKinds           = append(append([]model.Kind{}, idempotentKinds...), nonIdempotentKinds...)
	promises           = []int{408, 421, 429, 503}
)

// head is what the headers of a server's response with a status say.
func head(status int, signed, notRun bool) port.ResponseHead {
	return port.ResponseHead{Signed: signed, NotRun: notRun, Misdirected: status == http.StatusMisdirectedRequest}
}

// Guards against a request that has run and whose caller is told that it has not.
func TestNoStatusPromisesNotRunWithoutProof(t *testing.T) {
	g := NewWithT(t)
	for _, kind := range nonIdempotentKinds {
		for status := 200; status < 600; status++ {
			judgment := answer.Judge(kind, status, head(status, true, false))
			g.Expect(judgment == answer.Forwarded).To(Equal(!answer.PromisesNotRun(status)), "%v %d", kind, status)
		}
		for _, status := range promises {
			g.Expect(answer.Judge(kind, status, head(status, true, false))).To(Equal(answer.Unproved), "%v %d", kind, status)
		}
	}
	for _, v := range []verdict.Verdict{verdict.MayHaveRun, verdict.Answered} {
		for _, code := range []verdict.Code{verdict.CodeTimeout, verdict.CodeStopping, verdict.CodeShed, verdict.CodeUnproved, verdict.CodePeer} {
			g.Expect(answer.PromisesNotRun(answer.Status(v, code))).To(BeFalse(), "%v %s", v, code)
		}
	}
}

func TestPromisesNotRun(t *testing.T) {
	g := NewWithT(t)
	var found []int
	for status := 100; status < 1000; status++ {
		if answer.PromisesNotRun(status) {
			found = append(found, status)
		}
	}
	g.Expect(found).To(Equal(promises))
}

func TestJudge(t *testing.T) {
	t.Run("takes a statement that the request has not run for a refusal, whatever the status", func(t *testing.T) {
		g := NewWithT(t)
		for _, kind := range allKinds {
			for _, status := range []int{200, 400, 408, 421, 429, 500, 503} {
				g.Expect(answer.Judge(kind, status, head(status, false, true))).To(Equal(answer.Refused))
				g.Expect(answer.Judge(kind, status, head(status, true, true))).To(Equal(answer.Refused))
			}
		}
	})

	t.Run("takes 421 without a signature for a refusal", func(t *testing.T) {
		g := NewWithT(t)
		for _, kind := range allKinds {
			g.Expect(answer.Judge(kind, 421, head(421, false, false))).To(Equal(answer.Refused))
		}
		for _, kind := range idempotentKinds {
			g.Expect(answer.Judge(kind, 421, head(421, true, false))).To(Equal(answer.Refused), "another server may run it")
		}
	})

	t.Run("takes no other response without a signature for the server's", func(t *testing.T) {
		g := NewWithT(t)
		for _, kind := range allKinds {
			for _, status := range []int{200, 302, 404, 408, 429, 500, 503} {
				g.Expect(answer.Judge(kind, status, head(status, false, false))).To(Equal(answer.Unsigned))
			}
		}
	})

	t.Run("forwards what an idempotent request is answered", func(t *testing.T) {
		g := NewWithT(t)
		for _, kind := range idempotentKinds {
			for _, status := range []int{200, 404, 408, 429, 500, 503} {
				g.Expect(answer.Judge(kind, status, head(status, true, false))).To(Equal(answer.Forwarded))
			}
		}
	})
}

func TestStatus(t *testing.T) {
	g := NewWithT(t)
	g.Expect(answer.Status(verdict.NotRun, verdict.CodeTimeout)).To(Equal(503))
	g.Expect(answer.Status(verdict.NotRun, verdict.CodeShed)).To(Equal(503))
	g.Expect(answer.Status(verdict.MayHaveRun, verdict.CodeTimeout)).To(Equal(504))
	g.Expect(answer.Status(verdict.MayHaveRun, verdict.CodeUnproved)).To(Equal(502))
}
