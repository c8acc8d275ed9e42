package route

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Homes chooses the home VMs, which queue for backend servers, by rendezvous
// hashing over the VMs. It caches its choices, so that a new snapshot with the
// same locations costs no more than comparing them. It is not safe for
// concurrent use.
type Homes struct {
	locations map[string]Location
	zones     map[Location][]string
	regions   map[string][]string
	chosen    map[homeKey]string
}

type homeKey struct {
	subject  string
	location Location
}

// NewHomes returns the homes for the given locations, which must not be changed.
func NewHomes(locations map[string]Location) *Homes {
	h := &Homes{
		locations: locations,
		zones:     make(map[Location][]string),
		regions:   make(map[string][]string),
		chosen:    make(map[homeKey]string),
	}
	names := make([]string, 0, len(locations))
	for name := range locations {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		location := locations[name]
		h.zones[location] = append(h.zones[location], name)
		h.regions[location.Region] = append(h.regions[location.Region], name)
	}
	return h
}

// WithLocations returns h if the locations are unchanged, or else new homes.
func (h *Homes) WithLocations(locations map[string]Location) *Homes {
	if h == nil || len(locations) != len(h.locations) {
		return NewHomes(locations)
	}
	for name, location := range locations {
		if h.locations[name] != location {
			return NewHomes(locations)
		}
	}
	return h
}

// Empty reports whether there are no locations.
func (h *Homes) Empty() bool { return len(h.locations) == 0 }

// HomeVM returns the VM that queues for a server, or for a group of servers,
// in a zone: the first in rendezvous order among the VMs of the zone, or else
// of the region. Every VM with the same locations gets the same result;
// a differing result costs an extra hop but breaks no guarantee. It is empty
// when the region has no VM.
func (h *Homes) HomeVM(subject, region, zone string) string {
	key := homeKey{subject, Location{region, zone}}
	if vm, ok := h.chosen[key]; ok {
		return vm
	}
	names := h.zones[key.location]
	if len(names) == 0 {
		names = h.regions[region]
	}
	vm := highestWeight(subject, names)
	h.chosen[key] = vm
	return vm
}

// highestWeight returns the name with the highest weight for the subject, the
// first one on a tie.
func highestWeight(subject string, names []string) string {
	best, bestWeight := "", uint64(0)
	for _, name := range names {
		weight := xxhash.Sum64String(subject + "\x00" + name)
		if best == "" || weight > bestWeight {
			best, bestWeight = name, weight
		}
	}
	return best
}
