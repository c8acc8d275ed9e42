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
	// Seeds are addresses of peers to contact at startup. They may be stale.
	Seeds []string
	// FirstStart says that the whole system is starting for the first time.
	FirstStart bool
	// HeartbeatInterval is how often a backend server writes its record; zero means
	// unknown.
	HeartbeatInterval time.Duration
	// StoreAddress is the IP:port of the platform's store.
	StoreAddress string
	// MemoryBytes is the memory limit of the process.
	MemoryBytes int64
	// MaxDescriptors is the limit on open file descriptors.
	MaxDescriptors int
	// Cores is the VM's CPU share as a number of cores, LinkMbit the bandwidth of
	// its network link in Mbit/s. Zero means unknown.
	Cores, LinkMbit float64
	Bounds          Bounds
}

// Listen holds the listen addresses of a process, each an IP:port.
type Listen struct {
	// Callers accepts callers' requests.
	Callers string
	// Ready answers the load balancer's readiness checks.
	Ready string
	// Peers accepts calls from other daemons.
	Peers string
	// Metrics serves the counters of the process.
	Metrics string
}

// Bounds are the limits that the platform's operators guarantee or require.
type Bounds struct {
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod time.Duration
	// RetryRatio and RetrySlack bound the retries sent to a service by all VMs
	// together in any RetryWindow: RetryRatio x requests + RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// MaxGrantTTL is the longest TTL that a grant may have.
	MaxGrantTTL time.Duration
	// ConfigurationTime is the time after the acknowledgement of its write in which a
	// configuration has to be in force on all VMs.
	ConfigurationTime time.Duration
	// DrainTime is how long a server serves after it said that it is leaving.
	DrainTime time.Duration
	// EvacuationTime is the time after the acknowledgement of its write from which on the
	// servers of an evacuated availability zone get no requests from any VM. Zero means
	// that operators evacuate none.
	EvacuationTime time.Duration
	// WarmUpOverrun and WarmUpSlack bound the requests that a cold server gets from all
	// VMs together in any second: Service.WarmUpRate x WarmUpOverrun + WarmUpSlack.
	WarmUpOverrun float64
	WarmUpSlack   float64
	// MinLeaseTTL is the shortest lease TTL that the store grants.
	MinLeaseTTL time.Duration
}

// linkMbitPerCore is the link bandwidth that matches the work of one core.
const linkMbitPerCore = 250

// Capacity ranks VMs by the work that they can do for the fleet. It is the CPU
// share in cores, reduced if the network link is the bottleneck. Zero means
// unknown.
func (s Settings) Capacity() float64 {
	if s.LinkMbit == 0 {
		return s.Cores
	}
	return min(s.Cores, s.LinkMbit/linkMbitPerCore)
}

// Region returns the region of an availability zone, or "" if it is unknown.
func (s Settings) Region(zone string) string { return s.Regions[zone] }
