package control

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavacrank.example/config"
)

// memberTable is what this VM knows of the VMs of the fleet.
type memberTable struct {
	known          bool
	list           []Member
	aliveSince     map[string]time.Duration
	lastHeartbeats map[string]heartbeatRecord
	// met holds the VMs that were alive at least once since this process began.
	everAlive map[string]bool
	// settledAt is when VMs that were never met may be suspected: a VM that just
	// began has not heard anybody yet.
	startupGraceEnd time.Duration
	// targets are the VMs that get this VM's heartbeats, sorted.
	heartbeatTargets []string
	heartbeatAt      time.Duration
	targetsChosenAt  time.Duration
	// rebalancedAt is when this VM last handed over a term for a better spread.
	rebalancedAt time.Duration
}

// heard is the newest heartbeat of a VM.
type heartbeatRecord struct {
	at    time.Duration
	final bool // It announced that no more follow.
}

func (t *memberTable) init() {
	t.aliveSince = make(map[string]time.Duration)
	t.lastHeartbeats = make(map[string]heartbeatRecord)
	t.everAlive = make(map[string]bool)
}

func (t *memberTable) replace(members []Member) {
	t.known = true
	t.list = slices.Clone(members)
	slices.SortFunc(t.list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
}

// observe notes since when each VM has been alive without a break.
func (t *memberTable) observe(now time.Duration) {
	if t.known && t.startupGraceEnd == 0 {
		t.startupGraceEnd = now + startupGrace
	}
	for _, member := range t.list {
		_, alive := t.aliveSince[member.Name]
		switch {
		case member.Alive && !member.Leaving && !alive:
			t.aliveSince[member.Name] = now
			t.everAlive[member.Name] = true
		case (!member.Alive || member.Leaving) && alive:
			delete(t.aliveSince, member.Name)
		}
	}
}

// resume forgets the age of heartbeats that this VM could not have heard.
func (t *memberTable) resetHeartbeatAges(now time.Duration) {
	for name, latest := range t.lastHeartbeats {
		latest.at = now
		t.lastHeartbeats[name] = latest
	}
}

func (t *memberTable) find(name string) (Member, bool) {
	i, found := slices.BinarySearchFunc(t.list, name, func(member Member, name string) int {
		return strings.Compare(member.Name, name)
	})
	if !found {
		return Member{}, false
	}
	return t.list[i], true
}

// suspects reports whether a VM is believed lost. Its own heartbeats outweigh
// what the fleet's probes say.
func (t *memberTable) suspects(name string, now time.Duration) bool {
	latest, known := t.lastHeartbeats[name]
	if known && !latest.final {
		return now-latest.at >= heartbeatTimeout
	}
	if !t.known || t.listedAlive(name) {
		return false
	}
	return t.everAlive[name] || now >= t.startupGraceEnd
}

// listedAlive reports whether the fleet's probes reach a VM.
func (t *memberTable) listedAlive(name string) bool {
	member, listed := t.find(name)
	return listed && member.Alive
}

// Tiers of the VMs that may hold a server's term, best first.
const (
	tierOtherZone   = iota // In the server's region, outside its zone.
	tierSameZone           // In the server's zone.
	tierOtherRegion        // Outside the server's region.
)

func tierOf(member Member, sv config.Server) int {
	switch {
	case member.Region != sv.Region:
		return tierOtherRegion
	case member.Zone == sv.Zone:
		return tierSameZone
	default:
		return tierOtherZone
	}
}

// candidate is a VM that may hold a server's term.
type candidate struct {
	member Member
	tier   int
	hash   uint64
}

// candidates returns the VMs that may hold a server's term, best first: by
// tier, then by rendezvous hash with the present grantor, so that few VMs are
// next for all of its terms. The second one is from another availability zone
// than the first where there is one, so that the loss of a zone leaves one of
// the two. The present grantor, and VMs not alive or leaving, are left out.
func (t *memberTable) candidates(sv config.Server, grantor string) []candidate {
	hashed := cmp.Or(grantor, sv.Name)
	found := make([]candidate, 0, len(t.list))
	for _, member := range t.list {
		if member.Name == grantor || !member.Alive || member.Leaving {
			continue
		}
		found = append(found, candidate{member, tierOf(member, sv), rendezvous(hashed, member.Name)})
	}
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(b.hash, a.hash), strings.Compare(a.member.Name, b.member.Name))
	})
	if len(found) < 3 {
		return found
	}
	second := slices.IndexFunc(found, func(c candidate) bool { return c.member.Zone != found[0].member.Zone })
	if second > 1 {
		chosen := found[second]
		copy(found[2:second+1], found[1:second])
		found[1] = chosen
	}
	return found
}

// rank returns the place of a VM among candidates, or -1.
func rank(candidates []candidate, name string) int {
	return slices.IndexFunc(candidates, func(c candidate) bool { return c.member.Name == name })
}

func rendezvous(name, vm string) uint64 {
	return xxhash.Sum64String(name + "\x00" + vm)
}

// lostTable holds what operators declared lost, and when this VM learnt it.
type lostTable map[config.Lost]time.Duration

func (t lostTable) since(kind config.LostKind, name string) (time.Duration, bool) {
	at, declared := t[config.Lost{Kind: kind, Name: name}]
	return at, declared
}

func (t lostTable) earliest(now time.Duration, region, zone string, kind config.LostKind, name string) (time.Duration, bool) {
	earliest, declared := now, false
	for _, what := range []config.Lost{{Kind: kind, Name: name}, {Kind: config.LostZone, Name: zone}, {Kind: config.LostRegion, Name: region}} {
		if at, found := t.since(what.Kind, what.Name); found && what.Name != "" {
			earliest, declared = min(earliest, at), true
		}
	}
	return earliest, declared
}

// serverDeclaredLost reports whether an operator declared a server, its
// availability zone or its region lost.
func (m *Machine) serverDeclaredLost(sv *server) bool {
	_, declared := m.declaredLost.earliest(m.now, sv.config.Region, sv.config.Zone, config.LostServer, sv.name)
	return declared
}

// vmDeclaredLost returns since when a VM, its zone or its region is declared lost.
func (m *Machine) vmDeclaredLost(name string) (time.Duration, bool) {
	member, _ := m.members.find(name)
	return m.declaredLost.earliest(m.now, member.Region, member.Zone, config.LostVM, name)
}
