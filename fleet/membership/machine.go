// Package membership tells which VMs of the fleet answer. It is a pure state
// machine: no I/O, no clock, no goroutine, no dependence on map order.
//
// Candidates come from the platform's lagging list and from the records that
// VMs publish about themselves (documents under member/). Each VM sends
// heartbeats to a few watchers (watch.go). A watcher that hears nothing
// accuses the VM in its own record; all VMs judge by the accusations they know
// (judge.go): one observer suspects, two condemn.
//
// Invariants: an observer that was paused or hears nobody accuses nobody; one
// observer alone condemns nobody; a VM that answers all its watchers is alive.
package membership

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"guavacrank.example/event"
	"guavacrank.example/fleet/document"
	fleetv1 "guavacrank.example/fleet/gen/fleet/v1"
	"guavacrank.example/kvstore"
)

// RecordPrefix starts the keys of the VMs' own records.
const RecordPrefix = "member/"

// SeedPrefix starts the names of VMs of which only the address is known.
const SeedPrefix = "seed/"

const (
	// nameConflictInterval is the least time between two claims of one name.
	nameConflictInterval = 2 * time.Second
	// announceAgain is when a starting VM repeats its record, once it knows peers.
	announceAgain = 300 * time.Millisecond
	startDuration = 10 * time.Second
	// recordBurst and recordInterval bound the versions of this VM's record: so
	// many at once, then one in each interval.
	recordBurst    = 4
	recordInterval = 2 * time.Second
)

// Mutations switch off single rules, to show that a check can fail.
type Mutations struct {
	FailOnSingleVote   bool // One observer is enough to condemn.
	AccuseWhenIsolated bool // Accuse although this VM was paused or hears nobody.
}

// Options configures a Machine.
type Options struct {
	Self kvstore.VM
	// Boot identifies this process; nonzero and random.
	Boot      uint64
	Mutations Mutations
}

// member is one VM of the table.
type member struct {
	vm            kvstore.VM
	listed        bool
	listedLeaving bool
	record        *fleetv1.MemberRecord // Nil until the VM was heard of.
	version       uint64                // Of record.
	zoneSilent    bool
	suspected     bool
	condemned     bool
	condemnedAt   time.Duration
	clearedAt     time.Duration // When it was last no longer condemned.
	goneSince     time.Duration // Since when it may be forgotten; zero: not gone.
	heardAt       time.Duration
	heard         bool
}

func (m *member) leaving() bool { return m.listedLeaving || m.record.GetLeaving() }

// usable reports whether the member may watch others and relay.
func (m *member) usable() bool {
	return m.record != nil && !m.suspected && !m.condemned && !m.leaving()
}

// Machine is the membership as one VM sees it.
type Machine struct {
	options Options
	members map[string]*member
	names   []string // Sorted keys of members.
	ready   Ready

	started  time.Duration
	running  bool
	lastTick time.Duration
	// lastHeard is when any other VM was last heard, isolated says that this
	// is long ago.
	lastHeard time.Duration
	isolated  bool

	version       uint64 // Of this VM's own record.
	leaving       bool
	storeFailing  bool
	recordChanged bool
	// publishCredit is how much time the record's versions may still take up.
	publishCredit   time.Duration
	publishCreditAt time.Duration
	announceAt      time.Duration // Zero: no repeated announcement is due.
	claimedAt       time.Duration

	heartbeatAt  time.Duration
	watchers     []string // VMs that this VM sends heartbeats to.
	watched      map[string]*watch
	watchedNames []string // Sorted keys of watched.
	watchesStale bool
	forgetAt     time.Duration

	accusing map[string]bool // VMs whose records, or whose watches, accuse.
	doubted  int             // Members that are suspected or condemned.

	counted   map[vote]time.Duration
	overruled map[vote]time.Duration
}

// New returns a machine that knows only itself.
func New(options Options) *Machine {
	m := &Machine{
		options:       options,
		members:       make(map[string]*member),
		recordChanged: true,
		watched:       make(map[string]*watch),
		accusing:      make(map[string]bool),
		counted:       make(map[vote]time.Duration),
		overruled:     make(map[vote]time.Duration),
	}
	m.add(options.Self.Name).vm = options.Self
	return m
}

// Step takes one input at elapsed time now.
func (m *Machine) Step(now time.Duration, input Input) {
	m.start(now)
	switch in := input.(type) {
	case Listed:
		m.takeList(in.VMs)
	case Received:
		m.hear(now, in)
	case RecordChanged:
		m.takeRecord(now, in.Document)
	case ZoneReachability:
		m.takeZone(in)
	case StoreFailing:
		m.recordChanged = m.recordChanged || m.storeFailing != in.Failing
		m.storeFailing = in.Failing
	case Leave:
		m.recordChanged = m.recordChanged || !m.leaving
		m.leaving = true
	}
}

