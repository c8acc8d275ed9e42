package control

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavacrank.example/config"
)

// memberTable is what this VM knows about the VMs of the fleet.
type memberTable struct {
	known          bool
	list           []Member
	aliveSince     map[string]time.Duration
	lastHeartbeats map[string]heartbeatRecord
	// everAlive holds the VMs that were seen alive at least once since this
	// process started.
	everAlive map[string]bool
	// startupGraceEnd is the time from which VMs that were never seen alive may
	// be suspected. A VM that has just started has not heard from any other
	// yet.
	startupGraceEnd time.Duration
	// heartbeatTargets are the VMs that get this VM's heartbeats, sorted by
	// name.
	heartbeatTargets []string
	heartbeatAt      time.Duration
	targetsChosenAt  time.Duration
	// rebalancedAt is when this VM last looked for a term to hand over for a
	// better balance.
	rebalancedAt time.Duration
}

// heartbeatRecord is the latest heartbeat from a VM.
type heartbeatRecord struct {
	at    time.Duration
	final bool // The VM announced that no more follow.
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

// observe updates since when each VM has been alive without interruption.
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

// resetHeartbeatAges restarts the timeouts of all heartbeats after a pause, in
// which this VM could not receive any.
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

// suspects reports whether a VM is presumed lost. The VM's own heartbeats take
// precedence over the fleet's failure detector.
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

// listedAlive reports whether the fleet's failure detector considers a VM
// alive.
func (t *memberTable) listedAlive(name string) bool {
	member, listed := t.find(name)
	return listed && member.Alive
}

// Tiers of the VMs that may hold a server's term, preferred first.
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
// tier, then by rendezvous hash with the current grantor, so that only a few
// VMs are next in line for all of that grantor's terms. The second candidate is
// in a different availability zone than the first if possible, so that the loss
// of a zone leaves one of the two. The current grantor, and VMs that are not
// alive or are leaving, are excluded.
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

// rank returns the position of a VM among candidates, or -1.
func rank(candidates []candidate, name string) int {
	return slices.IndexFunc(candidates, func(c candidate) bool { return c.member.Name == name })
}

func rendezvous(name, vm string) uint64 {
	return xxhash.Sum64String(name + "\x00" + vm)
}

// lostTable holds what operators declared lost, and when this VM learnt of it.
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

// vmDeclaredLost reports whether a VM, its availability zone or its region is
// declared lost, and since when.
func (m *Machine) vmDeclaredLost(name string) (time.Duration, bool) {
	member, _ := m.members.find(name)
	return m.declaredLost.earliest(m.now, member.Region, member.Zone, config.LostVM, name)
}
