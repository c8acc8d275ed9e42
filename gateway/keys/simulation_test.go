package keys_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/port"
	"guavacrank.example/kvstore"
)

const (
	grantTTL           = 3 * time.Second
	predecessorTimeout = 10 * time.Second
	heartbeatInterval  = 800 * time.Millisecond
	tickInterval       = 20 * time.Millisecond
	// maxTransitTime bounds how long after its timeout a call may arrive.
	maxTransitTime = 600 * time.Millisecond
)

// event is an action at a later time.
type event struct {
	at time.Duration
	do func()
}

// simulation runs a store, servers and leaders on a virtual clock. After each
// event it checks that no two servers hold the same key.
type simulation struct {
	now     time.Duration
	random  *rand.Rand
	events  []event
	servers map[model.Incarnation]*fakeServer
	page    *keys.Page
	version kvstore.Version
	// era is the store's era; zero for a store without eras.
	era     kvstore.Era
	leaders []*keys.Machine
	// byName holds the leaders by VM name. Leaders in unreachable can't be asked
	// to stop.
	byName      map[string]*keys.Machine
	unreachable map[*keys.Machine]bool
	asking      map[*keys.Machine]bool
	// cutUntil is until when the servers at an address can't reach the store.
	cutUntil map[string]time.Duration
	// forged are records of other writers.
	forged []model.Server
	// connections are the open connections to servers. One leads to its server only.
	connections    map[port.Connection]*fakeServer
	nextConnection port.Connection
	// lateShare is the share of grants that are applied late and not answered.
	lateShare float64
	// lateFor, if set, is a leader all of whose grants are.
	lateFor *keys.Machine
	// refusedShare is the share of calls whose connection a running server
	// refuses, as one with a full backlog of connections appears to do.
	refusedShare float64
	refusing     string // The address of a process of its own that refuses releases.
	refusals     int
	// lateArrivalShare is the share of grants that arrive after their timeout.
	lateArrivalShare float64
	// congestedZone is the availability zone in which no call is answered in time.
	// The first call to a server arrives half of maxCongestionDelay to
	// maxCongestionDelay after its timeout, the others get no connection.
	congestedZone      string
	maxCongestionDelay time.Duration
	// maxStartDelay bounds how long after its leader's decision a grant starts: the leader's
	// VM is slow, or was frozen.
	maxStartDelay time.Duration
	// minDelay is the least network delay in one direction; maxDelay bounds its random part.
	minDelay, maxDelay time.Duration
	// maxReleaseTime is the longest that a server finishes requests before it
	// answers a release.
	maxReleaseTime time.Duration
	// storeDown reports that the store answers no call. lateWriteShare is the share of
	// the writes of that time which it executes all the same, up to maxWriteDelay later.
	storeDown      bool
	lateWriteShare float64
	// onLostWrite, if set, is called for each write of that time.
	onLostWrite func(write keys.PageWrite)
	// lostWriteShare is the share of writes that are applied and not answered.
	lostWriteShare float64
	// heldUpReleases reports that releases reach their servers heldUpTime late.
	heldUpReleases bool
	// lostReleases reports that releases are not answered, and reach their servers up to
	// maxTransitTime after their timeout.
	lostReleases bool
	// droppedReleases reports that releases reach no server.
	droppedReleases bool
	// ignoreLowReleases reports that servers keep keys that are released with a lower fence
	// than that with which they hold them.
	ignoreLowReleases bool
	// onGrant, if set, is called for each grant that is sent.
	onGrant func(call keys.GrantCall)
	// onRelease, if set, is called for each release that is sent.
	onRelease func(call keys.ReleaseCall)
	// known is the newest page that the VMs know.
	known *keys.Page
	// lostGrants is what the VMs know of lost grants.
	lostGrants keys.LostGrantsBound
	// priorGrants is what they know of grants to prior holders.
	priorGrants keys.PriorGrantBounds
	violations  []string
	// lowReleases are releases with a lower fence than that with which the server holds
	// the keys.
	lowReleases []string
	highest     map[uint16]fenceSeen
}

type fenceSeen struct {
	fence       uint64
	incarnation model.Incarnation
}

// sampledKeys are the keys that the simulation checks.
var sampledKeys = func() []uint16 {
	var sampled []uint16
	for key := 0; key < model.Keys; key += 509 {
		sampled = append(sampled, uint16(key))
	}
	return append(sampled, 65535)
}()

func newSimulation(seed uint64) *simulation {
	return &simulation{
		random:         rand.New(rand.NewPCG(seed, 1)),
		servers:        make(map[model.Incarnation]*fakeServer),
		maxDelay:       10 * time.Millisecond,
		maxReleaseTime: 100 * time.Millisecond,
		highest:        make(map[uint16]fenceSeen),
		byName:         make(map[string]*keys.Machine),
		unreachable:    make(map[*keys.Machine]bool),
		asking:         make(map[*keys.Machine]bool),
		cutUntil:       make(map[string]time.Duration),
		connections:    make(map[port.Connection]*fakeServer),
	}
}

// addServer adds a running server.
func (sim *simulation) addServer(id string, born int64) *fakeServer {
	s := &fakeServer{
		Server: model.Server{ID: id, Service: "s", Address: id + ":1", Zone: "z", Slots: 6, Born: born},
		up:     true,
		seen:   make(map[uint16]uint64),
	}
	sim.servers[s.Incarnation()] = s
	return s
}

