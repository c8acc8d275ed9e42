package dispatch

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/memory"
)

func TestTheResponseOfALaterHedgedAttemptGivesItsMemoryBack(t *testing.T) {
	g := NewWithT(t)
	account := memory.NewAccount(64 << 20)
	body, err := memory.ReadBody(account.Hold(memory.Responses), strings.NewReader("late"), 4, 4)
	g.Expect(err).NotTo(HaveOccurred())
	over := make(chan struct{})
	close(over)
	finishedAttempt{outcome: outcome{response: &Response{Body: body}}}.deliver(nil, over)
	g.Expect(account.Usage()["responses"].Held).To(BeZero())
}
