package membership

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavacrank.example/event"
	fleetv1 "guavacrank.example/fleet/gen/fleet/v1"
	"guavacrank.example/kvstore"
)

const (
	// WatcherCount is the number of watchers of each VM.
	WatcherCount = 3
	// HeartbeatInterval is the time between two heartbeats to a watcher.
	HeartbeatInterval = 200 * time.Millisecond
	// SuspectAfter is the time without messages after which a watcher accuses a
	// VM.
	SuspectAfter = 500 * time.Millisecond
	// pingAfter is the time without messages after which a watcher pings a VM.
	pingAfter = 300 * time.Millisecond
	// pingInterval is the time between two pings of an unresponsive VM.
	pingInterval = 300 * time.Millisecond
	// accusedPingInterval is the time between two pings of an accused VM.
	accusedPingInterval = time.Second
	// watchGrace is how long a new watcher waits before it expects messages.
	watchGrace = time.Second
	// pauseThreshold is the time between two ticks above which this VM counts
	// as paused.
	pauseThreshold = 250 * time.Millisecond
	// recentContactWindow is how recently a message from another VM must have
	// arrived for this VM to accuse one.
	recentContactWindow = 250 * time.Millisecond
	// isolatedAfter is the time without any messages after which this VM
	// considers itself isolated.
	isolatedAfter = 3 * time.Second
	// noContactLimit is the time without any messages after which this VM
	// restarts its watches on the next message: the missing messages may have
	// been lost on its own side.
	noContactLimit = 450 * time.Millisecond
	// extraPings is the number of other VMs that are pinged together with an
	// unresponsive one.
	extraPings = 2
)

// watch is this VM's observation of one other VM.
type watch struct {
	lastContact time.Duration
	pingedAt    time.Duration
	accused     bool
	boot        uint64 // Process that is accused.
}

// ringEntry is a VM on the hash ring that assigns watchers.
type ringEntry struct {
	position uint64
	name     string
	zone     string
}

// rings are the eligible VMs in the order of their hashed names, for the whole
// fleet and for each region.
type rings struct {
	fleet   []ringEntry
	regions map[string][]ringEntry
}

func (m *Machine) rings() rings {
	r := rings{regions: make(map[string][]ringEntry)}
	for _, name := range m.names {
		row := m.members[name]
		if !row.eligible() && (name != m.options.Self.Name || m.leaving) {
			continue
		}
		r.fleet = append(r.fleet, ringEntry{position: xxhash.Sum64String(name), name: name, zone: row.vm.Zone})
	}
	slices.SortFunc(r.fleet, func(a, b ringEntry) int {
		if a.position != b.position {
			return cmp.Compare(a.position, b.position)
		}
		return strings.Compare(a.name, b.name)
	})
	for _, e := range r.fleet {
		region := m.members[e.name].vm.Region
		r.regions[region] = append(r.regions[region], e)
	}
	return r
}

// watchersOf returns the watchers of a VM: its successors on the ring of its
// region, or on the fleet's ring if the region has too few other VMs. The
// result does not depend on whether the VM itself is on the ring.
func (r rings) watchersOf(vm kvstore.VM, onRing bool) []string {
	ring := r.regions[vm.Region]
	others := len(ring)
	if onRing {
		others--
	}
	if others < WatcherCount {
		ring = r.fleet
	}
	return watchersOf(ring, vm.Name, vm.Zone)
}

// watchersOf returns the successors of a VM on the ring. At least one of them
// is in another availability zone if the ring has one.
func watchersOf(ring []ringEntry, name, zone string) []string {
	position := xxhash.Sum64String(name)
	start, _ := slices.BinarySearchFunc(ring, position, func(e ringEntry, p uint64) int {
		return cmp.Compare(e.position, p)
	})
	var watchers []string
	otherZone := false
	for i := range ring {
		e := ring[(start+i)%len(ring)]
		if e.name == name {
			continue
		}
		last := len(watchers) == WatcherCount-1
		if last && !otherZone && e.zone == zone && hasOtherZone(ring, start+i+1, len(ring)-i-1, zone) {
			continue
		}
		otherZone = otherZone || e.zone != zone
		watchers = append(watchers, e.name)
		if len(watchers) == WatcherCount {
			break
		}
	}
	return watchers
}

// hasOtherZone reports whether one of the next entries is in another zone.
func hasOtherZone(ring []ringEntry, start, count int, zone string) bool {
	for i := range count {
		if ring[(start+i)%len(ring)].zone != zone {
			return true
		}
	}
	return false
}

// refreshWatches reassigns watchers after a membership change. A watcher that
// accuses a VM keeps watching it until a message from it arrives: otherwise its
// vote would expire because the failure itself changed the assignment.
func (m *Machine) refreshWatches(now time.Duration) {
	if !m.watchesStale {
		return
	}
	m.watchesStale = false
	self := m.options.Self
	rings := m.rings()
	m.watchers = rings.watchersOf(self, !m.leaving)
	for _, name := range m.names {
		row := m.members[name]
		assigned := name != self.Name && row.record != nil && slices.Contains(rings.watchersOf(row.vm, row.eligible()), self.Name)
		old, watched := m.watched[name]
		switch {
		case assigned && !watched:
			m.watched[name] = &watch{lastContact: now + watchGrace}
		case !assigned && watched && !old.accused:
			delete(m.watched, name)
		}
	}
	m.watchedNames = slices.Sorted(maps.Keys(m.watched))
}

