// Package membership detects which VMs of the fleet are reachable. It is a pure
// state machine: no I/O, no clock, no goroutines, no dependence on map order.
//
// Candidates come from the platform's VM list, which may lag, and from the
// records that VMs publish about themselves (documents under member/). Each VM
// sends heartbeats to a few watchers (watch.go). A watcher that receives no
// messages from a VM publishes an accusation, a vote that the VM is
// unreachable, in its own record. All VMs evaluate the accusations that they
// know (votes.go): with one observer's vote a VM is suspected, with two it has
// failed.
//
// Invariants: an observer that was paused or is isolated makes no accusations;
// one observer alone can't declare a VM failed; a VM that answers all its
// watchers is alive.
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

// RecordPrefix is the key prefix of the records that VMs publish about
// themselves.
const RecordPrefix = "member/"

// SeedPrefix is the name prefix of VMs of which only the address is known.
const SeedPrefix = "seed/"

const (
	// nameConflictInterval is the minimum time between two republications of
	// the record because of a name conflict.
	nameConflictInterval = 2 * time.Second
	// reannounceDelay is the time after which a starting VM repeats its record
	// once it knows peers.
	reannounceDelay = 300 * time.Millisecond
	startDuration   = 10 * time.Second
	// recordBurst and recordInterval limit the rate of new versions of this
	// VM's record: a burst of recordBurst, then one per recordInterval.
	recordBurst    = 4
	recordInterval = 2 * time.Second
)

// Mutations disable single rules, so that tests can show that their checks
// detect the fault.
type Mutations struct {
	FailOnSingleVote   bool // One observer's vote is enough to declare a VM failed.
	AccuseWhenIsolated bool // Accuse even if this VM was paused or is isolated.
}

// Options configures a Machine.
type Options struct {
	Self kvstore.VM
	// Boot is a random, nonzero ID of this process.
	Boot      uint64
	Mutations Mutations
}

// member is the state of one VM.
type member struct {
	vm              kvstore.VM
	listed          bool
	listedLeaving   bool
	record          *fleetv1.MemberRecord // Nil until the VM has announced itself.
	version         uint64                // Of record.
	zoneUnreachable bool
	suspected       bool
	failed          bool
	failedAt        time.Duration
	recoveredAt     time.Duration // When it last stopped being failed.
	goneSince       time.Duration // When it became eligible for removal; zero if it is not.
	lastContact     time.Duration
	hasContact      bool
}

func (m *member) leaving() bool { return m.listedLeaving || m.record.GetLeaving() }

// eligible reports whether the member may watch others and relay.
func (m *member) eligible() bool {
	return m.record != nil && !m.suspected && !m.failed && !m.leaving()
}

// Machine is the membership as seen by one VM.
type Machine struct {
	options Options
	members map[string]*member
	names   []string // Sorted keys of members.
	ready   Ready

	started  time.Duration
	running  bool
	lastTick time.Duration
	// lastContact is when a message from any other VM last arrived. isolated
	// means that this is longer ago than isolatedAfter.
	lastContact time.Duration
	isolated    bool

	version       uint64 // Of this VM's own record.
	leaving       bool
	storeFailing  bool
	recordChanged bool
	// publishCredit is the token bucket that limits record versions, in units
	// of time.
	publishCredit   time.Duration
	publishCreditAt time.Duration
	announceAt      time.Duration // When to publish the record again; zero: not scheduled.
	lastConflict    time.Duration

	heartbeatAt  time.Duration
	watchers     []string // VMs that this VM sends heartbeats to.
	watched      map[string]*watch
	watchedNames []string // Sorted keys of watched.
	watchesStale bool
	forgetAt     time.Duration

	accusing       map[string]bool // VMs with an accusation in their record, and this VM if one of its watches accuses.
	suspectedCount int             // Number of suspected members, failed ones included.

	counted   map[vote]time.Duration // When each valid vote was first counted.
	overruled map[vote]time.Duration // Until when an overruled single vote is ignored.
}

// New returns a machine that knows only its own VM.
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

