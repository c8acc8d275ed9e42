package node_test

import (
	"flag"
	"fmt"
	"math/rand"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavacrank.example/fleet/fleettest"
	"guavacrank.example/fleet/node"
	"guavacrank.example/fleet/spread"
	"guavacrank.example/kvstore"
)

// modelSeed is the seed of the model checks unless -rapid.seed gives another.
const modelSeed = "20250601"

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", modelSeed)
	}
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		_ = flag.Set("rapid.checks", "30")
	}
	os.Exit(m.Run())
}

// actionKind is one fault or change in a scenario.
type actionKind int

const (
	writeAndPublish actionKind = iota
	writeOnly
	stopVM
	replaceVM
	pauseVM
	resumeVM
	cutVM
	cutOneWay
	cutRegions
	healNetwork
	storeOutage
	breakWatch
	healStore
	actionKinds
)

// action is one step of a scenario: what happens, to which VM, and how long
// the world runs afterwards.
type action struct {
	Kind   actionKind
	VM     int
	Other  int
	Millis int
}

// scenario is one random run.
type scenario struct {
	Seed    int64
	VMs     int
	Loss    int // Messages lost, in percent, until the end phase.
	Actions []action
}

func drawScenario(t *rapid.T) scenario {
	s := scenario{
		Seed: rapid.Int64().Draw(t, "seed"),
		VMs:  rapid.IntRange(3, 12).Draw(t, "vms"),
		Loss: rapid.SampledFrom([]int{0, 0, 2, 10}).Draw(t, "loss"),
	}
	step := rapid.Custom(func(t *rapid.T) action {
		return action{
			Kind:   actionKind(rapid.IntRange(0, int(actionKinds)-1).Draw(t, "kind")),
			VM:     rapid.IntRange(0, s.VMs-1).Draw(t, "vm"),
			Other:  rapid.IntRange(0, s.VMs-1).Draw(t, "other"),
			Millis: rapid.IntRange(0, 2500).Draw(t, "millis"),
		}
	})
	s.Actions = rapid.SliceOfN(step, 3, 20).Draw(t, "actions")
	return s
}

// model runs one scenario.
type model struct {
	world  *fleettest.Simulation
	vms    []kvstore.VM
	random *rand.Rand
	loss   int
	paused map[string]bool
	// cut holds "from>to" for names and "region" for the link.
	cut    map[string]bool
	newest map[string]uint64
	writes int
	// unheard says that a write may have been seen by no watch, and its writer
	// may have been lost with it: only the next listing finds it.
	unheard bool
}

func newModel(s scenario, options node.Options) *model {
	m := &model{
		world: fleettest.New(), vms: fleettest.Verhaegen.VMs(s.VMs), random: rand.New(rand.NewSource(s.Seed)),
		loss: s.Loss, paused: map[string]bool{}, cut: map[string]bool{}, newest: map[string]uint64{},
	}
	m.world.Options = options
	m.world.Delay, m.world.StoreDelay = fleettest.Verhaegen.Delay, fleettest.Verhaegen.StoreDelay
	m.world.Deliveries = m.deliveries
	m.world.StartAll(m.vms)
	return m
}

// deliveries loses, repeats and delays messages.
func (m *model) deliveries(from, to kvstore.VM) []time.Duration {
	lost := m.cut[from.Name+">"+to.Name] || m.cut[from.Name+">"] || m.cut[">"+to.Name] ||
		(m.cut["region"] && from.Region != to.Region) || m.random.Intn(100) < m.loss
	if lost {
		return nil
	}
	if m.random.Intn(100) >= m.loss {
		return []time.Duration{0}
	}
	late := time.Duration(m.random.Intn(400)) * time.Millisecond
	return []time.Duration{0, late}
}

func (m *model) do(a action) {
	vm, other := m.vms[a.VM], m.vms[a.Other]
	switch a.Kind {
	case writeAndPublish, writeOnly:
		m.write(vm, a.Kind == writeAndPublish)
	case stopVM:
		m.paused[vm.Name] = false
		m.world.Stop(vm.Name)
	case replaceVM:
		m.paused[vm.Name] = false
		m.world.Start(vm, m.vms)
	case pauseVM:
		m.paused[vm.Name] = true
		m.world.Pause(vm.Name)
	case resumeVM:
		m.resume(vm.Name)
	case cutVM:
		m.cut[vm.Name+">"], m.cut[">"+vm.Name] = true, true
	case cutOneWay:
		m.cut[vm.Name+">"+other.Name] = true
	case cutRegions:
		m.cut["region"] = true
	case healNetwork:
		clear(m.cut)
	case storeOutage:
		m.world.StoreUnreachable = func(at kvstore.VM) bool { return a.VM%2 == 0 || at.Region == vm.Region }
	case breakWatch:
		m.world.WatchBroken = func(kvstore.VM) bool { return true }
	case healStore:
		m.world.StoreUnreachable, m.world.WatchBroken = nil, nil
	}
	m.world.Run(time.Duration(a.Millis) * time.Millisecond)
}