// addLeader adds a machine and makes it lead.
func (sim *simulation) addLeader(name string) *keys.Machine {
	m := keys.NewMachine(keys.Options{
		Service:            "s",
		Self:               keys.Leader{VM: name, Incarnation: name, Address: name},
		GrantTTL:           grantTTL,
		MaxGrantTTL:        2 * grantTTL,
		PredecessorTimeout: predecessorTimeout,
	})
	m.KnowLostGrants(sim.lostGrants)
	m.KnowPriorGrants(sim.priorGrants)
	m.Lead(sim.now, sim.era)
	sim.leaders = append(sim.leaders, m)
	sim.byName[name] = m
	return m
}

// isolateLeaders cuts all leaders off from the store and from the other leaders.
// They renew their grants until predecessorTimeout has passed.
func (sim *simulation) isolateLeaders() {
	for _, m := range sim.leaders {
		if !m.Leading() || sim.unreachable[m] {
			continue
		}
		sim.unreachable[m] = true
		m.SetRenewOnly(true)
		sim.after(predecessorTimeout, m.Stop)
	}
}

// askPredecessors has a leader ask the earlier ones to stop.
func (sim *simulation) askPredecessors(m *keys.Machine) {
	for _, leader := range m.Predecessors() {
		earlier := sim.byName[leader.VM]
		if sim.asking[earlier] || sim.unreachable[earlier] {
			continue
		}
		sim.asking[earlier] = true
		sim.after(sim.networkDelay(), func() {
			if earlier == sim.leaders[len(sim.leaders)-1] {
				sim.asking[earlier] = false // It leads again, in a later term.
				return
			}
			earlier.Stop()
			sim.after(sim.networkDelay(), func() {
				sim.asking[earlier] = false
				m.PredecessorImpaired(earlier.ImpairedZones(sim.now))
				m.PredecessorEnded(leader.Incarnation, sim.now+keys.MaxCallDelay)
			})
		})
	}
}

// list reports the listed servers to every machine.
func (sim *simulation) list(unlisted ...string) {
	var listed []model.Server
	for _, s := range sim.servers {
		if s.up && sim.now >= sim.cutUntil[s.Address] {
			s.lastSeen = sim.now
		}
		skip := s.lastSeen == 0 || sim.now > s.lastSeen+3*heartbeatInterval
		for _, id := range unlisted {
			skip = skip || s.ID == id
		}
		if !skip {
			listed = append(listed, s.Server)
		}
	}
	listed = append(listed, sim.forged...)
	sort.Slice(listed, func(i, j int) bool { return listed[i].ID < listed[j].ID })
	for _, m := range sim.leaders {
		m.StepServers(sim.now, listed, true)
	}
}

// cutOff cuts the servers at an address off from the store.
func (sim *simulation) cutOff(server *fakeServer, d time.Duration) {
	sim.cutUntil[server.Address] = sim.now + d
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.events = append(sim.events, event{sim.now + d, do})
	sort.SliceStable(sim.events, func(i, j int) bool { return sim.events[i].at < sim.events[j].at })
}

func (sim *simulation) networkDelay() time.Duration {
	return sim.minDelay + time.Millisecond + time.Duration(sim.random.Int64N(int64(sim.maxDelay)))
}

// run advances time. Servers are listed periodically, except the unlisted ones.
func (sim *simulation) run(d time.Duration, unlisted ...string) {
	end := sim.now + d
	nextList := sim.now
	for sim.now < end {
		next := sim.now + tickInterval
		for len(sim.events) > 0 && sim.events[0].at <= next {
			e := sim.events[0]
			sim.events = sim.events[1:]
			sim.now = max(sim.now, e.at)
			e.do()
			sim.check()
		}
		sim.now = next
		if sim.now >= nextList {
			sim.list(unlisted...)
			nextList += 400 * time.Millisecond
		}
		for _, m := range sim.leaders {
			m.Tick(sim.now)
			sim.execute(m)
			sim.askPredecessors(m)
		}
	}
}

// position returns the position of the store's page.
func (sim *simulation) position() kvstore.Position {
	return kvstore.Position{Era: sim.era, Version: sim.version}
}

func (sim *simulation) execute(m *keys.Machine) {
	ready := m.Ready()
	if ready.Read {
		sim.read(m)
	}
	if ready.Consult {
		sim.consult(m)
	}
	if ready.Write != nil {
		sim.write(m, *ready.Write)
	}
	for _, call := range ready.Grants {
		sim.grant(m, call)
	}
	for _, call := range ready.Releases {
		sim.release(m, call)
	}
	for _, call := range ready.Probes {
		sim.probe(m, call)
	}
}

// holders returns the servers that hold a key now.
func (sim *simulation) holders(key uint16) []model.Incarnation {
	var found []model.Incarnation
	for incarnation, s := range sim.servers {
		if s.up && s.holdsKey(key, sim.now) {
			found = append(found, incarnation)
		}
	}
	return found
}

// check reports every sampled key that two servers hold.
func (sim *simulation) check() {
	for _, key := range sampledKeys {
		if holders := sim.holders(key); len(holders) > 1 {
			sim.violation("key %d is held by %v", key, holders)
		}
	}
}

func (sim *simulation) violation(format string, args ...any) {
	if len(sim.violations) < 10 {
		sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, args...))
	}
}

// unowned returns the number of sampled keys that no server holds.
func (sim *simulation) unowned() int {
	count := 0
	for _, key := range sampledKeys {
		if len(sim.holders(key)) == 0 {
			count++
		}
	}
	return count
}
