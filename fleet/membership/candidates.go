package membership

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"guavacrank.example/event"
	"guavacrank.example/fleet/document"
	fleetv1 "guavacrank.example/fleet/gen/fleet/v1"
	"guavacrank.example/kvstore"
)

const (
	// forgetUnlisted is how long a condemned VM that the list no longer shows is kept.
	forgetUnlisted = time.Minute
	// forgetLeft is how long a VM that announced its stop is kept after it fell silent.
	forgetLeft = 10 * time.Second
	// forgetInterval is the time between two looks for VMs that are gone.
	forgetInterval = time.Second
)

// takeList takes the platform's list. It may lag or be wrong: it adds
// candidates, but a VM that was heard is not removed on its word, and a list
// that calls more than half of a region leaving is not believed in that.
func (m *Machine) takeList(vms []kvstore.VM) {
	believed := m.believeLeaving(vms)
	listed := make(map[string]kvstore.VM, len(vms))
	for _, vm := range vms {
		if vm.Name == "" {
			continue
		}
		listed[vm.Name] = vm
		m.add(vm.Name)
	}
	for _, name := range append([]string(nil), m.names...) {
		vm, present := listed[name]
		m.takeListed(m.members[name], vm, present, believed[vm.Region])
	}
}

func (m *Machine) takeListed(row *member, vm kvstore.VM, present, believed bool) {
	row.listed = present
	leaving := present && vm.Leaving && believed
	if row.listedLeaving != leaving {
		row.listedLeaving = leaving
		m.changed()
	}
	if row.vm.Name == m.options.Self.Name || row.record != nil {
		return
	}
	if !present {
		m.remove(row.vm.Name)
		return
	}
	if row.vm != vm {
		row.vm = vm
		m.changed()
	}
}

// believeLeaving tells for each region whether its leaving marks are plausible.
func (m *Machine) believeLeaving(vms []kvstore.VM) map[string]bool {
	total, leaving := make(map[string]int), make(map[string]int)
	for _, vm := range vms {
		total[vm.Region]++
		if vm.Leaving {
			leaving[vm.Region]++
		}
	}
	believed := make(map[string]bool, len(total))
	for region, count := range total {
		believed[region] = 2*leaving[region] <= count
	}
	return believed
}

// takeRecord takes what a VM says about itself.
func (m *Machine) takeRecord(now time.Duration, changed document.Document) {
	name := strings.TrimPrefix(changed.Key, RecordPrefix)
	if name == m.options.Self.Name {
		m.defendName(now, changed)
		return
	}
	if changed.Deleted {
		m.forget(name)
		return
	}
	record := &fleetv1.MemberRecord{}
	if err := proto.Unmarshal(changed.Value, record); err != nil || record.GetName() != name || name == "" {
		return
	}
	row := m.add(name)
	if row.record == nil {
		m.event(event.MemberJoined, "record received", "vm", name, "zone", record.GetZone())
		m.announceToFirst(now)
	}
	if row.record.GetBoot() != record.GetBoot() {
		row.heard = false
		m.resetWatch(now, name)
	}
	row.record = record
	row.version = changed.Version
	m.noteAccusing(name, len(record.GetAccusations()) > 0)
	row.vm = kvstore.VM{Name: name, Region: record.GetRegion(), Zone: record.GetZone(), Peer: record.GetPeer()}
	m.changed()
}

// announceToFirst repeats this VM's record soon after it learned of its first
// peers: the first announcement reached nobody.
func (m *Machine) announceToFirst(now time.Duration) {
	if m.announceAt == 0 && now-m.started < startDuration {
		m.announceAt = now + announceAgain
	}
}

// defendName answers a record under this VM's own name that another process
// wrote: an earlier process, or a second one that uses the same name.
func (m *Machine) defendName(now time.Duration, changed document.Document) {
	record := &fleetv1.MemberRecord{}
	if err := proto.Unmarshal(changed.Value, record); err == nil && record.GetBoot() == m.options.Boot && !changed.Deleted {
		return
	}
	if changed.Version < m.version {
		return
	}
	m.version = changed.Version
	if m.claimedAt != 0 {
		m.event(event.NameUsedTwice, "another process announces this VM's name", "vm", m.options.Self.Name)
	}
	m.announceAt = max(now, m.claimedAt+nameConflictInterval)
	m.claimedAt = now
}

func (m *Machine) takeZone(in ZoneReachability) {
	for _, name := range m.names {
		row := m.members[name]
		if row.vm.Region != in.Region || row.vm.Zone != in.Zone || row.zoneSilent != in.Reachable {
			continue
		}
		row.zoneSilent = !in.Reachable
		m.ready.MembersChanged = true
	}
}

// forgetGone removes VMs that are gone for good. One VM does it for all, by
// publishing a removal; two at once do no harm.
func (m *Machine) forgetGone(now time.Duration) {
	if now < m.forgetAt {
		return
	}
	m.forgetAt = now + forgetInterval
	for _, name := range m.names {
		row := m.members[name]
		left := row.record.GetLeaving() && row.condemned
		unlisted := row.condemned && !row.listed
		if row.record == nil || (!left && !unlisted) {
			row.goneSince = 0
			continue
		}
		if row.goneSince == 0 {
			row.goneSince = now
		}
		life := forgetUnlisted
		if left {
			life = forgetLeft
		}
		if now-row.goneSince >= life && m.responsibleFor(name) {
			row.goneSince = now
			m.ready.Publish = append(m.ready.Publish, document.Document{
				Key: RecordPrefix + name, Version: row.version + 1, Deleted: true,
			})
		}
	}
}

// responsibleFor reports whether this VM is the first usable one in rendezvous
// order for another VM's name.
func (m *Machine) responsibleFor(name string) bool {
	best, bestWeight := "", uint64(0)
	for _, candidate := range m.names {
		usable := m.members[candidate].usable() || candidate == m.options.Self.Name
		if weight := xxhash.Sum64String(name + "|" + candidate); usable && (best == "" || weight > bestWeight) {
			best, bestWeight = candidate, weight
		}
	}
	return best == m.options.Self.Name
}

func (m *Machine) forget(name string) {
	row, present := m.members[name]
	if !present {
		return
	}
	m.event(event.MemberForgotten, "record removed", "vm", name)
	delete(m.watched, name)
	m.noteAccusing(name, false)
	if !row.listed {
		m.remove(name)
		return
	}
	*row = member{vm: row.vm, listed: true, listedLeaving: row.listedLeaving}
	m.changed()
}
