package control_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavacrank.example/config"
	"guavacrank.example/control"
	"guavacrank.example/control/controltest"
	"guavacrank.example/event"
)

// Go passes no -rapid.* flags by itself, so CI runs the same few cases each
// time. By hand: go test ./control -run TestModel -rapid.seed=0 -rapid.checks=20000
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

type faultKind int

const (
	serverLost faultKind = iota
	serverRestart
	serverFreeze
	vmKill
	vmPause
	vmStop
	storeDown
	storeLosesReplies
	storeDelaysWrites
	partitionZones
	partitionRegions
	partitionVMFromServer
	zoneLost
	messagesLost
	messagesDuplicated
	messagesDelayed
	drain
	declareKey
	secondPlanner
	suspectVM
	partitionVMs
	undeclareKeys
	removeServer
	hotKey
	faultKindCount
)

// fault is one failure or change, when it starts and how long it lasts.
type fault struct {
	at, duration  time.Duration
	kind          faultKind
	target, other int
}

func (x fault) String() string {
	return fmt.Sprintf("%v+%v kind %d target %d/%d", x.at, x.duration, x.kind, x.target, x.other)
}

type scenario struct {
	seed            uint64
	checkingServers int  // How many of the four servers check grants.
	bothRegions     bool // The servers are in both regions.
	faults          []fault
}

