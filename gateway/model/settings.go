package model

import "time"

// Settings are the settings of one process, read from its settings file.
type Settings struct {
	// VM is the name of the VM.
	VM string
	// Zone is the availability zone of the VM.
	Zone string
	// Regions maps each availability zone to its region.
	Regions map[string]string
	Listen  Listen
	// Seeds are peers' addresses that may be stale.
	Seeds []string
	// StoreAddress is the IP:port of the platform's store.
	StoreAddress string
	// MemoryBytes is the memory limit of the process.
	MemoryBytes int64
	// MaxDescriptors is the greatest number of open descriptors.
	MaxDescriptors int
	// Cores is the VM's part of a core, LinkMbit the rate of its link in
	// Mbit/s; zero if unknown.
	Cores, LinkMbit float64
	Bounds          Bounds
}

// Listen are the addresses of a process, each IP:port.
type Listen struct {
	Callers string
	Ready   string
	// Peers serves the other daemons.
	Peers string
	// Metrics serves the process's own counters.
	Metrics string
}

// Bounds are the figures that the platform's operators promise or demand.
type Bounds struct {
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod time.Duration
	// RetryRatio and RepeatSlack bound the repeated sends to a service in any
	// RepeatWindow, summed over all VMs: ratio x requests + slack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// MaxGrantTTL is the longest time that a grant may hold.
	MaxGrantTTL time.Duration
	// MinLeaseTTL is the shortest lease that the store grants.
	MinLeaseTTL time.Duration
}

// linkMbitPerCore is the rate of a link that suits a whole core.
const linkMbitPerCore = 250

// Capacity ranks VMs by what they can do for the others: their part of a core,
// or less if their link is slow. Zero means unknown.
func (s Settings) Capacity() float64 {
	if s.LinkMbit == 0 {
		return s.Cores
	}
	return min(s.Cores, s.LinkMbit/linkMbitPerCore)
}

// Region returns the region of a zone, or the empty text.
func (s Settings) Region(zone string) string { return s.Regions[zone] }
