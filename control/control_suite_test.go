package control_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/config"
	"guavacrank.example/control"
	"guavacrank.example/control/controltest"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}

const recipes = "recipes"

// smallFleetOptions describes a fleet of two regions with two availability
// zones each, with VMs in every zone and servers in the zones of the first
// region.
func smallFleetOptions(vmsPerZone, servers, shards int, checks func(int) bool) controltest.Options {
	options := controltest.Options{
		StoreRegion: "r1", StoreZone: "r1a",
		ZoneDelay: time.Millisecond, RegionDelay: 12 * time.Millisecond,
		DetectionDelay: 2 * time.Second, PropagationDelay: 20 * time.Millisecond, Seed: 1, ClockErrorPPM: 500,
	}
	for _, zone := range []string{"r1a", "r1b", "r2a", "r2b"} {
		for i := range vmsPerZone {
			options.VMs = append(options.VMs, control.Member{Name: fmt.Sprintf("vm-%s-%d", zone, i), Region: zone[:2], Zone: zone})
		}
	}
	options.Configuration.Services = []config.Service{{
		Name: recipes, DividedByKey: true, Shards: shards,
		Classes: []config.Class{{Name: "lookup", Deadline: 300 * time.Millisecond}},
	}}
	for i := range servers {
		zone := []string{"r1a", "r1b"}[i%2]
		name := fmt.Sprintf("s%d", i)
		options.Configuration.Servers = append(options.Configuration.Servers, config.Server{
			Name: name, Service: recipes, Address: "127.0.0.1:1", Region: zone[:2], Zone: zone, Slots: 4, ChecksGrants: checks(i),
		})
	}
	return options
}

func allCheckGrants(int) bool { return true }

// expectHealthy asserts that no invariant was violated and every unit is
// served.
func expectHealthy(f *controltest.Fleet) {
	GinkgoHelper()
	Expect(f.Violations()).To(BeEmpty(), f.EventLog)
	Expect(f.Unserved(recipes)).To(BeEmpty(), f.EventLog)
}

// longestOutage returns the longest outage of a unit.
func longestOutage(f *controltest.Fleet) time.Duration {
	longest := time.Duration(0)
	for _, outage := range f.Outages(recipes) {
		longest = max(longest, outage)
	}
	return longest
}

// startFleet returns a fleet in which every unit is served.
func startFleet(options controltest.Options) *controltest.Fleet {
	GinkgoHelper()
	f := controltest.New(options)
	f.Run(4 * time.Second)
	expectHealthy(f)
	f.ResetOutages()
	return f
}

// spreadServersOverRegions distributes the servers over the zones of both
// regions.
func spreadServersOverRegions(options *controltest.Options) {
	for i := range options.Configuration.Servers {
		zone := []string{"r1a", "r1b", "r2a", "r2b"}[i%4]
		options.Configuration.Servers[i].Zone = zone
		options.Configuration.Servers[i].Region = zone[:2]
	}
}
