package route

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Homes chooses the VMs that queue for backend servers, by rendezvous hash
// over the places of the VMs. It remembers its choices, so that a new snapshot
// with the same places costs no more than comparing them. It is not safe for
// concurrent use.
type Homes struct {
	places  map[string]Location
	zones   map[Location][]string
	regions map[string][]string
	chosen  map[homeKey]string
}

type homeKey struct {
	subject string
	place   Location
}

// NewHomes returns the homes for the given places, which must not be changed.
func NewHomes(places map[string]Location) *Homes {
	h := &Homes{
		places:  places,
		zones:   make(map[Location][]string),
		regions: make(map[string][]string),
		chosen:  make(map[homeKey]string),
	}
	names := make([]string, 0, len(places))
	for name := range places {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		place := places[name]
		h.zones[place] = append(h.zones[place], name)
		h.regions[place.Region] = append(h.regions[place.Region], name)
	}
	return h
}

// WithLocations returns h if the places are still the same, or else new homes.
func (h *Homes) WithLocations(places map[string]Location) *Homes {
	if h == nil || len(places) != len(h.places) {
		return NewHomes(places)
	}
	for name, place := range places {
		if h.places[name] != place {
			return NewHomes(places)
		}
	}
	return h
}

// Empty says whether no VM has a place.
func (h *Homes) Empty() bool { return len(h.places) == 0 }

// HomeVM returns the VM that queues for a server, or for a group of servers,
// in a zone: the first in rendezvous order among the VMs of the zone, or else
// of the region. Every VM with the same places gets the same answer; a
// different one costs a detour, never a promise. It is empty when the region
// has no VM.
func (h *Homes) HomeVM(subject, region, zone string) string {
	key := homeKey{subject, Location{region, zone}}
	if vm, ok := h.chosen[key]; ok {
		return vm
	}
	names := h.zones[key.place]
	if len(names) == 0 {
		names = h.regions[region]
	}
	vm := heaviest(subject, names)
	h.chosen[key] = vm
	return vm
}

// heaviest returns the name with the greatest weight for the subject; of equal
// ones the first.
func heaviest(subject string, names []string) string {
	best, bestWeight := "", uint64(0)
	for _, name := range names {
		weight := xxhash.Sum64String(subject + "\x00" + name)
		if best == "" || weight > bestWeight {
			best, bestWeight = name, weight
		}
	}
	return best
}
