package route

import "github.com/cespare/xxhash/v2"

// QueueVM returns the VM that queues for a server, or for a group of servers,
// in a zone: the first in rendezvous order among the VMs of the zone, or else
// of the region. Every VM with the same places gets the same answer; a
// different one costs a detour, never a promise. It is empty when the region
// has no VM.
func (s *Snapshot) QueueVM(subject, region, zone string) string {
	best, bestInZone, bestWeight := "", false, uint64(0)
	for name, place := range s.Places {
		if place.Region != region {
			continue
		}
		inZone := place.Zone == zone
		weight := xxhash.Sum64String(subject + "\x00" + name)
		if better(inZone, weight, name, bestInZone, bestWeight, best) {
			best, bestInZone, bestWeight = name, inZone, weight
		}
	}
	return best
}

// better compares two VMs: the one in the zone, of the greater weight, of the
// lesser name.
func better(inZone bool, weight uint64, name string, thanInZone bool, thanWeight uint64, than string) bool {
	switch {
	case than == "":
		return true
	case inZone != thanInZone:
		return inZone
	case weight != thanWeight:
		return weight > thanWeight
	default:
		return name < than
	}
}
