package keys_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
	"guavacrank.example/kvstore"
)

// stepped is a machine whose calls a test answers one by one.
type stepped struct {
	*keys.Machine
	now     time.Duration
	version kvstore.Version
}

// tick advances the clock, has the store execute writes, and returns the calls.
func (s *stepped) tick(d time.Duration) keys.Ready {
	s.now += d
	s.Tick(s.now)
	ready := s.Ready()
	if ready.Write != nil {
		s.version++
		s.StepWritten(s.now, ready.Write.Page.WriteID, kvstore.Position{Version: s.version}, nil)
	}
	return ready
}

var _ = Describe("A fencing call to a prior holder that has answered some releases", func() {
	It("leaves their handovers to the next owners", func() {
		servers := make([]model.Server, 3)
		for at, id := range []string{"i-0", "i-1", "i-2"} {
			servers[at] = model.Server{ID: id, Service: "s", Address: id + ":1", Zone: "z", Slots: 6, Born: 1000}
		}
		s := &stepped{Machine: keys.NewMachine(keys.Options{Service: "s", Self: keys.Leader{VM: "a", Incarnation: "a"}, GrantTTL: grantTTL, PredecessorTimeout: predecessorTimeout}), now: time.Second}
		s.Lead(s.now, 0)
		s.StepServers(s.now, servers, true)
		s.StepRead(s.now, nil, kvstore.Position{})
		s.tick(0)
		s.tick(time.Second)
		for _, call := range s.tick(tickInterval).Grants {
			s.StepGranted(s.now, call, keys.Accepted, 1)
		}
		for _, call := range s.tick(grantTTL / 2).Grants {
			outcome := keys.Accepted
			if call.Server == "i-1" {
				outcome = keys.Disconnected // It may be applied late: the next owner waits.
			}
			s.StepGranted(s.now, call, outcome, 1)
		}
		unansweredAt := s.now
		servers[1].Draining = true
		s.StepServers(s.now, servers, true)
		s.tick(100 * time.Millisecond)
		releases := s.tick(tickInterval).Releases
		Expect(len(releases)).To(BeNumerically(">", 1))
		for at, call := range releases {
			if at == 0 {
				s.StepReleased(s.now, call, keys.Released, "token")
				continue
			}
			s.StepReleased(s.now, call, keys.ReleaseUnanswered, "")
		}
		fencing := s.tick(200 * time.Millisecond).Releases
		Expect(fencing).To(HaveLen(1))
		Expect(fencing[0].Fencing).To(BeTrue())
		s.StepReleased(s.now, fencing[0], keys.Released, "other token")
		for s.now < unansweredAt+2*grantTTL {
			for _, call := range s.tick(tickInterval).Grants {
				if call.From == releases[0].From {
					Expect(call.Handover).To(Equal("token"))
					return
				}
				s.StepGranted(s.now, call, keys.Accepted, 1)
			}
		}
		Fail("no grant of the released keys")
	})
})
