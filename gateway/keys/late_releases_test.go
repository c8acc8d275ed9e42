package keys

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/model"
)

func TestCallsOfARelayedReleaseMayArriveAfterTheAnswerToOneOfThem(t *testing.T) {
	g := NewWithT(t)
	owner := Holder{Incarnation: model.Incarnation{ID: "i-1", Born: 1000}, Address: "i-1:1"}
	call := ReleaseCall{Incarnation: owner.Incarnation, Address: owner.Address, Relayed: true}
	call.To, call.Server = model.Keys-1, owner.ID
	granted := Range{From: 100, To: 200, Owner: owner}
	for outcome, mayArrive := range map[ReleaseOutcome]bool{Released: false, ReleasedByOne: true} {
		m := NewMachine(Options{})
		m.now = 10 * time.Second
		m.sentReleases.add(call)
		m.endRelease(call, outcome)
		g.Expect(m.releaseMayArrive(granted)).To(Equal(mayArrive))
		m.now += time.Minute
		g.Expect(m.releaseMayArrive(granted)).To(BeFalse())
	}
}
