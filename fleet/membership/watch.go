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
	// WatcherCount is the number of VMs that watch each VM.
	WatcherCount = 3
	// HeartbeatInterval is the time between two heartbeats to a watcher.
	HeartbeatInterval = 200 * time.Millisecond
	// SuspectAfter is the silence after which a watcher accuses.
	SuspectAfter = 500 * time.Millisecond
	// pingAfter is the silence after which a watcher asks.
	pingAfter = 300 * time.Millisecond
	// pingInterval is the time between two pings of a silent VM.
	pingInterval = 300 * time.Millisecond
	// accusedPingInterval is the time between two pings of an accused VM.
	accusedPingInterval = time.Second
	// watchGrace is how long a new watcher waits before it counts silence.
	watchGrace = time.Second
	// pauseGap is the time between two ticks from which this VM counts as paused.
	pauseGap = 250 * time.Millisecond
	// witnessWindow is how recently another VM must have been heard to accuse one.
	witnessWindow = 250 * time.Millisecond
	// isolatedAfter is how long a VM that hears nobody keeps its last view.
	isolatedAfter = 3 * time.Second
	// deafAfter is how long this VM may hear nobody before the silence of the
	// others counts anew.
	deafAfter = 450 * time.Millisecond
	// helperCount is the number of other VMs that are pinged with a silent one.
	helperCount = 2
)

// watch is this VM's observation of one other.
type watch struct {
	lastHeard time.Duration
	pingedAt  time.Duration
	accused   bool
	boot      uint64 // Of the accused process.
}

// ringEntry is a VM on the ring that assigns watchers.
type ringEntry struct {
	position uint64
	name     string
	zone     string
}

// rings are the usable VMs in the order of their hashed names, for the whole
// fleet and for each region.
type rings struct {
	fleet   []ringEntry
	regions map[string][]ringEntry
}

