package keys_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
	"guavacrank.example/kvstore"
)

const (
	worldHold        = 3 * time.Second
	worldPredecessor = 10 * time.Second
	worldHeartbeat   = 800 * time.Millisecond
	worldTick        = 20 * time.Millisecond
	// jamTime is how long after its end a call may arrive.
	jamTime = 600 * time.Millisecond
)

// event is something that happens later.
type event struct {
	at time.Duration
	do func()
}

// world is a store, servers and leaders on a virtual clock. It checks after
// each event that no key is held by two servers.
type world struct {
	now     time.Duration
	random  *rand.Rand
	events  []event
	servers map[model.Life]*fakeServer
	page    *keys.Page
	version kvstore.Version
	leaders []*keys.Machine
	// byName finds leaders by the name that pages give; deaf ones can't be
	// asked to stop.
	byName map[string]*keys.Machine
	deaf   map[*keys.Machine]bool
	asking map[*keys.Machine]bool
	// late is the share of grants that are applied late and not answered.
	late float64
	// refused is the share of calls whose new connection a running server refuses,
	// as one without room for it seems to do to a process that looks late.
	refused float64
	// jammed is the share of grants that arrive after their call was given up.
	jammed float64
	// jamZone is the availability zone to which no call is answered in time: the
	// bytes of a server's first one arrive half of jamMost to jamMost after it was
	// given up, the others find no connection.
	jamZone string
	jamMost time.Duration
	// delay is the longest way of a call.
	delay time.Duration
	// work is the longest time of work that a release waits for.
	work time.Duration
	// lostWrites is the share of writes that are applied and not answered.
	lostWrites float64
	// granted is told each grant that is sent; nil is not.
	granted func(order keys.GrantCall)
	faults  []string
	highest map[uint16]fenceSeen
}

type fenceSeen struct {
	fence uint64
	life  model.Life
}

// sampledKeys are the keys that the world looks at.
var sampledKeys = func() []uint16 {
	var sampled []uint16
	for key := 0; key < model.Keys; key += 509 {
		sampled = append(sampled, uint16(key))
	}
	return append(sampled, 65535)
}()

func newWorld(seed uint64) *world {
	return &world{
		random:  rand.New(rand.NewPCG(seed, 1)),
		servers: make(map[model.Life]*fakeServer),
		delay:   10 * time.Millisecond,
		work:    100 * time.Millisecond,
		highest: make(map[uint16]fenceSeen),
		byName:  make(map[string]*keys.Machine),
		deaf:    make(map[*keys.Machine]bool),
		asking:  make(map[*keys.Machine]bool),
	}
}

// addServer adds a running server.
func (w *world) addServer(id string, born int64) *fakeServer {
	s := &fakeServer{
		Server: model.Server{ID: id, Service: "s", Address: id + ":1", Zone: "z", Slots: 6, Born: born},
		up:     true,
		seen:   make(map[uint16]uint64),
	}
	w.servers[s.Life()] = s
	return s
}

// addLeader adds a machine that leads from now on.
func (w *world) addLeader(name string) *keys.Machine {
	m := keys.NewMachine(keys.Options{
		Service:            "s",
		Self:               keys.Leader{VM: name, Incarnation: name, Address: name},
		GrantTTL:           worldHold,
		MaxGrantTTL:        2 * worldHold,
		PredecessorTimeout: worldPredecessor,
	})
	m.Lead(w.now)
	w.leaders = append(w.leaders, m)
	w.byName[name] = m
	return m
}

// deafen cuts every leader off from the store and from the others: it renews
// its grants for as long as a leader may.
func (w *world) deafen() {
	for _, m := range w.leaders {
		if !m.Leading() || w.deaf[m] {
			continue
		}
		w.deaf[m] = true
		m.SetRenewOnly(true)
		w.after(worldPredecessor, m.Stop)
	}
}

// askPredecessors has a leader ask earlier ones to stop.
func (w *world) askPredecessors(m *keys.Machine) {
	for _, leader := range m.Predecessors() {
		earlier := w.byName[leader.VM]
		if w.asking[earlier] || w.deaf[earlier] {
			continue
		}
		w.asking[earlier] = true
		w.after(w.way(), func() {
			earlier.Stop()
			w.after(w.way(), func() {
				w.asking[earlier] = false
				m.PredecessorEnded(leader.Incarnation, w.now+keys.CallTimeout)
			})
		})
	}
}

