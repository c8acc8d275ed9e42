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
	// unlistedRetention is how long a failed VM is kept after it has
	// disappeared from the platform's list.
	unlistedRetention = time.Minute
	// leftRetention is how long a VM that announced its stop is kept after it
	// has failed.
	leftRetention = 10 * time.Second
	// forgetInterval is the time between two checks for VMs to forget.
	forgetInterval = time.Second
)

// receiveList processes the platform's VM list, which may lag or be wrong. It
// adds candidates but does not remove VMs that have announced themselves. If it
// marks more than half of a region's VMs as leaving, the marks in that region
// are ignored.
func (m *Machine) receiveList(vms []kvstore.VM) {
	plausible := m.plausibleLeaving(vms)
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
		m.updateListed(m.members[name], vm, present, plausible[vm.Region])
	}
}

func (m *Machine) updateListed(row *member, vm kvstore.VM, present, plausible bool) {
	row.listed = present
	leaving := present && vm.Leaving && plausible
	if row.listedLeaving != leaving {
		row.listedLeaving = leaving
		m.markChanged()
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
		m.markChanged()
	}
}

// plausibleLeaving returns, for each region, whether the list's leaving marks
// are plausible.
func (m *Machine) plausibleLeaving(vms []kvstore.VM) map[string]bool {
	total, leaving := make(map[string]int), make(map[string]int)
	for _, vm := range vms {
		total[vm.Region]++
		if vm.Leaving {
			leaving[vm.Region]++
		}
	}
	plausible := make(map[string]bool, len(total))
	for region, count := range total {
		plausible[region] = 2*leaving[region] <= count
	}
	return plausible
}

// receiveRecord processes a VM's record about itself.
func (m *Machine) receiveRecord(now time.Duration, changed document.Document) {
	name := strings.TrimPrefix(changed.Key, RecordPrefix)
	if name == m.options.Self.Name {
		m.resolveNameConflict(now, changed)
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
		m.scheduleReannounce(now)
	}
	if row.record.GetBoot() != record.GetBoot() {
		row.hasContact = false
		m.resetWatch(now, name)
	}
	row.record = record
	row.version = changed.Version
	m.setAccusing(name, len(record.GetAccusations()) > 0)
	row.vm = kvstore.VM{Name: name, Region: record.GetRegion(), Zone: record.GetZone(), Peer: record.GetPeer()}
	m.markChanged()
}

// scheduleReannounce publishes this VM's record again shortly after it learned
// of its first peers, since the first announcement reached no other VM.
func (m *Machine) scheduleReannounce(now time.Duration) {
	if m.announceAt == 0 && now-m.started < startDuration {
		m.announceAt = now + reannounceDelay
	}
}

// resolveNameConflict republishes this VM's record with a higher version when
// another process has written a record under the same name. The other process
// is either a predecessor on this VM or a second one configured with the same
// name.
func (m *Machine) resolveNameConflict(now time.Duration, changed document.Document) {
	record := &fleetv1.MemberRecord{}
	if err := proto.Unmarshal(changed.Value, record); err == nil && record.GetBoot() == m.options.Boot && !changed.Deleted {
		return
	}
	if changed.Version < m.version {
		return
	}
	m.version = changed.Version
	if m.lastConflict != 0 {
		m.event(event.NameUsedTwice, "another process announces this VM's name", "vm", m.options.Self.Name)
	}
	m.announceAt = max(now, m.lastConflict+nameConflictInterval)
	m.lastConflict = now
}

func (m *Machine) updateZone(in ZoneReachability) {
	for _, name := range m.names {
		row := m.members[name]
		if row.vm.Region != in.Region || row.vm.Zone != in.Zone || row.zoneUnreachable != in.Reachable {
			continue
		}
		row.zoneUnreachable = !in.Reachable
		m.ready.MembersChanged = true
	}
}

// forgetFormer publishes tombstones for VMs that are permanently gone. One VM
// is responsible for each; duplicate tombstones are harmless.
func (m *Machine) forgetFormer(now time.Duration) {
	if now < m.forgetAt {
		return
	}
	m.forgetAt = now + forgetInterval
	for _, name := range m.names {
		row := m.members[name]
		left := row.record.GetLeaving() && row.failed
		unlisted := row.failed && !row.listed
		if row.record == nil || (!left && !unlisted) {
			row.goneSince = 0
			continue
		}
		if row.goneSince == 0 {
			row.goneSince = now
		}
		retention := unlistedRetention
		if left {
			retention = leftRetention
		}
		if now-row.goneSince >= retention && m.responsibleFor(name) {
			row.goneSince = now
			m.ready.Publish = append(m.ready.Publish, document.Document{
				Key: RecordPrefix + name, Version: row.version + 1, Deleted: true,
			})
		}
	}
}

// responsibleFor reports whether this VM is responsible for removing the named
// one: among the eligible VMs it has the highest rendezvous weight for that
// name.
func (m *Machine) responsibleFor(name string) bool {
	best, bestWeight := "", uint64(0)
	for _, candidate := range m.names {
		eligible := m.members[candidate].eligible() || candidate == m.options.Self.Name
		if weight := xxhash.Sum64String(name + "|" + candidate); eligible && (best == "" || weight > bestWeight) {
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
	m.setAccusing(name, false)
	if !row.listed {
		m.remove(name)
		return
	}
	*row = member{vm: row.vm, listed: true, listedLeaving: row.listedLeaving}
	m.markChanged()
}
