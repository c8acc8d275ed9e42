package spread

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// treeFanOut is the number of children of a VM in its zone's tree.
const treeFanOut = 4

// relay is the VM that receives documents for one availability zone and
// forwards them within it.
type relay struct {
	region, zone string
	peer         Peer
	weight       uint64
}

// topology arranges the members as a tree of regions, zones and VMs.
type topology struct {
	self  Peer
	peers []Peer // Sorted by name, self included.
	index map[string]int
	// zoneRelay and regionRelay are the relays of this VM's zone and region.
	zoneRelay, regionRelay string
	// regionSize is the number of other reachable VMs in this VM's region.
	regionSize int
	// ancestors are the VMs above this one in its zone's tree, starting with
	// the parent.
	ancestors []string
}

func newTopology(self Peer, peers []Peer) *topology {
	t := &topology{self: self, peers: peers, index: make(map[string]int, len(peers))}
	for i, peer := range peers {
		t.index[peer.Name] = i
		if peer.Name == self.Name {
			t.self = peer
		}
	}
	for _, peer := range peers {
		if peer.Reachable && peer.Region == t.self.Region && peer.Name != t.self.Name {
			t.regionSize++
		}
	}
	relays := t.relays(func(string) bool { return false })
	t.zoneRelay = zoneRelay(relays, t.self.Region, t.self.Zone)
	t.regionRelay = regionRelay(relays, t.self.Region)
	t.ancestors = t.pathToRelay()
	return t
}

// pathToRelay returns the VMs above this one in its zone's tree, starting with
// the parent. The tree is laid out in rendezvous order: its root is the zone's
// relay, and each VM has treeFanOut children. Even if VMs disagree on the
// membership there are no cycles, since a parent always precedes its children
// in that order.
func (t *topology) pathToRelay() []string {
	var zone []relay
	for _, peer := range t.peers {
		if peer.Region == t.self.Region && peer.Zone == t.self.Zone && (peer.CanRelay || peer.Name == t.self.Name) {
			zone = append(zone, relay{peer: peer, weight: rendezvousWeight(peer.Zone, peer.Name)})
		}
	}
	slices.SortFunc(zone, func(a, b relay) int { return cmp.Compare(b.weight, a.weight) })
	position := slices.IndexFunc(zone, func(r relay) bool { return r.peer.Name == t.self.Name })
	var path []string
	for position > 0 {
		position = (position - 1) / treeFanOut
		path = append(path, zone[position].peer.Name)
	}
	return path
}

func (t *topology) peer(name string) (Peer, bool) {
	i, present := t.index[name]
	if !present {
		return Peer{}, false
	}
	return t.peers[i], true
}

// relays returns one relay for each zone that has a VM that can relay, sorted
// by region and zone. The relay is the VM with the highest rendezvous weight,
// so VMs with the same membership agree on it without an election.
func (t *topology) relays(skip func(name string) bool) []relay {
	var found []relay
	for _, peer := range t.peers {
		if !peer.CanRelay || skip(peer.Name) {
			continue
		}
		candidate := relay{region: peer.Region, zone: peer.Zone, peer: peer, weight: rendezvousWeight(peer.Zone, peer.Name)}
		i, present := slices.BinarySearchFunc(found, candidate, compareZones)
		if !present {
			found = slices.Insert(found, i, candidate)
			continue
		}
		if candidate.weight > found[i].weight {
			found[i] = candidate
		}
	}
	return found
}

func compareZones(a, b relay) int {
	if order := strings.Compare(a.region, b.region); order != 0 {
		return order
	}
	return strings.Compare(a.zone, b.zone)
}

// zoneRelay returns the name of the zone's relay, or "".
func zoneRelay(relays []relay, region, zone string) string {
	for _, r := range relays {
		if r.region == region && r.zone == zone {
			return r.peer.Name
		}
	}
	return ""
}

// regionRelay returns the name of the zone relay that also receives documents
// from other regions and watches the store for its region, or "".
func regionRelay(relays []relay, region string) string {
	best, bestWeight, bestFailing := "", uint64(0), true
	for _, r := range relays {
		if r.region != region {
			continue
		}
		weight := rendezvousWeight(region, r.peer.Name)
		better := best == "" || (bestFailing && !r.peer.StoreFailing) ||
			(bestFailing == r.peer.StoreFailing && weight > bestWeight)
		if better {
			best, bestWeight, bestFailing = r.peer.Name, weight, r.peer.StoreFailing
		}
	}
	return best
}

// regions returns the names of all regions, sorted.
func (t *topology) regions() []string {
	var names []string
	for _, peer := range t.peers {
		if i, present := slices.BinarySearch(names, peer.Region); !present {
			names = slices.Insert(names, i, peer.Region)
		}
	}
	return names
}

// rendezvousWeight returns the weight of a VM within a scope (rendezvous
// hashing).
func rendezvousWeight(scope, name string) uint64 {
	return xxhash.Sum64String(scope + "|" + name)
}
