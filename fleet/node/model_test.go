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

// modelSeed is the seed of the model tests unless -rapid.seed is set.
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

// actionKind is a kind of fault or change in a scenario.
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

// action is one step of a scenario: what happens, to which VM, and for how long
// the simulation runs afterwards.
type action struct {
	Kind   actionKind
	VM     int
	Other  int
	Millis int
}

// scenario describes one random run.
type scenario struct {
	Seed    int64
	VMs     int
	Loss    int // Messages lost until the faults end, in percent.
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
	simulation *fleettest.Simulation
	vms        []kvstore.VM
	random     *rand.Rand
	loss       int
	paused     map[string]bool
	// cut contains "from>to" for the connections between two VMs, "from>" and
	// ">to" for all from or to a VM, and "region" for those between regions.
	cut    map[string]bool
	newest map[string]uint64
	writes int
	// missedWrite means that a write may have been missed by all watches, and
	// that its writer may have stopped before publishing it. Then only the next
	// list finds it.
	missedWrite bool
}

func newModel(s scenario, options node.Options) *model {
	m := &model{
		simulation: fleettest.New(), vms: fleettest.Verhaegen.VMs(s.VMs), random: rand.New(rand.NewSource(s.Seed)),
		loss: s.Loss, paused: map[string]bool{}, cut: map[string]bool{}, newest: map[string]uint64{},
	}
	m.simulation.Options = options
	m.simulation.Delay, m.simulation.StoreDelay = fleettest.Verhaegen.Delay, fleettest.Verhaegen.StoreDelay
	m.simulation.Deliveries = m.deliveries
	m.simulation.StartAll(m.vms)
	return m
}

// deliveries loses, duplicates and delays messages.
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
		m.simulation.Stop(vm.Name)
	case replaceVM:
		m.paused[vm.Name] = false
		m.simulation.Start(vm, m.vms)
	case pauseVM:
		m.paused[vm.Name] = true
		m.simulation.Pause(vm.Name)
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
		m.simulation.StoreUnreachable = func(at kvstore.VM) bool { return a.VM%2 == 0 || at.Region == vm.Region }
	case breakWatch:
		m.simulation.WatchBroken = func(kvstore.VM) bool { return true }
	case healStore:
		m.simulation.StoreUnreachable, m.simulation.WatchBroken = nil, nil
	}
	m.simulation.Run(time.Duration(a.Millis) * time.Millisecond)
}

func (m *model) resume(name string) {
	if m.paused[name] {
		m.paused[name] = false
		m.simulation.Resume(name)
	}
}

func (m *model) write(vm kvstore.VM, publish bool) {
	m.writes++
	key := []string{kvstore.ConfigKey, kvstore.PagePrefix + "catalogue"}[m.writes%2]
	value := []byte(strings.Repeat("a line that stays\n", 40) + fmt.Sprint(m.writes))
	m.missedWrite = m.missedWrite || m.simulation.WatchBroken != nil
	if publish {
		m.newest[key] = m.simulation.WriteAndPublish(vm.Name, key, value).Version
		return
	}
	m.newest[key] = m.simulation.Write(key, value).Version
}

// heal ends all faults. Stopped VMs are not restarted unless all are stopped.
func (m *model) heal() {
	clear(m.cut)
	m.loss = 0
	m.simulation.StoreUnreachable, m.simulation.WatchBroken = nil, nil
	for _, vm := range m.vms {
		m.resume(vm.Name)
	}
	if len(m.simulation.Running()) == 0 {
		m.simulation.Start(m.vms[0], m.vms)
	}
}

// neverDecreases checks that no VM accepted a lower version.
func (m *model) neverDecreases() error {
	for _, vm := range m.vms {
		process := m.simulation.Process(vm.Name)
		last := map[string]uint64{}
		for _, d := range process.Changes {
			if d.Version <= last[d.Key] {
				return fmt.Errorf("%s replaced version %d of %s with %d", vm.Name, last[d.Key], d.Key, d.Version)
			}
			last[d.Key] = d.Version
		}
	}
	return nil
}

// newestEverywhere checks that every running VM has the newest documents.
func (m *model) newestEverywhere() error {
	for _, process := range m.simulation.Running() {
		for key, version := range m.newest {
			if d, _ := process.Node.Document(key); d.Version != version {
				return fmt.Errorf("%s has version %d of %s, but the store has %d", process.VM.Name, d.Version, key, version)
			}
		}
	}
	return nil
}

// membersCorrect checks that the membership is complete and accurate after all
// faults have ended.
func (m *model) membersCorrect() error {
	running := map[string]bool{}
	for _, process := range m.simulation.Running() {
		running[process.VM.Name] = true
	}
	for _, process := range m.simulation.Running() {
		for _, member := range process.Node.Members() {
			if member.Alive != running[member.Name] {
				return fmt.Errorf("%s reports alive=%v for %s", process.VM.Name, member.Alive, member.Name)
			}
		}
	}
	return nil
}

// Time limits after the last fault has ended.
const (
	documentsBound = 6 * time.Second
	membersBound   = 30 * time.Second
)

// run runs a scenario and returns the first violated invariant.
func run(s scenario, options node.Options) error {
	m := newModel(s, options)
	m.simulation.Run(2 * time.Second)
	for _, a := range s.Actions {
		m.do(a)
	}
	m.heal()
	m.simulation.Run(documentsBound)
	if m.missedWrite {
		m.simulation.Run(fleettest.RelistInterval)
	}
	if err := m.newestEverywhere(); err != nil {
		return err
	}
	m.simulation.Run(membersBound - documentsBound)
	if err := m.neverDecreases(); err != nil {
		return err
	}
	return m.membersCorrect()
}

// TestModel runs random faults and checks that versions never decrease, that
// every VM obtains each accepted write once it is connected, and that the
// membership is complete and accurate.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := run(drawScenario(t), node.Options{}); err != nil {
			t.Fatal(err)
		}
	})
}

// TestMutations checks that the model test fails if one of the rules is
// disabled.
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
			t.Fatalf("no invariant was violated in %d scenarios", scenarios)
		})
	}
}