func (s scenario) String() string {
	lines := []string{fmt.Sprintf("seed %d, %d of 4 servers check grants, servers in both regions: %v", s.seed, s.checkingServers, s.bothRegions)}
	for _, f := range s.faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Faults start within this period, most of which is after the creation of the
// page.
const (
	firstFault = 500   // Milliseconds.
	lastFault  = 12000 // Milliseconds.
)

var scenarios = rapid.Custom(func(t *rapid.T) scenario {
	drawn := scenario{
		seed:            rapid.Uint64().Draw(t, "seed"),
		bothRegions:     rapid.Bool().Draw(t, "bothRegions"),
		checkingServers: rapid.SampledFrom([]int{4, 4, 3, 2, 0}).Draw(t, "checking"),
	}
	count := rapid.IntRange(1, 8).Draw(t, "faults")
	for range count {
		drawn.faults = append(drawn.faults, fault{
			at:       time.Duration(rapid.IntRange(firstFault, lastFault).Draw(t, "at")) * time.Millisecond,
			duration: time.Duration(rapid.IntRange(20, 6000).Draw(t, "length")) * time.Millisecond,
			kind:     faultKind(rapid.IntRange(0, int(faultKindCount)-1).Draw(t, "kind")),
			target:   rapid.IntRange(0, 7).Draw(t, "target"),
			other:    rapid.IntRange(0, 7).Draw(t, "other"),
		})
	}
	return drawn
})

// apply starts a fault and schedules its end.
func (x fault) apply(f *controltest.Fleet) {
	server := f.Servers[x.target%len(f.Servers)]
	vm := f.VMs[x.target%len(f.VMs)]
	zones := []string{"r1a", "r1b", "r2a", "r2b"}
	zone := zones[x.target%len(zones)]
	end := func(run func()) { f.After(x.duration, run) }
	switch x.kind {
	case serverLost:
		server.Lost = true
		end(server.Restart)
	case serverRestart:
		server.Restart()
	case serverFreeze:
		server.Freeze()
		end(server.Thaw)
	case vmKill:
		vm.Kill()
		end(vm.Start)
	case vmPause:
		vm.Pause()
		end(vm.Resume)
	case vmStop:
		vm.Stop()
		end(func() {
			vm.Kill()
			vm.Start()
		})
	case storeDown:
		f.Store.Down = true
		end(func() { f.Store.Down = false })
	case storeLosesReplies:
		f.Store.LostReplyPercent = 50
		end(func() { f.Store.LostReplyPercent = 0 })
	case storeDelaysWrites:
		f.Store.LateWritePercent = 50
		end(func() { f.Store.LateWritePercent = 0 })
	case partitionZones:
		f.Partition(zone, zones[x.other%len(zones)])
		end(f.Heal)
	case partitionRegions:
		f.Partition("r1", "r2")
		end(f.Heal)
	case partitionVMFromServer:
		f.Partition(vm.Name, f.Servers[x.other%len(f.Servers)].Config.Name)
		end(f.Heal)
	case zoneLost:
		loseZone(f, zone, end)
	case messagesLost:
		f.DropPercent = 20
		end(func() { f.DropPercent = 0 })
	case messagesDuplicated:
		f.DuplicatePercent = 30
		end(func() { f.DuplicatePercent = 0 })
	case messagesDelayed:
		f.MaxJitter = 300 * time.Millisecond
		end(func() { f.MaxJitter = 0 })
	case drain:
		setDraining(f, server.Config.Name, true)
		end(func() { setDraining(f, server.Config.Name, false) })
	case declareKey:
		f.Configure(func(c *config.Configuration) {
			c.Services = []config.Service{c.Services[0]}
			c.Services[0].Keys = []config.KeyDeclaration{{Key: fmt.Sprintf("key-%d", x.other), Server: server.Config.Name}}
		})
	case suspectVM:
		f.Suspect(vm.Name, true)
		end(func() { f.Suspect(vm.Name, false) })
	case partitionVMs:
		f.Partition(vm.Name, f.VMs[x.other%len(f.VMs)].Name)
		end(f.Heal)
	case undeclareKeys:
		f.Configure(func(c *config.Configuration) {
			c.Services = []config.Service{c.Services[0]}
			c.Services[0].Keys = nil
		})
	case removeServer:
		removed := server.Config
		f.Configure(func(c *config.Configuration) {
			c.Servers = slices.DeleteFunc(c.Servers, func(s config.Server) bool { return s.Name == removed.Name })
		})
		end(func() {
			f.Configure(func(c *config.Configuration) {
				if !slices.ContainsFunc(c.Servers, func(s config.Server) bool { return s.Name == removed.Name }) {
					c.Servers = append(c.Servers, removed)
				}
			})
		})
	case hotKey:
		for i := range 8 {
			f.After(time.Duration(i)*time.Second, func() {
				f.ReportLoad(vm.Name, recipes, fmt.Sprintf("key-%d", x.other), 10_000)
			})
		}
	case secondPlanner:
		f.AddPlanner(recipes, vm.Name)
	}
}

func loseZone(f *controltest.Fleet, zone string, end func(func())) {
	for _, vm := range f.VMs {
		if vm.Zone == zone {
			vm.Kill()
			end(vm.Start)
		}
	}
	for _, server := range f.Servers {
		if server.Config.Zone == zone {
			server.Lost = true
			end(server.Restart)
		}
	}
}

func setDraining(f *controltest.Fleet, name string, draining bool) {
	f.Configure(func(c *config.Configuration) {
		for i := range c.Servers {
			if c.Servers[i].Name == name {
				c.Servers[i].Draining = draining
			}
		}
	})
}

// recoveryTime is the time after the end of the last fault within which every
// unit must be served again. It covers a takeover that is triggered by the
// fleet's failure detector after the wait for a grant to expire. A unit may be
// moving at any moment, so the units are then monitored for longer than the
// outage after a loss may last.
const recoveryTime = 20 * time.Second

// run executes a scenario and returns the fleet and the violated invariants.
func (s scenario) run(mutate func(*control.Machine)) (*controltest.Fleet, []string) {
	options := smallFleetOptions(1, 4, 8, func(i int) bool { return i < s.checkingServers })
	options.Seed = s.seed
	options.SimulateRequests = true
	if s.bothRegions {
		spreadServersOverRegions(&options)
	}
	options.Mutate = mutate
	f := controltest.New(options)
	last := time.Duration(0)
	for _, x := range s.faults {
		f.After(x.at, func() { x.apply(f) })
		last = max(last, x.at+x.duration)
	}
	f.Run(last + 10*time.Millisecond)
	f.Run(recoveryTime)
	f.ResetOutages()
	f.Run(maxLossOutage + time.Second)
	problems := f.Violations()
	if mutate == nil && sawEvent(f, event.InvariantViolated) {
		problems = append(problems, "a machine found a violated invariant itself")
	}
	if longest := longestOutage(f); longest > maxLossOutage {
		problems = append(problems, fmt.Sprintf("unserved: a unit is not served for %v, %v after the last fault", longest, recoveryTime))
	}
	return f, problems
}

// TestModel runs random faults, up to eight at once, and asserts the
// invariants.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawn := scenarios.Draw(t, "scenario")
		f, problems := drawn.run(nil)
		if len(problems) > 0 {
			t.Fatalf("%v\n%s\n%s", drawn, strings.Join(problems, "\n"), f.EventLog())
		}
	})
}

// TestMutation disables the rule of the previous owner, which needs no specific
// timing: random faults alone must then violate an invariant.
func TestMutation(t *testing.T) {
	const tries = 100
	for seed := range tries {
		drawn := scenarios.Example(seed)
		f, _ := drawn.run(func(m *control.Machine) { m.Disable(control.RulePreviousOwner) })
		if len(f.Violations()) > 0 {
			return
		}
	}
	t.Fatalf("none of %d scenarios violated an invariant without the rule", tries)
}
