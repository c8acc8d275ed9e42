package run

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/leader"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/kvstore"
)

// addresses returns the addresses of so many daemons.
func addresses(prefix string, count int) []string {
	var all []string
	for at := range count {
		all = append(all, fmt.Sprintf("%s%02d", prefix, at))
	}
	return all
}

// newSuccessor returns a loop that has just won an election after the leader "last", and the
// fleet record as it reads it.
func newSuccessor(t *testing.T, recorded []string, era kvstore.Era) (*loop, *keys.Machine) {
	l := newRestorationLoop(t)
	now := 100 * time.Second
	l.clock = func() time.Duration { return now }
	l.members, l.knownPeers = make(map[string]member), recorded
	l.term = kvstore.Position{Era: 1, Version: 60}
	l.startLeading(now)
	l.leaseEnd = now + leader.LeaseTTL
	machine := keys.NewMachine(keys.Options{Service: "s", Self: l.self, GrantTTL: time.Second, PredecessorTimeout: predecessorTimeout})
	l.machines["s"] = machine
	machine.Lead(now, 1)
	machine.StepRead(now, page(keys.Stamp{Era: 1, Number: 9}), kvstore.Position{Era: 1, Version: 30})
	l.fleet.StepRead(recorded, 5, era)
	return l, machine
}

// Guards against two leaders (OWNER): one that is cut off with the majority of its members
// renews on, while daemons that were added since make its successor take it for outvoted.
func TestDaemonsThatWereAddedSinceAreNoMajorityOfTheEarlierLeader(t *testing.T) {
	fleet := addresses("old", 11)
	added := addresses("new", 7)
	for name, c := range map[string]struct {
		reporters []string
		outvoted  bool
	}{
		"three of eleven and seven that were added": {append(fleet[:3:3], added...), false},
		"seven of eleven":            {fleet[:7], false},
		"eight of eleven":            {fleet[:8], true},
		"eight of eleven and others": {append(fleet[:8:8], added...), true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l, machine := newSuccessor(t, fleet, 1)
			for _, address := range c.reporters {
				l.applyReport(&peer.Report{VM: address, Address: address, UptimeMS: 500, FirstLeader: true})
			}
			l.endPredecessorsByMajority(l.clock())
			g.Expect(len(machine.Predecessors()) == 0).To(Equal(c.outvoted))
		})
	}
}

func TestLeaderIsNotTakenForOutvotedBeforeTheFleetRecordIsRead(t *testing.T) {
	g := NewWithT(t)
	fleet := addresses("old", 11)
	l, machine := newSuccessor(t, fleet, 1)
	l.fleet.Begin()
	fleetRead{term: l.term, entry: kvstore.Entry{Value: []byte(`{"era":1,"daemons":["old00"]}`), Version: 5, Era: 2}}.apply(l)
	for _, address := range fleet {
		l.applyReport(&peer.Report{VM: address, Address: address, UptimeMS: 500, FirstLeader: true})
	}
	l.endPredecessorsByMajority(l.clock())
	g.Expect(machine.Predecessors()).NotTo(BeEmpty(), "the store was restored meanwhile")
	fleetRead{term: l.term, entry: kvstore.Entry{Value: []byte(`{"era":1,"daemons":["old00","old01","old02"]}`), Version: 5, Era: 1}}.apply(l)
	l.endPredecessorsByMajority(l.clock())
	g.Expect(machine.Predecessors()).To(BeEmpty())
}

// A record of an earlier era, none, or one that can't be read: earlier leaders may have
// counted by another one.
func TestWithoutAFleetRecordOfTheEraAllDaemonsCount(t *testing.T) {
	fleet := addresses("old", 11)
	for name, read := range map[string]fleetRead{
		"earlier era": {entry: kvstore.Entry{Value: []byte(`{"era":0,"daemons":["old00"]}`), Version: 5, Era: 1}},
		"none":        {err: &kvstore.Error{Kind: kvstore.KindNotFound}},
		"malformed":   {entry: kvstore.Entry{Key: fleetKey, Value: []byte(`{"era":1,"daemons":7}`), Version: 5, Era: 1}},
		"empty":       {entry: kvstore.Entry{Key: fleetKey, Value: []byte(`{"era":1}`), Version: 5, Era: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l, machine := newSuccessor(t, fleet, 1)
			l.ignoredVersions = make(map[string]kvstore.Version)
			l.fleet.Begin()
			read.term = l.term
			read.apply(l)
			for _, address := range append(fleet[:3:3], addresses("new", 5)...) {
				l.applyReport(&peer.Report{VM: address, Address: address, UptimeMS: 500, FirstLeader: true})
			}
			l.endPredecessorsByMajority(l.clock())
			g.Expect(machine.Predecessors()).To(BeEmpty())
		})
	}
}

func TestOnlyALeaderWithoutActivePredecessorsChangesTheFleetRecord(t *testing.T) {
	g := NewWithT(t)
	l, machine := newSuccessor(t, addresses("old", 3), 1)
	g.Expect(l.predecessorsEnded()).To(BeFalse(), "they count by the record")
	machine.PredecessorsEnded(l.clock())
	g.Expect(l.predecessorsEnded()).To(BeTrue())
	l.machines["other"] = keys.NewMachine(keys.Options{Service: "other", Self: l.self})
	g.Expect(l.predecessorsEnded()).To(BeFalse(), "the page of another service was not read")
}