// Tick lets time pass. It is due every few tens of milliseconds.
func (m *Machine) Tick(now time.Duration) {
	m.start(now)
	m.noticePause(now)
	m.lastTick = now
	m.noticeIsolation(now)
	if m.announceAt != 0 && now >= m.announceAt {
		m.announceAt = 0
		m.recordChanged = true
	}
	m.refreshWatches(now)
	m.checkWatched(now)
	m.judge(now)
	m.sendHeartbeats(now)
	m.publishRecord(now)
	m.forgetGone(now)
}

// Ready returns and clears what is to be done.
func (m *Machine) Ready() Ready {
	ready := m.ready
	m.ready = Ready{}
	return ready
}

// Members returns all members sorted by name, this VM included.
func (m *Machine) Members() []Member {
	members := make([]Member, 0, len(m.names))
	for _, name := range m.names {
		if strings.HasPrefix(name, SeedPrefix) {
			continue
		}
		row := m.members[name]
		self := name == m.options.Self.Name
		answers := row.record != nil && !row.suspected && !row.condemned && !row.zoneSilent && !m.isolated
		members = append(members, Member{
			Name:         name,
			Region:       row.vm.Region,
			Zone:         row.vm.Zone,
			Peer:         row.vm.Peer,
			Alive:        self || answers,
			Failed:       row.condemned && !self,
			Suspected:    row.suspected && !self,
			Leaving:      row.leaving() || (self && m.leaving),
			Joined:       self || row.record != nil,
			StoreFailing: row.record.GetStoreFailing(),
		})
	}
	return members
}

// Isolated reports whether this VM has heard nobody for long.
func (m *Machine) Isolated() bool { return m.isolated }

// Candidates returns every VM that may be asked for documents, those that
// were never heard and the seeds included, sorted by name.
func (m *Machine) Candidates() []kvstore.VM {
	candidates := make([]kvstore.VM, 0, len(m.names))
	for _, name := range m.names {
		candidates = append(candidates, m.members[name].vm)
	}
	return candidates
}

func (m *Machine) start(now time.Duration) {
	if m.running {
		return
	}
	m.running = true
	m.started = now
	m.lastTick = now
	m.lastHeard = now
	m.publishCredit, m.publishCreditAt = recordBurst*recordInterval, now
	m.watchesStale = true
}

// add returns the row of a name, created if it is new.
func (m *Machine) add(name string) *member {
	if row, present := m.members[name]; present {
		return row
	}
	row := &member{vm: kvstore.VM{Name: name}}
	m.members[name] = row
	i, _ := slices.BinarySearch(m.names, name)
	m.names = slices.Insert(m.names, i, name)
	m.changed()
	return row
}

func (m *Machine) remove(name string) {
	delete(m.members, name)
	delete(m.accusing, name)
	if i, present := slices.BinarySearch(m.names, name); present {
		m.names = slices.Delete(m.names, i, i+1)
	}
	m.changed()
}

// noteAccusing keeps which VMs accuse anybody, so that judging is idle
// while none does.
func (m *Machine) noteAccusing(name string, accuses bool) {
	if accuses {
		m.accusing[name] = true
		return
	}
	delete(m.accusing, name)
}

// changed notes that members or their states differ from what was told.
func (m *Machine) changed() {
	m.ready.MembersChanged = true
	m.watchesStale = true
}

func (m *Machine) event(number event.Number, cause string, nameValue ...string) {
	m.ready.Events = append(m.ready.Events, event.New(number, cause, nameValue...))
}

func (m *Machine) send(to string, message *fleetv1.ExchangeRequest) {
	m.ready.Messages = append(m.ready.Messages, Outbound{To: to, Message: message})
}

// mayPublish takes one version of the record from what the rate allows.
func (m *Machine) mayPublish(now time.Duration) bool {
	m.publishCredit = min(m.publishCredit+now-m.publishCreditAt, recordBurst*recordInterval)
	m.publishCreditAt = now
	if m.publishCredit < recordInterval {
		return false
	}
	m.publishCredit -= recordInterval
	return true
}

// publishRecord writes this VM's own record when it changed.
func (m *Machine) publishRecord(now time.Duration) {
	if !m.recordChanged || !m.mayPublish(now) {
		return
	}
	m.recordChanged = false
	accusations := m.accusations()
	m.noteAccusing(m.options.Self.Name, len(accusations) > 0)
	m.version++
	self := m.options.Self
	record := &fleetv1.MemberRecord{
		Name: self.Name, Region: self.Region, Zone: self.Zone, Peer: self.Peer,
		Boot: m.options.Boot, Leaving: m.leaving, StoreFailing: m.storeFailing,
		Accusations: accusations,
	}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(record)
	if err != nil {
		return
	}
	m.ready.Publish = append(m.ready.Publish, document.Document{
		Key: RecordPrefix + self.Name, Version: m.version, Value: value,
	})
}