// list tells every machine the servers that are up and listed.
func (w *world) list(hidden ...string) {
	var listed []model.Server
	for _, s := range w.servers {
		if s.up {
			s.lastSeen = w.now
		}
		skip := w.now > s.lastSeen+3*worldHeartbeat
		for _, id := range hidden {
			skip = skip || s.ID == id
		}
		if !skip {
			listed = append(listed, s.Server)
		}
	}
	sort.Slice(listed, func(i, j int) bool { return listed[i].ID < listed[j].ID })
	for _, m := range w.leaders {
		m.StepServers(w.now, listed, true)
	}
}

func (w *world) after(d time.Duration, do func()) {
	w.events = append(w.events, event{w.now + d, do})
	sort.SliceStable(w.events, func(i, j int) bool { return w.events[i].at < w.events[j].at })
}

func (w *world) way() time.Duration {
	return time.Millisecond + time.Duration(w.random.Int64N(int64(w.delay)))
}

// run passes time; each tick the servers are listed but for the hidden ones.
func (w *world) run(d time.Duration, hidden ...string) {
	end := w.now + d
	nextList := w.now
	for w.now < end {
		next := w.now + worldTick
		for len(w.events) > 0 && w.events[0].at <= next {
			e := w.events[0]
			w.events = w.events[1:]
			w.now = max(w.now, e.at)
			e.do()
			w.check()
		}
		w.now = next
		if w.now >= nextList {
			w.list(hidden...)
			nextList += 400 * time.Millisecond
		}
		for _, m := range w.leaders {
			m.Tick(w.now)
			w.carryOut(m)
			w.askPredecessors(m)
		}
	}
}

func (w *world) carryOut(m *keys.Machine) {
	ready := m.Ready()
	if ready.Read {
		page, version := w.page, w.version
		w.after(w.way(), func() { m.StepRead(w.now, page, version) })
	}
	if ready.Write != nil {
		w.write(m, *ready.Write)
	}
	for _, order := range ready.Grants {
		w.grant(m, order)
	}
	for _, order := range ready.Releases {
		w.release(m, order)
	}
	for _, order := range ready.Probes {
		w.probe(m, order)
	}
}

func (w *world) probe(m *keys.Machine, order keys.ProbeCall) {
	w.after(w.way(), func() {
		id := ""
		server := w.at(order.Address)
		if server != nil && !server.cut {
			id = server.ID
		}
		refused := server == nil || w.random.Float64() < w.refused
		if refused {
			id = ""
		}
		w.after(w.way(), func() { m.StepProbed(w.now, order, id, refused) })
	})
}

func (w *world) write(m *keys.Machine, write keys.PageWrite) {
	stored, err := write.Page.Encode()
	if err != nil {
		panic(err)
	}
	w.after(w.way(), func() {
		if write.Expected != w.version {
			w.after(w.way(), func() { m.StepWritten(w.now, 0, &kvstore.Error{Kind: kvstore.KindConflict}) })
			return
		}
		page, err := keys.Decode(stored)
		if err != nil {
			w.fault("unsound page: %v", err)
			return
		}
		w.page, w.version = page, w.version+1
		version := w.version
		if w.random.Float64() < w.lostWrites {
			w.after(time.Second, func() {
				m.StepWritten(w.now, 0, &kvstore.Error{Outcome: kvstore.OutcomeUnknown})
			})
			return
		}
		w.after(w.way(), func() { m.StepWritten(w.now, version, nil) })
	})
}

