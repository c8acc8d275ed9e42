package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// window is the time over which the requests are compared with the limit: at most
	// overrun times what it allows, and slack more.
	window  = 4 * time.Second
	overrun = 1.5
	slack   = 5
	// bindingAfter is the time after the first naming of a limit from which it binds.
	bindingAfter = 4 * time.Second
	// informedAfter is how long a VM may send after its first response with a limit
	// before its requests count.
	informedAfter = 500 * time.Millisecond
	// step is the resolution of the simulation, roundTrip a server's response time.
	step      = 5 * time.Millisecond
	roundTrip = 60 * time.Millisecond
)

// fleet simulates VMs that send requests to one server, and their reports to a leader.
type fleet struct {
	random     *rand.Rand // Of the requests and reports.
	admissions *rand.Rand // Of the VMs' admissions.
	now        time.Duration
	vms        []*simulatedVM
	allocator  *Allocator
	leaderLost bool
	interval   time.Duration
	limited    bool
	rate       float64
	// responses are on their way to VMs. counted are the times of the requests from
	// informed VMs, since the limit binds.
	responses []simulatedResponse
	counted   []time.Duration
	namedAt   time.Duration
	offered   int
	sent      int
}

type simulatedVM struct {
	admission  *Admission
	nextReport time.Duration
	demand     float64 // Requests per second.
	informedAt time.Duration
	informed   bool
}

type simulatedResponse struct {
	at      time.Duration
	vm      *simulatedVM
	limited bool
	rate    float64
}

// newFleet returns a fleet whose VMs have uneven parts of the demand.
func newFleet(seed uint64, vms int, demand float64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), admissions: rand.New(rand.NewPCG(seed, 2)), allocator: NewAllocator()}
	f.interval = max(400*time.Millisecond, time.Duration(vms)*8*time.Millisecond)
	for range vms {
		f.addVM(demand / float64(vms) * 2 * f.random.Float64())
	}
	return f
}

func (f *fleet) addVM(demand float64) {
	f.vms = append(f.vms, &simulatedVM{admission: &Admission{random: f.admissions}, demand: demand, nextReport: f.now + time.Duration(f.random.Int64N(int64(f.interval)))})
}

// name makes the server name a limit.
func (f *fleet) name(rate float64) {
	if !f.limited {
		f.namedAt = f.now
	}
	f.limited, f.rate = true, rate
}

// scale multiplies the demand on all VMs.
func (f *fleet) scale(factor float64) {
	for _, vm := range f.vms {
		vm.demand *= factor
	}
}

// run advances the simulation.
func (f *fleet) run(duration time.Duration) {
	for end := f.now + duration; f.now < end; f.now += step {
		f.deliver()
		for _, vm := range f.vms {
			f.report(vm)
			if f.random.Float64() < vm.demand*step.Seconds() {
				f.request(vm)
			}
		}
	}
}

func (f *fleet) deliver() {
	for len(f.responses) > 0 && f.responses[0].at <= f.now {
		r := f.responses[0]
		f.responses = f.responses[1:]
		r.vm.admission.Observe(f.now, r.limited, r.rate)
		if r.limited && !r.vm.informed {
			r.vm.informed, r.vm.informedAt = true, f.now
		}
	}
}

func (f *fleet) report(vm *simulatedVM) {
	if f.now < vm.nextReport {
		return
	}
	vm.nextReport = f.now + f.interval + time.Duration(f.random.Int64N(int64(f.interval/4)))
	observation, relevant := vm.admission.TakeObservation(f.now)
	if f.leaderLost {
		return
	}
	if relevant {
		observation.Server = "s"
		f.allocator.Step(f.now, observation)
	}
	for _, allotment := range f.allocator.Allotments(f.now, f.interval) {
		vm.admission.Apply(f.now, f.now+Validity(f.interval), allotment)
	}
}

func (f *fleet) request(vm *simulatedVM) {
	f.offered++
	if !vm.admission.Admit(f.now, len(f.vms)) {
		return
	}
	f.sent++
	f.responses = append(f.responses, simulatedResponse{f.now + roundTrip, vm, f.limited, f.rate})
	if f.limited && f.now >= f.namedAt+bindingAfter && vm.informed && f.now >= vm.informedAt+informedAfter {
		f.counted = append(f.counted, f.now)
	}
}

// mostCounted returns the highest number of counted requests in any window.
func (f *fleet) mostCounted() int {
	most, first := 0, 0
	for last, at := range f.counted {
		for at-f.counted[first] > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func allowed(rate float64) int { return int(overrun*rate*window.Seconds()) + slack }

// Seeds 1 to 12 for each case; each case is a fleet size with a limit and a demand.
func TestAllVMsTogetherStayWithinTheLimit(t *testing.T) {
	cases := []struct {
		vms          int
		rate, demand float64
	}{
		{1, 3, 20}, {12, 1, 8}, {12, 3, 12}, {12, 5.3, 60}, {12, 20, 30}, {68, 4, 15}, {96, 1, 15}, {96, 8, 40}, {295, 1, 5}, {295, 3, 8}, {295, 12, 60},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d VMs, limit %v, demand %v", c.vms, c.rate, c.demand), func(t *testing.T) {
			g := NewWithT(t)
			useful, used := 0.0, 0.0
			for seed := range uint64(12) {
				f := newFleet(seed+1, c.vms, c.demand)
				f.run(5 * time.Second)
				f.name(c.rate)
				f.run(10 * time.Second)
				offered, sent := f.offered, f.sent
				f.run(20 * time.Second)
				g.Expect(f.mostCounted()).To(BeNumerically("<=", allowed(c.rate)), "seed %d", seed+1)
				useful += min(c.rate*20, float64(f.offered-offered))
				used += float64(f.sent - sent)
			}
			g.Expect(used).To(BeNumerically(">=", useful/2), "half of what the limits allow is used at least")
		})
	}
}

func TestLimitHoldsWhileDemandGrowsAndTheLeaderIsLost(t *testing.T) {
	for vms, seeds := range map[int]uint64{3: 2000, 12: 2000, 96: 12, 295: 12} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			g := NewWithT(t)
			for seed := range seeds {
				f := newFleet(seed+1, vms, 12)
				f.run(3 * time.Second)
				f.name(4)
				f.run(8 * time.Second)
				f.scale(2)
				f.run(6 * time.Second)
				f.leaderLost = true
				f.run(8 * time.Second)
				f.leaderLost, f.allocator = false, NewAllocator() // Another leader.
				for range vms / 3 {
					f.addVM(0.1)
				}
				f.run(10 * time.Second)
				g.Expect(f.mostCounted()).To(BeNumerically("<=", allowed(4)), "seed %d", seed+1)
			}
		})
	}
}

func TestLimitThatEndsIsLiftedOnAllVMs(t *testing.T) {
	for _, vms := range []int{1, 12, 96, 295} {
		t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(7, vms, 30)
			f.name(2)
			f.run(12 * time.Second)
			f.limited = false
			f.run(3*f.interval + 4*time.Second)
			offered, sent := f.offered, f.sent
			f.run(5 * time.Second)
			g.Expect(f.sent-sent).To(Equal(f.offered-offered), "all requests are sent again")
		})
	}
}

func TestLowerLimitTakesEffectOnAllVMs(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(12) {
		f := newFleet(seed+1, 12, 60)
		f.name(20)
		f.run(10 * time.Second)
		f.name(4)
		f.run(2 * f.interval)
		f.counted = nil
		f.run(15 * time.Second)
		g.Expect(f.mostCounted()).To(BeNumerically("<=", allowed(4)), "seed %d", seed+1)
	}
}
