package explore

import (
	"fmt"
	"slices"
	"time"
)

// Bounds bound a search.
type Bounds struct {
	Size
	// Faults is the greatest number of faults in a schedule.
	Faults int `json:"faults"`
	// Share, if above one, says that only one of so many faults is followed, except the first
	// and the last one of a schedule.
	Share int `json:"share"`
	// Depth is the longest that a schedule runs, in virtual time.
	Depth time.Duration `json:"depth"`
	// States is the greatest number of states that are visited, MemoryBytes that of the
	// memory that remembers them.
	States      int `json:"states"`
	MemoryBytes int `json:"memory_bytes"`
	// Time, unless zero, ends the search. The verdict then depends on the machine.
	Time time.Duration `json:"time"`
	// Seed chooses the order of the search.
	Seed uint64 `json:"seed"`
	// Rules are those that end the search when they are broken.
	Rules []Rule `json:"rules"`
}

// DefaultBounds returns the bounds of a short search.
func DefaultBounds() Bounds {
	return Bounds{
		Size: Size{VMs: 2, Servers: 2}, Faults: 2, Share: 1, Depth: 30 * time.Second,
		States: 1_000_000, MemoryBytes: 1 << 30, Seed: 1, Rules: Rules(),
	}
}

// BoundError reports a bound that can't be used.
type BoundError struct {
	// Name is that of the flag.
	Name   string
	Reason string
}

// Error implements error.
func (e *BoundError) Error() string { return fmt.Sprintf("-%s: %s", e.Name, e.Reason) }

// Limits of the bounds.
const (
	maxVMs     = 3
	maxServers = 3
	maxDaemons = 30
	maxFaults  = 8
)

// Check returns an error that names the first bound that can't be used.
func (b Bounds) Check() error {
	switch {
	case b.VMs < 1 || b.VMs > maxVMs:
		return &BoundError{"vms", fmt.Sprintf("%d is not from 1 to %d", b.VMs, maxVMs)}
	case b.Servers < 1 || b.Servers > maxServers:
		return &BoundError{"servers", fmt.Sprintf("%d is not from 1 to %d", b.Servers, maxServers)}
	case b.Daemons < 0 || b.Daemons > maxDaemons:
		return &BoundError{"daemons", fmt.Sprintf("%d is not from 0 to %d", b.Daemons, maxDaemons)}
	case b.Faults < 0 || b.Faults > maxFaults:
		return &BoundError{"faults", fmt.Sprintf("%d is not from 0 to %d", b.Faults, maxFaults)}
	case b.Share < 1:
		return &BoundError{"share", fmt.Sprintf("%d is below 1", b.Share)}
	case b.Depth < quantum:
		return &BoundError{"depth", fmt.Sprintf("%v is below %v", b.Depth, quantum)}
	case b.States < 1:
		return &BoundError{"states", fmt.Sprintf("%d is below 1", b.States)}
	case b.MemoryBytes < stateBytes:
		return &BoundError{"memory", fmt.Sprintf("%d bytes hold no state", b.MemoryBytes)}
	case b.Time < 0:
		return &BoundError{"for", fmt.Sprintf("%v is below zero", b.Time)}
	case len(b.Rules) == 0:
		return &BoundError{"rules", "none is given"}
	}
	for _, rule := range b.Rules {
		if !slices.Contains(Rules(), rule) {
			return &BoundError{"rules", fmt.Sprintf("%q is none of %v", rule, Rules())}
		}
	}
	return nil
}