// resetWatch restarts the observation of a VM.
func (m *Machine) resetWatch(now time.Duration, name string) {
	w, watched := m.watched[name]
	if !watched {
		return
	}
	m.recordChanged = m.recordChanged || w.accused
	*w = watch{lastContact: now + watchGrace}
}

// receive records contact with a VM, answers pings and withdraws an accusation.
func (m *Machine) receive(now time.Duration, in Received) {
	if _, ping := in.Message.GetBody().(*fleetv1.ExchangeRequest_Ping); ping {
		m.send(in.From, &fleetv1.ExchangeRequest{Body: &fleetv1.ExchangeRequest_Pong{Pong: &fleetv1.Pong{}}})
	}
	if now-m.lastContact > noContactLimit && !m.options.Mutations.AccuseWhenIsolated {
		m.restartWatches(now)
	}
	m.lastContact = now
	if row, present := m.members[in.From]; present {
		row.lastContact = now
		row.hasContact = true
	}
	w, watched := m.watched[in.From]
	if !watched {
		return
	}
	w.lastContact = max(w.lastContact, now)
	w.pingedAt = 0
	if w.accused {
		w.accused = false
		m.recordChanged = true
		m.watchesStale = true
	}
}

// detectPause restarts all watches if this VM's own process was paused.
func (m *Machine) detectPause(now time.Duration) {
	if now-m.lastTick <= pauseThreshold || m.options.Mutations.AccuseWhenIsolated {
		return
	}
	m.event(event.ObserverPaused, "this VM's process did not run", "gap", (now - m.lastTick).String())
	m.lastContact = now
	m.restartWatches(now)
}

// restartWatches restarts all observations, since the missing messages were, or
// may have been, lost on this VM's side.
func (m *Machine) restartWatches(now time.Duration) {
	for _, w := range m.watched {
		w.lastContact = max(w.lastContact, now)
		w.pingedAt = 0
	}
}

// detectIsolation updates whether this VM is isolated.
func (m *Machine) detectIsolation(now time.Duration) {
	isolated := now-m.lastContact > isolatedAfter
	if isolated == m.isolated {
		return
	}
	m.isolated = isolated
	m.ready.MembersChanged = true
	if isolated && len(m.names) > 1 {
		m.event(event.ObserverIsolated, "no message from any other VM", "for", (now - m.lastContact).String())
	}
}

func (m *Machine) sendHeartbeats(now time.Duration) {
	if now < m.heartbeatAt {
		return
	}
	m.heartbeatAt = now + HeartbeatInterval
	for _, name := range m.watchers {
		m.send(name, &fleetv1.ExchangeRequest{Body: &fleetv1.ExchangeRequest_Heartbeat{Heartbeat: &fleetv1.Heartbeat{}}})
	}
}

// checkWatched pings unresponsive VMs and accuses those that remain so.
func (m *Machine) checkWatched(now time.Duration) {
	for _, name := range m.watchedNames {
		w := m.watched[name]
		silence := now - w.lastContact
		interval := pingInterval
		if w.accused {
			interval = accusedPingInterval
		}
		if silence >= pingAfter && (w.pingedAt == 0 || now-w.pingedAt >= interval) {
			w.pingedAt = now
			m.pingUnresponsive(name, !w.accused)
		}
		if silence >= SuspectAfter && !w.accused && (m.hasRecentContact(now, name) || m.options.Mutations.AccuseWhenIsolated) {
			w.accused = true
			w.boot = m.members[name].record.GetBoot()
			m.setAccusing(m.options.Self.Name, true)
			m.recordChanged = true
		}
	}
}

// pingUnresponsive pings an unresponsive VM. With others, it also pings a few
// other VMs to find out whether this VM itself is disconnected.
func (m *Machine) pingUnresponsive(name string, others bool) {
	m.sendPing(name)
	if !others {
		return
	}
	sent := 0
	for _, other := range m.names {
		row := m.members[other]
		if other == name || other == m.options.Self.Name || !row.eligible() || m.watched[other] != nil {
			continue
		}
		m.sendPing(other)
		sent++
		if sent == extraPings {
			return
		}
	}
}

func (m *Machine) sendPing(to string) {
	m.send(to, &fleetv1.ExchangeRequest{Body: &fleetv1.ExchangeRequest_Ping{Ping: &fleetv1.Ping{}}})
}

// hasRecentContact reports whether a message from a VM other than the suspect
// arrived recently, which shows that this VM itself is connected. It also
// returns true if no other VM is known that could have sent one.
func (m *Machine) hasRecentContact(now time.Duration, suspect string) bool {
	others := false
	for _, name := range m.names {
		row := m.members[name]
		if name == suspect || name == m.options.Self.Name || row.record == nil {
			continue
		}
		if row.hasContact && now-row.lastContact <= recentContactWindow {
			return true
		}
		others = others || !row.failed
	}
	return !others
}

// accusations returns this VM's accusations, sorted by name.
func (m *Machine) accusations() []*fleetv1.Accusation {
	var all []*fleetv1.Accusation
	for _, name := range slices.Sorted(maps.Keys(m.watched)) {
		if w := m.watched[name]; w.accused {
			all = append(all, &fleetv1.Accusation{Name: name, Boot: w.boot})
		}
	}
	return all
}
