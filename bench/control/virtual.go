package control

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"guavacrank.example/bench/report"
	"guavacrank.example/fleet/fleettest"
	"guavacrank.example/fleet/node"
	"guavacrank.example/fleet/spread"
	"guavacrank.example/kvstore"
)

const (
	settle       = 10 * time.Second
	waitLimit    = time.Minute
	betweenWrite = 1500 * time.Millisecond
	// regionCut is how long the regions lose each other in a run.
	regionCut = 30 * time.Second
)

// configValue is a configuration of a usual size, different for each change.
func configValue(change int) []byte {
	line := "  - name: server-01  # address, region, zone, slots, connections\n"
	value := []byte(strings.Repeat(line, 80))
	copy(value[len(value)/2:], []byte{byte('a' + change%26), byte('a' + change/26%26)})
	return value
}

// newWorld returns a settled fleet under one policy.
func newWorld(site fleettest.Site, p policy, size int) *fleettest.Simulation {
	world := fleettest.New()
	world.Options = node.Options{Policy: p.value}
	world.Delay, world.StoreDelay = site.Delay, site.StoreDelay
	world.StartAll(site.VMs(size))
	world.Run(settle)
	return world
}

// untilInForce runs until every running VM has a version of the configuration.
func untilInForce(world *fleettest.Simulation, version uint64) time.Duration {
	start := world.Now
	for world.Now-start < waitLimit {
		behind := slices.ContainsFunc(world.Running(), func(p *fleettest.Process) bool {
			d, _ := p.Node.Document(kvstore.ConfigKey)
			return d.Version < version
		})
		if !behind {
			break
		}
		world.Run(time.Millisecond)
	}
	return world.Now - start
}

// timeToInForce measures one policy on one site.
func timeToInForce(site fleettest.Site, p policy, options Options) []report.Row {
	random := rand.New(rand.NewPCG(options.Seed, uint64(len(site.Name))))
	prefix := "control." + site.Name + "."
	rows := healthyRows(site, p, random, options.Changes)
	relayLost := worst(options.FaultRuns, func() time.Duration { return relayLostRun(site, p, random) })
	linkLost := worst(options.FaultRuns, func() time.Duration { return linkLostRun(site, p, random) })
	return append(rows,
		maxRow(prefix+"relay_lost.max", p, milliseconds(relayLost), "ms", faultTarget),
		maxRow(prefix+"link_lost_and_returned.max", p, milliseconds(linkLost), "ms", faultTarget),
	)
}

// maxRow is a row whose target binds the product's policy, not the baselines.
func maxRow(name string, p policy, value float64, unit string, target float64) report.Row {
	row := report.Row{Name: name, Policy: p.name, Value: value, Unit: unit}
	if p.value == spread.Tree {
		row.Target, row.Bound = target, "max"
	}
	return row
}

func worst(runs int, run func() time.Duration) time.Duration {
	var longest time.Duration
	for range runs {
		longest = max(longest, run())
	}
	return longest
}

// healthyRows measures changes that a VM writes and publishes.
func healthyRows(site fleettest.Site, p policy, random *rand.Rand, changes int) []report.Row {
	prefix := "control." + site.Name + "."
	world := newWorld(site, p, fleetSize)
	restStart, restBytes := world.Now, world.LinkBytes
	world.Run(settle)
	restRate := float64(world.LinkBytes-restBytes) / (world.Now - restStart).Seconds()
	linkBytes, began := world.LinkBytes, world.Now
	var times []time.Duration
	for change := range changes {
		writer := world.Running()[random.IntN(fleetSize)].VM.Name
		written := world.WriteAndPublish(writer, kvstore.ConfigKey, configValue(change))
		times = append(times, untilInForce(world, written.Version))
		world.Run(betweenWrite)
	}
	slices.Sort(times)
	atRest := restRate * (world.Now - began).Seconds()
	perChange := (float64(world.LinkBytes-linkBytes) - atRest) / float64(changes)
	return []report.Row{
		{Name: prefix + "healthy.p50", Policy: p.name, Value: milliseconds(times[changes/2]), Unit: "ms"},
		maxRow(prefix+"healthy.max", p, milliseconds(times[changes-1]), "ms", healthyTarget),
		{Name: prefix + "link.rest", Policy: p.name, Value: restRate, Unit: "bytes/s"},
		{Name: prefix + "link.change", Policy: p.name, Value: perChange, Unit: "bytes"},
		{Name: prefix + "store.watches", Policy: p.name, Value: float64(watching(world)), Unit: "VMs"},
	}
}