func (w *world) grant(m *keys.Machine, order keys.GrantCall) {
	if w.granted != nil {
		w.granted(order)
	}
	server := w.at(order.Address)
	if server == nil || w.random.Float64() < w.refused {
		w.after(w.way(), func() { m.StepGranted(w.now, order, keys.NoListener) })
		return
	}
	if server.cut {
		w.after(keys.CallTimeout, func() { m.StepGranted(w.now, order, keys.Unreachable) })
		return
	}
	if server.Zone == w.jamZone && server.jammed {
		w.after(keys.CallTimeout, func() { m.StepGranted(w.now, order, keys.NotSent) })
		return
	}
	if server.Zone == w.jamZone {
		server.jammed = true
		late := w.jamMost/2 + time.Duration(w.random.Int64N(int64(w.jamMost/2)))
		w.after(keys.CallTimeout+late, func() { w.apply(server, order) })
		w.after(keys.CallTimeout, func() { m.StepGranted(w.now, order, keys.TimedOut) })
		return
	}
	if w.random.Float64() < w.jammed {
		w.after(keys.CallTimeout+time.Duration(w.random.Int64N(int64(jamTime))), func() { w.apply(server, order) })
		w.after(keys.CallTimeout, func() { m.StepGranted(w.now, order, keys.TimedOut) })
		return
	}
	w.after(w.way(), func() {
		arrived := w.now
		if w.random.Float64() < w.late {
			w.after(time.Duration(w.random.Int64N(int64(6*time.Second))), func() { w.applyLate(server, order, arrived) })
			w.after(keys.CallTimeout-(arrived-w.now), func() { m.StepGranted(w.now, order, keys.Disconnected) })
			return
		}
		outcome := w.apply(server, order)
		w.after(w.way(), func() { m.StepGranted(w.now, order, outcome) })
	})
}

// at returns the server that runs at an address: it need not be the one that a
// grant was meant for.
func (w *world) at(address string) *fakeServer {
	for _, s := range w.servers {
		if s.up && s.Address == address {
			return s
		}
	}
	return nil
}

// apply lets a server take a grant at its arrival.
func (w *world) apply(server *fakeServer, order keys.GrantCall) keys.Outcome {
	if !server.up {
		return keys.Disconnected
	}
	for _, key := range sampledKeys {
		if key >= order.From && key <= order.To && server.seen[key] > order.Fence {
			return keys.FenceRefused
		}
	}
	for _, key := range sampledKeys {
		if key < order.From || key > order.To {
			continue
		}
		server.seen[key] = order.Fence
		last := w.highest[key]
		if last.life != server.Life() && last.fence >= order.Fence {
			w.fault("key %d: fence %d of %v is not above %d of %v", key, order.Fence, server.Life(), last.fence, last.life)
		}
		if order.Fence >= last.fence {
			w.highest[key] = fenceSeen{order.Fence, server.Life()}
		}
	}
	server.hold(order, w.now)
	return keys.Accepted
}

// applyLate lets a server take a grant long after it arrived. It does so
// whatever fences it has seen meanwhile: the pages do not say that it looks.
func (w *world) applyLate(server *fakeServer, order keys.GrantCall, arrived time.Duration) {
	if server.up {
		server.hold(order, arrived)
	}
}

func (w *world) release(m *keys.Machine, order keys.ReleaseCall) {
	server := w.at(order.Address)
	if server == nil || w.random.Float64() < w.refused {
		w.after(w.way(), func() { m.StepReleased(w.now, order, false, "", true) })
		return
	}
	if server.cut {
		w.after(time.Second, func() { m.StepReleased(w.now, order, false, "", false) })
		return
	}
	w.after(w.way(), func() {
		server.drop(order.From, order.To)
		w.after(w.way()+time.Duration(w.random.Int64N(int64(w.work))), func() {
			m.StepReleased(w.now, order, true, fmt.Sprintf("h-%d-%d", order.From, order.Fence), false)
		})
	})
}

// holder returns the lives that hold a key now.
func (w *world) holder(key uint16) []model.Life {
	var found []model.Life
	for life, s := range w.servers {
		if s.up && s.holding(key, w.now) {
			found = append(found, life)
		}
	}
	return found
}

// check notes every sampled key that two servers hold.
func (w *world) check() {
	for _, key := range sampledKeys {
		if holders := w.holder(key); len(holders) > 1 {
			w.fault("key %d is held by %v", key, holders)
		}
	}
}

func (w *world) fault(format string, args ...any) {
	if len(w.faults) < 10 {
		w.faults = append(w.faults, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
	}
}

// unowned returns the number of sampled keys that nobody holds.
func (w *world) unowned() int {
	count := 0
	for _, key := range sampledKeys {
		if len(w.holder(key)) == 0 {
			count++
		}
	}
	return count
}