func (m *Machine) rings() rings {
	r := rings{regions: make(map[string][]ringEntry)}
	for _, name := range m.names {
		row := m.members[name]
		if !row.usable() && (name != m.options.Self.Name || m.leaving) {
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

// watchersOf returns the successors of a VM on the ring of its region, or of
// the fleet where the region has too few others. The VM's own state, and so
// whether it is on the ring, has no influence.
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

// watchersOf returns the successors of a VM on the ring; at least one of them
// is in another availability zone where there is one.
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
		if last && !otherZone && e.zone == zone && zoneFollows(ring, start+i+1, len(ring)-i-1, zone) {
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

// zoneFollows reports whether one of the next entries is in another zone.
func zoneFollows(ring []ringEntry, start, count int, zone string) bool {
	for i := range count {
		if ring[(start+i)%len(ring)].zone != zone {
			return true
		}
	}
	return false
}

// refreshWatches works out who watches whom after the membership changed. A
// watcher that accuses goes on until it hears the VM: its vote must not lapse
// because the VM's silence changed who watches.
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
		mine := name != self.Name && row.record != nil && slices.Contains(rings.watchersOf(row.vm, row.usable()), self.Name)
		old, watched := m.watched[name]
		switch {
		case mine && !watched:
			m.watched[name] = &watch{lastHeard: now + watchGrace}
		case !mine && watched && !old.accused:
			delete(m.watched, name)
		}
	}
	m.watchedNames = slices.Sorted(maps.Keys(m.watched))
}

// resetWatch starts the observation of a VM anew.
func (m *Machine) resetWatch(now time.Duration, name string) {
	w, watched := m.watched[name]
	if !watched {
		return
	}
	m.recordChanged = m.recordChanged || w.accused
	*w = watch{lastHeard: now + watchGrace}
}

// hear notes that a VM sent something, answers pings and withdraws an accusation.
func (m *Machine) hear(now time.Duration, in Received) {
	if _, ping := in.Message.GetBody().(*fleetv1.ExchangeRequest_Ping); ping {
		m.send(in.From, &fleetv1.ExchangeRequest{Body: &fleetv1.ExchangeRequest_Pong{Pong: &fleetv1.Pong{}}})
	}
	if now-m.lastHeard > deafAfter && !m.options.Mutations.AccuseWhenIsolated {
		m.restartWatches(now)
	}
	m.lastHeard = now
	if row, present := m.members[in.From]; present {
		row.heardAt = now
		row.heard = true
	}
	w, watched := m.watched[in.From]
	if !watched {
		return
	}
	w.lastHeard = max(w.lastHeard, now)
	w.pingedAt = 0
	if w.accused {
		w.accused = false
		m.recordChanged = true
		m.watchesStale = true
	}
}

// noticePause notes that this VM itself stood still.
func (m *Machine) noticePause(now time.Duration) {
	if now-m.lastTick <= pauseGap || m.options.Mutations.AccuseWhenIsolated {
		return
	}
	m.event(event.ObserverPaused, "this VM stood still", "gap", (now - m.lastTick).String())
	m.lastHeard = now
	m.restartWatches(now)
}

// restartWatches starts all observations anew: the silence was, or may have
// been, this VM's own.
func (m *Machine) restartWatches(now time.Duration) {
	for _, w := range m.watched {
		w.lastHeard = max(w.lastHeard, now)
		w.pingedAt = 0
	}
}

// noticeIsolation notes whether this VM has heard nobody for long.
func (m *Machine) noticeIsolation(now time.Duration) {
	isolated := now-m.lastHeard > isolatedAfter
	if isolated == m.isolated {
		return
	}
	m.isolated = isolated
	m.ready.MembersChanged = true
	if isolated && len(m.names) > 1 {
		m.event(event.ObserverIsolated, "no other VM was heard", "for", (now - m.lastHeard).String())
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

// checkWatched pings silent VMs, and accuses those that stay silent.
func (m *Machine) checkWatched(now time.Duration) {
	for _, name := range m.watchedNames {
		w := m.watched[name]
		silence := now - w.lastHeard
		interval := pingInterval
		if w.accused {
			interval = accusedPingInterval
		}
		if silence >= pingAfter && (w.pingedAt == 0 || now-w.pingedAt >= interval) {
			w.pingedAt = now
			m.pingWithHelpers(name, !w.accused)
		}
		if silence >= SuspectAfter && !w.accused && (m.hasWitness(now, name) || m.options.Mutations.AccuseWhenIsolated) {
			w.accused = true
			w.boot = m.members[name].record.GetBoot()
			m.noteAccusing(m.options.Self.Name, true)
			m.recordChanged = true
		}
	}
}

// pingWithHelpers asks a silent VM, and some others to learn whether this VM
// itself is cut off.
func (m *Machine) pingWithHelpers(name string, helpers bool) {
	m.sendPing(name)
	if !helpers {
		return
	}
	sent := 0
	for _, other := range m.names {
		row := m.members[other]
		if other == name || other == m.options.Self.Name || !row.usable() || m.watched[other] != nil {
			continue
		}
		m.sendPing(other)
		sent++
		if sent == helperCount {
			return
		}
	}
}

func (m *Machine) sendPing(to string) {
	m.send(to, &fleetv1.ExchangeRequest{Body: &fleetv1.ExchangeRequest_Ping{Ping: &fleetv1.Ping{}}})
}

// hasWitness reports whether another VM was heard lately, so that the silence
// is not this VM's own. Where there is no other VM, none is needed.
func (m *Machine) hasWitness(now time.Duration, suspect string) bool {
	others := false
	for _, name := range m.names {
		row := m.members[name]
		if name == suspect || name == m.options.Self.Name || row.record == nil {
			continue
		}
		if row.heard && now-row.heardAt <= witnessWindow {
			return true
		}
		others = others || !row.condemned
	}
	return !others
}

// accusations returns this VM's accusations in the order of names.
func (m *Machine) accusations() []*fleetv1.Accusation {
	var all []*fleetv1.Accusation
	for _, name := range slices.Sorted(maps.Keys(m.watched)) {
		if w := m.watched[name]; w.accused {
			all = append(all, &fleetv1.Accusation{Name: name, Boot: w.boot})
		}
	}
	return all
}