func (m *model) resume(name string) {
	if m.paused[name] {
		m.paused[name] = false
		m.world.Resume(name)
	}
}

func (m *model) write(vm kvstore.VM, publish bool) {
	m.writes++
	key := []string{kvstore.ConfigKey, kvstore.PagePrefix + "catalogue"}[m.writes%2]
	value := []byte(strings.Repeat("a line that stays\n", 40) + fmt.Sprint(m.writes))
	m.unheard = m.unheard || m.world.WatchBroken != nil
	if publish {
		m.newest[key] = m.world.WriteAndPublish(vm.Name, key, value).Version
		return
	}
	m.newest[key] = m.world.Write(key, value).Version
}

// heal ends all faults; stopped VMs stay stopped but for one at least.
func (m *model) heal() {
	clear(m.cut)
	m.loss = 0
	m.world.StoreUnreachable, m.world.WatchBroken = nil, nil
	for _, vm := range m.vms {
		m.resume(vm.Name)
	}
	if len(m.world.Running()) == 0 {
		m.world.Start(m.vms[0], m.vms)
	}
}

// neverDecreases checks that no VM ever took a lower version.
func (m *model) neverDecreases() error {
	for _, vm := range m.vms {
		process := m.world.Process(vm.Name)
		last := map[string]uint64{}
		for _, d := range process.Changes {
			if d.Version <= last[d.Key] {
				return fmt.Errorf("%s went from version %d of %s to %d", vm.Name, last[d.Key], d.Key, d.Version)
			}
			last[d.Key] = d.Version
		}
	}
	return nil
}

// inForceEverywhere checks that every running VM has the newest documents.
func (m *model) inForceEverywhere() error {
	for _, process := range m.world.Running() {
		for key, version := range m.newest {
			if d, _ := process.Node.Document(key); d.Version != version {
				return fmt.Errorf("%s has version %d of %s, the store accepted %d", process.VM.Name, d.Version, key, version)
			}
		}
	}
	return nil
}

// membersRight checks completeness and accuracy once all faults are over.
func (m *model) membersRight() error {
	running := map[string]bool{}
	for _, process := range m.world.Running() {
		running[process.VM.Name] = true
	}
	for _, process := range m.world.Running() {
		for _, member := range process.Node.Members() {
			if member.Alive != running[member.Name] {
				return fmt.Errorf("%s says alive=%v of %s", process.VM.Name, member.Alive, member.Name)
			}
		}
	}
	return nil
}

// Bounds after the last fault has ended.
const (
	inForceBound = 6 * time.Second
	membersBound = 30 * time.Second
)

// run runs a scenario and returns the first broken invariant.
func run(s scenario, options node.Options) error {
	m := newModel(s, options)
	m.world.Run(2 * time.Second)
	for _, a := range s.Actions {
		m.do(a)
	}
	m.heal()
	m.world.Run(inForceBound)
	if m.unheard {
		m.world.Run(fleettest.RelistInterval)
	}
	if err := m.inForceEverywhere(); err != nil {
		return err
	}
	m.world.Run(membersBound - inForceBound)
	if err := m.neverDecreases(); err != nil {
		return err
	}
	return m.membersRight()
}

// TestModel runs random faults: in force never decreases, accepted means in
// force everywhere once connected, members are complete and accurate.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := run(drawScenario(t), node.Options{}); err != nil {
			t.Fatal(err)
		}
	})
}

// TestMutations shows that the model check fails without each rule.
func TestMutations(t *testing.T) {
	const scenarios = 60
	mutations := map[string]node.Options{
		"versions are not compared": {SpreadMutations: spread.Mutations{IgnoreVersions: true}},
		"digests repair nothing":    {SpreadMutations: spread.Mutations{NoRepair: true}},
	}
	for name, options := range mutations {
		t.Run(name, func(t *testing.T) {
			generator := rapid.Custom(drawScenario)
			for seed := range scenarios {
				if err := run(generator.Example(seed), options); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatalf("no invariant failed in %d scenarios", scenarios)
		})
	}
}
