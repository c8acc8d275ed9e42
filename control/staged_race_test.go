package control_test

import (
	"testing"
	"time"

	"guavacrank.example/control"
	"guavacrank.example/control/controltest"
)

// stagedRace is a race that random faults rarely trigger. It is run with a range
// of delays.
type stagedRace struct {
	rule              control.Rule
	first, last, step time.Duration
	inject            func(f *controltest.Fleet, delay time.Duration)
}

var stagedRaces = []stagedRace{
	// A former grantor that is wrongly suspected renews a server's grant, while
	// the new grantor loses its connection to the server before it has
	// presented its term.
	{control.RuleFence, 460 * time.Millisecond, 620 * time.Millisecond, 4 * time.Millisecond, func(f *controltest.Fleet, delay time.Duration) {
		grantor := f.Grantor(recipes, "s0")
		f.MaxJitter = 30 * time.Millisecond // Widens the window of the race.
		for _, vm := range f.VMs {
			if vm.Name != grantor {
				f.Partition(grantor, vm.Name)
			}
		}
		f.Partition(grantor, controltest.StoreName)
		f.After(delay, func() {
			for _, vm := range f.VMs {
				if vm.Name != grantor {
					f.Partition(vm.Name, "s0")
				}
			}
		})
	}},
	// A paused grantor that is partitioned reaches a restarted server, which
	// does not know the higher term that its previous process accepted.
	{control.RuleConfirmPage, time.Second, 3 * time.Second, time.Second, func(f *controltest.Fleet, delay time.Duration) {
		stale := f.VM(f.Grantor(recipes, "s0"))
		stale.Pause()
		f.Partition(stale.Name, controltest.StoreName)
		for _, vm := range f.VMs {
			f.Partition(vm.Name, stale.Name)
		}
		f.Run(delay + time.Second)
		f.Server("s0").Lost = true
		f.Run(4 * time.Second)
		for _, vm := range f.VMs {
			if vm != stale {
				f.Partition(vm.Name, "s0")
			}
		}
		f.Server("s0").Restart()
		stale.Resume()
	}},
	// A frozen server resumes before its grant has expired.
	{control.RuleWaitForExpiry, 700 * time.Millisecond, 1600 * time.Millisecond, 50 * time.Millisecond, func(f *controltest.Fleet, delay time.Duration) {
		f.Server("s0").Freeze()
		f.After(delay, f.Server("s0").Thaw)
	}},
	// A frozen server resumes after its grantor got no answer about the write
	// that moves its units, and before that write reaches the store.
	{control.RuleReadBack, 1400 * time.Millisecond, 2500 * time.Millisecond, 50 * time.Millisecond, thawDuringLateWrite},
}

func thawDuringLateWrite(f *controltest.Fleet, delay time.Duration) {
	f.Store.LateWritePercent = 100
	f.Server("s0").Freeze()
	f.After(delay, f.Server("s0").Thaw)
}

func (s stagedRace) run(delay time.Duration, checks func(int) bool, mutate func(*control.Machine)) *controltest.Fleet {
	options := smallFleetOptions(1, 4, 8, checks)
	options.Mutate = mutate
	f := controltest.New(options)
	f.Run(4 * time.Second)
	s.inject(f, delay)
	f.Run(6 * time.Second)
	f.Heal()
	f.Store.LateWritePercent = 0
	f.Run(4 * time.Second)
	return f
}

// TestStagedRaces runs each race with a range of delays. With the rule enabled
// no invariant may be violated; with the rule disabled at least one delay must
// violate one.
func TestStagedRaces(t *testing.T) {
	for _, race := range stagedRaces {
		t.Run(string(race.rule), func(t *testing.T) {
			violatingDelays := 0
			for delay := race.first; delay <= race.last; delay += race.step {
				f := race.run(delay, allCheckGrants, nil)
				if problems := f.Violations(); len(problems) > 0 || len(f.Unserved(recipes)) > 0 {
					t.Fatalf("delay %v: %v, not served %v\n%s", delay, problems, f.Unserved(recipes), f.EventLog())
				}
				violatingDelays += min(1, len(race.run(delay, allCheckGrants, func(m *control.Machine) { m.Disable(race.rule) }).Violations()))
			}
			if violatingDelays == 0 {
				t.Fatalf("without the rule %q no invariant is violated: the race does not occur", race.rule)
			}
		})
	}
}

// TestHomeHoldsBackDuringLateWrite runs the read-back race with servers that do
// not check grants: their home must not send to them again while a write that
// moves their units is unresolved.
func TestHomeHoldsBackDuringLateWrite(t *testing.T) {
	race := stagedRace{inject: thawDuringLateWrite}
	for delay := 1400 * time.Millisecond; delay <= 2500*time.Millisecond; delay += 25 * time.Millisecond {
		f := race.run(delay, func(int) bool { return false }, nil)
		if problems := f.Violations(); len(problems) > 0 || len(f.Unserved(recipes)) > 0 {
			t.Fatalf("delay %v: %v, not served %v\n%s", delay, problems, f.Unserved(recipes), f.EventLog())
		}
	}
}