func watching(world *fleettest.Simulation) int {
	count := 0
	for _, process := range world.Running() {
		if process.Watching() {
			count++
		}
	}
	return count
}

// relayLostRun stops a VM that watches the store at the moment of a change
// whose writer is lost too.
func relayLostRun(site fleettest.Site, p policy, random *rand.Rand) time.Duration {
	world := newWorld(site, p, fleetSize)
	world.Run(time.Duration(random.IntN(2000)) * time.Millisecond)
	var watchers []string
	for _, process := range world.Running() {
		if process.Watching() {
			watchers = append(watchers, process.VM.Name)
		}
	}
	world.Stop(watchers[random.IntN(len(watchers))])
	return untilInForce(world, world.Write(kvstore.ConfigKey, configValue(1)).Version)
}

// linkLostRun cuts the link between regions, with it the store for one of
// them, and measures from the link's return.
func linkLostRun(site fleettest.Site, p policy, random *rand.Rand) time.Duration {
	world := newWorld(site, p, fleetSize)
	world.Deliveries = func(from, to kvstore.VM) []time.Duration {
		if from.Region != to.Region {
			return nil
		}
		return []time.Duration{0}
	}
	world.StoreUnreachable = func(vm kvstore.VM) bool { return vm.Region != site.StoreRegion }
	world.Run(regionCut + time.Duration(random.IntN(2000))*time.Millisecond)
	written := world.WriteAndPublish(site.VMs(fleetSize)[0].Name, kvstore.ConfigKey, configValue(1))
	world.Run(time.Second)
	world.Deliveries, world.StoreUnreachable = nil, nil
	return untilInForce(world, written.Version)
}

// virtualCosts counts messages and bytes of the state machines by fleet size:
// the mean of all VMs, and the busiest one, which relays for a region.
func virtualCosts(sizes []int) []report.Row {
	var rows []report.Row
	for _, p := range policies() {
		var mean, busiest []float64
		for _, size := range sizes {
			t := atRest(p, size)
			mean, busiest = append(mean, t.mean), append(busiest, t.busiest)
			rows = append(rows,
				maxRow(sizedName("control.machine.bytes", size), p, t.mean, "bytes/s", bytesTarget),
				maxRow(sizedName("control.machine.bytes_busiest", size), p, t.busiest, "bytes/s", bytesTarget),
				report.Row{Name: sizedName("control.machine.messages", size), Policy: p.name, Value: t.messages, Unit: "messages/s"})
		}
		rows = append(rows,
			slopeRow("control.machine.bytes", p.name, "bytes/s", sizes, mean),
			slopeRow("control.machine.bytes_busiest", p.name, "bytes/s", sizes, busiest))
	}
	return rows
}

// restTraffic is what the VMs of a fleet at rest send and receive each second.
type restTraffic struct{ mean, busiest, messages float64 }

func atRest(p policy, size int) restTraffic {
	const measured = 20 * time.Second
	world := newWorld(fleettest.Verhaegen, p, size)
	before := make(map[string]int, size)
	messages := 0
	for _, process := range world.Running() {
		before[process.VM.Name] = process.SentBytes + process.ReceivedBytes
		messages -= process.SentMessages
	}
	world.Run(measured)
	var t restTraffic
	for _, process := range world.Running() {
		bytes := process.SentBytes + process.ReceivedBytes - before[process.VM.Name]
		rate := float64(bytes) / measured.Seconds()
		t.mean += rate / float64(size)
		t.busiest = max(t.busiest, rate)
		messages += process.SentMessages
	}
	t.messages = float64(messages) / measured.Seconds() / float64(size)
	return t
}

// machineTime measures the processor time of the state machines alone, by
// fleet size. It is this machine's time and differs from run to run.
func machineTime(sizes []int) []report.Row {
	const measured = 10 * time.Second
	tree := policies()[0]
	var rows []report.Row
	var shares []float64
	for _, size := range sizes {
		world := newWorld(fleettest.Verhaegen, tree, size)
		before := processorTime()
		world.Run(measured)
		share := 100 * (processorTime() - before).Seconds() / measured.Seconds() / float64(size)
		shares = append(shares, share)
		rows = append(rows, maxRow(sizedName("control.machine.processor", size), tree, share, "% of a core", processorTarget))
	}
	return append(rows, slopeRow("control.machine.processor", tree.name, "% of a core", sizes, shares))
}
