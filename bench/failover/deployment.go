package failover

import (
	"fmt"
	"time"

	"guavacrank.example/config"
	"guavacrank.example/control"
	"guavacrank.example/control/controltest"
)

const (
	serviceName = "keyed"
	shards      = 256
	vms         = 12
)

// deployment is one user's service divided by key, with the user's delays.
type deployment struct {
	name      string
	servers   int
	unchecked int // Servers, the last ones, that do not check grants.
	slots     int
	zoneDelay time.Duration
	deadline  time.Duration
}

var deployments = []deployment{
	{name: "verhaegen", servers: 11, unchecked: 2, slots: 6, zoneDelay: time.Millisecond, deadline: 800 * time.Millisecond},
	{name: "chikushi", servers: 13, unchecked: 2, slots: 4, zoneDelay: 500 * time.Microsecond, deadline: 500 * time.Millisecond},
}

// regionDelay is the one-way delay between the two regions of both users.
const regionDelay = 12 * time.Millisecond

var zones = []string{"one-a", "two-a", "one-b", "two-b"}

func regionOf(zone string) string { return zone[:len("one")] }

// fleet returns the deployment with every unit served.
func (d deployment) fleet(seed uint64) *controltest.Fleet {
	options := controltest.Options{
		StoreRegion: "one", StoreZone: "one-a",
		ZoneDelay: d.zoneDelay, RegionDelay: regionDelay,
		DetectionDelay: suspicion, PropagationDelay: spread, ClockErrorPPM: clockError, Seed: seed,
	}
	options.Configuration.Defaults = config.DefaultDefaults()
	options.Configuration.Services = []config.Service{{
		Name: serviceName, DividedByKey: true, Shards: shards,
		Classes: []config.Class{{Name: "lookup", Idempotent: true, Deadline: d.deadline}},
	}}
	for i := range d.servers {
		zone := zones[i%len(zones)]
		options.Configuration.Servers = append(options.Configuration.Servers, config.Server{
			Name: fmt.Sprintf("server-%02d", i+1), Service: serviceName, Address: "127.0.0.1:1",
			Region: regionOf(zone), Zone: zone, Slots: d.slots, ChecksGrants: i < d.servers-d.unchecked,
		})
	}
	for i := range vms {
		zone := zones[i%len(zones)]
		options.VMs = append(options.VMs, control.Member{
			Name: fmt.Sprintf("vm-%02d", i+1), Region: regionOf(zone), Zone: zone,
		})
	}
	f := controltest.New(options)
	f.Run(settleTime)
	f.ResetOutages()
	return f
}