// Step processes one input at elapsed time now.
func (m *Machine) Step(now time.Duration, input Input) {
	m.start(now)
	switch in := input.(type) {
	case Listed:
		m.receiveList(in.VMs)
	case Received:
		m.receive(now, in)
	case RecordChanged:
		m.receiveRecord(now, in.Document)
	case ZoneReachability:
		m.updateZone(in)
	case StoreFailing:
		m.recordChanged = m.recordChanged || m.storeFailing != in.Failing
		m.storeFailing = in.Failing
	case Leave:
		m.recordChanged = m.recordChanged || !m.leaving
		m.leaving = true
	}
}

// Tick does the work that is due at elapsed time now. It should be called every
// few tens of milliseconds.
func (m *Machine) Tick(now time.Duration) {
	m.start(now)
	m.detectPause(now)
	m.lastTick = now
	m.detectIsolation(now)
	if m.announceAt != 0 && now >= m.announceAt {
		m.announceAt = 0
		m.recordChanged = true
	}
	m.refreshWatches(now)
	m.checkWatched(now)
	m.evaluate(now)
	m.sendHeartbeats(now)
	m.publishRecord(now)
	m.forgetFormer(now)
}

// Ready returns and clears the pending output.
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
		alive := row.record != nil && !row.suspected && !row.failed && !row.zoneUnreachable && !m.isolated
		members = append(members, Member{
			Name:         name,
			Region:       row.vm.Region,
			Zone:         row.vm.Zone,
			Peer:         row.vm.Peer,
			Alive:        self || alive,
			Failed:       row.failed && !self,
			Suspected:    row.suspected && !self,
			Leaving:      row.leaving() || (self && m.leaving),
			Joined:       self || row.record != nil,
			StoreFailing: row.record.GetStoreFailing(),
		})
	}
	return members
}

// Isolated reports whether this VM has received no messages for isolatedAfter.
func (m *Machine) Isolated() bool { return m.isolated }

// Candidates returns every VM that may be asked for documents, sorted by name.
// It includes seeds and VMs that have never sent a message.
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
	m.lastContact = now
	m.publishCredit, m.publishCreditAt = recordBurst*recordInterval, now
	m.watchesStale = true
}

// add returns the state of the named VM and creates it if needed.
func (m *Machine) add(name string) *member {
	if row, present := m.members[name]; present {
		return row
	}
	row := &member{vm: kvstore.VM{Name: name}}
	m.members[name] = row
	i, _ := slices.BinarySearch(m.names, name)
	m.names = slices.Insert(m.names, i, name)
	m.markChanged()
	return row
}

func (m *Machine) remove(name string) {
	delete(m.members, name)
	delete(m.accusing, name)
	if i, present := slices.BinarySearch(m.names, name); present {
		m.names = slices.Delete(m.names, i, i+1)
	}
	m.markChanged()
}

// setAccusing records whether a VM accuses any other, so that evaluate can
// return early while none does.
func (m *Machine) setAccusing(name string, accuses bool) {
	if accuses {
		m.accusing[name] = true
		return
	}
	delete(m.accusing, name)
}

// markChanged records that the members or their states have changed.
func (m *Machine) markChanged() {
	m.ready.MembersChanged = true
	m.watchesStale = true
}

func (m *Machine) event(number event.Number, cause string, nameValue ...string) {
	m.ready.Events = append(m.ready.Events, event.New(number, cause, nameValue...))
}

func (m *Machine) send(to string, message *fleetv1.ExchangeRequest) {
	m.ready.Messages = append(m.ready.Messages, Outbound{To: to, Message: message})
}

// mayPublish takes the cost of one record version from the publish credit, if
// available.
func (m *Machine) mayPublish(now time.Duration) bool {
	m.publishCredit = min(m.publishCredit+now-m.publishCreditAt, recordBurst*recordInterval)
	m.publishCreditAt = now
	if m.publishCredit < recordInterval {
		return false
	}
	m.publishCredit -= recordInterval
	return true
}

// publishRecord publishes this VM's own record if it has changed.
func (m *Machine) publishRecord(now time.Duration) {
	if !m.recordChanged || !m.mayPublish(now) {
		return
	}
	m.recordChanged = false
	accusations := m.accusations()
	m.setAccusing(m.options.Self.Name, len(accusations) > 0)
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
