package fleettest

import (
	"fmt"
	"time"

	"guavacrank.example/kvstore"
)

// Site is one deployment: two regions with two availability zones each.
type Site struct {
	Name        string
	Regions     [2]string
	ZoneDelay   time.Duration // One way, between availability zones.
	LinkDelay   time.Duration // One way, between regions.
	StoreRegion string        // Region of the store.
	LocalDelay  time.Duration // One way, within an availability zone.
}

// Verhaegen is the deployment in Flanders and Wallonia.
var Verhaegen = Site{
	Name: "verhaegen", Regions: [2]string{"flanders", "wallonia"}, StoreRegion: "flanders",
	ZoneDelay: time.Millisecond, LinkDelay: 12 * time.Millisecond, LocalDelay: 200 * time.Microsecond,
}

// Chikushi is the deployment in Fukuoka and Kagoshima.
var Chikushi = Site{
	Name: "chikushi", Regions: [2]string{"fukuoka", "kagoshima"}, StoreRegion: "fukuoka",
	ZoneDelay: 500 * time.Microsecond, LinkDelay: 12 * time.Millisecond, LocalDelay: 200 * time.Microsecond,
}

// VMs returns count VMs distributed evenly over the zones of the site.
func (s Site) VMs(count int) []kvstore.VM {
	vms := make([]kvstore.VM, 0, count)
	for i := range count {
		region := s.Regions[i%2]
		vms = append(vms, kvstore.VM{
			Name:   fmt.Sprintf("vm-%03d", i+1),
			Region: region,
			Zone:   fmt.Sprintf("%s-%c", region, 'a'+rune(i/2%2)),
			Peer:   fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200+1),
		})
	}
	return vms
}

// Delay is the one-way delay between two VMs.
func (s Site) Delay(from, to kvstore.VM) time.Duration {
	switch {
	case from.Region != to.Region:
		return s.LinkDelay
	case from.Zone != to.Zone:
		return s.ZoneDelay
	default:
		return s.LocalDelay
	}
}

// StoreDelay is the one-way delay between a VM and the store.
func (s Site) StoreDelay(vm kvstore.VM) time.Duration {
	if vm.Region != s.StoreRegion {
		return s.LinkDelay
	}
	return s.ZoneDelay
}

// NewSimulation returns a simulation with the site's delays and count running
// VMs.
func (s Site) NewSimulation(count int) *Simulation {
	simulation := New()
	simulation.Delay, simulation.StoreDelay = s.Delay, s.StoreDelay
	simulation.StartAll(s.VMs(count))
	return simulation
}

// StartAll starts a process on each VM. Each knows all of them from the
// platform's VM list.
func (s *Simulation) StartAll(vms []kvstore.VM) {
	for _, vm := range vms {
		s.Start(vm, vms)
	}
}
