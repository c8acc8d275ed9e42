package run

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/kvstore"
)

// longLease is the TTL of leases in these tests.
const longLease = 4 * time.Second

// rivals are a leader of a lost era, which has lost contact to the store, and the leader of
// the next one, which can't ask it to stop.
type rivals struct {
	now         time.Duration
	first, next *loop
	machine     *keys.Machine // That of next.
}

// newRivals has the store restored at 100 s, 0.1 s after the first leader's last contact.
func newRivals(t *testing.T, daemons []string) *rivals {
	r := &rivals{now: 90 * time.Second}
	r.first, r.next = newRestorationLoop(t), newRestorationLoop(t)
	for _, l := range []*loop{r.first, r.next} {
		l.clock = func() time.Duration { return r.now }
		l.members, l.knownPeers = make(map[string]member), daemons
	}
	r.next.self = keys.Leader{VM: "next", Incarnation: "next"}
	r.first.term = kvstore.Position{Era: 1, Version: 50}
	r.first.startLeading(r.now)
	r.first.leaseEnd = 99900*time.Millisecond + longLease
	r.now = 100 * time.Second
	r.next.term = kvstore.Position{Era: 2, Version: 60}
	r.next.startLeading(r.now)
	r.next.leaseEnd, r.next.leaseTTL = r.now+longLease, longLease
	for _, l := range []*loop{r.first, r.next} {
		l.fleet.StepRead(daemons, 5, 1) // The copy has it, too.
	}
	r.machine = keys.NewMachine(keys.Options{Service: "s", Self: r.next.self, GrantTTL: time.Second, PredecessorTimeout: predecessorTimeout})
	r.next.machines["s"] = r.machine
	r.machine.Lead(r.now, 2)
	r.machine.StepServers(r.now, []model.Server{{ID: "i-1", Address: "a:1", Slots: 4}}, true)
	r.machine.StepRead(r.now, page(keys.Stamp{Era: 1, Number: 9}), kvstore.Position{Era: 2, Version: 30})
	r.machine.StepConsulted(r.now, keys.Consultation{Predecessors: []keys.Leader{unknownLeader}})
	return r
}

// reporter is a daemon that reports to one of the rivals. Only a restart lets it follow the
// first one again.
type reporter struct {
	vm        string
	process   int
	startedAt time.Duration
	follows   *loop
	leaders   int // How many its process has followed.
	answer    peer.ReportResponse
}

func (d *reporter) restart(now time.Duration, follows *loop) {
	*d = reporter{vm: d.vm, process: d.process + 1, startedAt: now, follows: follows, leaders: 1}
}

func (d *reporter) follow(leader *loop) {
	d.follows, d.answer = leader, peer.ReportResponse{}
	d.leaders++
}

func (d *reporter) report(now time.Duration) {
	report := &peer.Report{VM: d.vm, Incarnation: d.vm + strconv.Itoa(d.process), Address: d.vm, Leader: d.follows.knownLeader,
		UptimeMS: (now - d.startedAt).Milliseconds(), FirstLeader: d.leaders == 1, AnsweredAtMS: d.answer.ClockMS}
	if d.answer.ClockMS > 0 {
		report.AnsweredAgoMS = now.Milliseconds() - d.answer.ClockMS
	}
	reply := make(chan peer.ReportResponse, 1)
	reportReceived{report, reply}.apply(d.follows)
	d.answer = <-reply
}

// run has the daemons report every 0.4 s until the given time. It returns whether the first
// leader had a majority after the next one counted on its end.
func (r *rivals) run(daemons []*reporter, until time.Duration, change func(d *reporter)) (both bool) {
	counted := time.Duration(0)
	for at := 0; r.now < until; at, r.now = at+1, r.now+50*time.Millisecond {
		for i, d := range daemons {
			change(d)
			if (at+i)%8 == 0 {
				d.report(r.now)
			}
		}
		r.next.endPredecessorsByMajority(r.now)
		if counted == 0 && len(r.machine.Predecessors()) == 0 {
			counted = r.now + majorityWindow
		}
		both = both || counted > 0 && r.now > counted && r.first.hasMajority(r.now)
	}
	return both
}

func newReporters(vms []string, leader *loop) []*reporter {
	var daemons []*reporter
	for _, vm := range vms {
		daemons = append(daemons, &reporter{vm: vm, follows: leader, leaders: 1})
	}
	return daemons
}

func TestDaemonsThatRestartWithinALostLeaseAreNoMajorityBesideThatOfTheNextEra(t *testing.T) {
	for seed := range uint64(100) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(seed, 1))
		vms := []string{"a", "b", "c", "d", "e"}
		r := newRivals(t, vms)
		daemons := newReporters(vms, r.first)
		turn := r.now + time.Duration(random.IntN(3000))*time.Millisecond
		both := r.run(daemons, r.now+9*time.Second, func(d *reporter) {
			switch {
			case r.now < turn && d.follows == r.first && random.IntN(10) == 0:
				d.follow(r.next)
			case r.now >= turn && d.follows == r.next && random.IntN(20) == 0:
				d.restart(r.now, r.first)
			}
		})
		g.Expect(both).To(BeFalse(), "seed %d", seed)
	}
}

func TestMajorityOfANewEraCountsOnceTheLostLeasesHaveEnded(t *testing.T) {
	g := NewWithT(t)
	vms := []string{"a", "b", "c", "d", "e"}
	r := newRivals(t, vms)
	daemons := newReporters(vms, r.next)
	restored := r.now
	r.run(daemons, restored+longLease, func(*reporter) {})
	g.Expect(r.machine.Predecessors()).NotTo(BeEmpty(), "they may restart and report to the earlier leader")
	r.run(daemons, restored+longLease+time.Second, func(*reporter) {})
	g.Expect(r.machine.Predecessors()).To(BeEmpty())
}
