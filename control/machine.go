package control

import (
	"slices"
	"strings"
	"time"

	"guavacrank.example/config"
	"guavacrank.example/event"
)

// Options configures a Machine.
type Options struct {
	// Self is the name of this VM; at most one running daemon uses it.
	Self   string
	Region string
	Zone   string
	// Incarnation is unique for each start of the process. It makes the change
	// IDs of page writes unique.
	Incarnation string
}

// Machine is the control plane of one VM. It is not safe for concurrent use.
type Machine struct {
	options Options
	now     time.Duration
	started bool
	// startedAt is the time of the first call. Grants issued by an earlier
	// process on this VM are based on answers received before it.
	startedAt time.Duration
	// resumedAt is the start time, or the end of the latest pause. A page that
	// was last confirmed before it is not acted on.
	resumedAt        time.Duration
	revision         config.Revision
	defaults         config.Defaults
	services         []*service // Sorted by name.
	members          memberTable
	declaredLost     lostTable
	roles            map[string]bool
	stopping         bool
	lastReadRequest  uint64
	lastChangeNumber uint64
	ready            Ready
	routing          Routing
	disabledRules    safetyRules
}

// New returns a Machine without any state.
func New(options Options) *Machine {
	m := &Machine{options: options, roles: make(map[string]bool)}
	m.members.init()
	return m
}

// Step applies one input that arrived at now. Its consequences are computed on
// the next Tick.
func (m *Machine) Step(now time.Duration, in Input) {
	m.advance(now)
	switch in := in.(type) {
	case ConfigurationAccepted:
		m.acceptConfiguration(in)
	case PageRead:
		m.readPage(in)
	case PageWritten:
		m.handleWriteResult(in)
	case GrantAnswered:
		m.handleGrantAnswer(in)
	case MembersChanged:
		m.members.replace(in.Members)
	case RoleChanged:
		m.changeRole(in)
	case MessageReceived:
		m.handleMessage(in)
	case LoadMeasured:
		m.addLocalLoad(in)
	case SendsFinished:
		m.recordSendsFinished(in)
	case StopRequested:
		m.stopping = true
	}
}

// systems are the steps of a tick, in the order in which they run.
var systems = []func(*Machine){
	(*Machine).runReads,
	(*Machine).runBootstrap,
	(*Machine).runDrain,
	(*Machine).runRenewal,
	(*Machine).runHomes,
	(*Machine).runStopConfirmation,
	(*Machine).runLoss,
	(*Machine).runTakeover,
	(*Machine).runTermQueries,
	(*Machine).runHandover,
	(*Machine).runServers,
	(*Machine).runPlanner,
	(*Machine).runHeartbeats,
	(*Machine).runWrites,
	(*Machine).runInvariants,
	(*Machine).runRouting,
}

// Tick runs all systems at now. Call it after each batch of inputs, and at
// least once every TickInterval.
func (m *Machine) Tick(now time.Duration) {
	m.advance(now)
	for _, run := range systems {
		run(m)
	}
}

// Ready returns the actions requested since the last call. Call it after each
// Tick.
func (m *Machine) Ready() Ready {
	ready := m.ready
	m.ready = Ready{}
	return ready
}

// advance moves the clock forward and detects a pause of the process or the VM.
func (m *Machine) advance(now time.Duration) {
	if !m.started {
		m.started = true
		m.startedAt = now
		m.resumedAt = now
		m.now = now
		return
	}
	if now <= m.now {
		return
	}
	paused := now-m.now >= m.grantTTL()
	previous := m.now
	m.now = now
	if paused {
		m.handlePause(now - previous)
	}
}

// handlePause marks every page and every server as unconfirmed after a pause.
func (m *Machine) handlePause(length time.Duration) {
	m.resumedAt = m.now
	m.members.resetHeartbeatAges(m.now)
	for _, s := range m.services {
		for _, sv := range s.servers {
			sv.unconfirmed = true
			sv.homeUntil = 0
		}
	}
	m.emit(event.Paused, "gap between two ticks", "length", length.String())
}

// service returns the state of a service that is divided by key, or nil.
func (m *Machine) service(name string) *service {
	i, found := m.serviceIndex(name)
	if !found {
		return nil
	}
	return m.services[i]
}

func (m *Machine) serviceIndex(name string) (int, bool) {
	return slices.BinarySearchFunc(m.services, name, func(s *service, name string) int {
		return strings.Compare(s.name, name)
	})
}

func (m *Machine) emit(number event.Number, cause string, nameValue ...string) {
	if len(m.ready.Events) < maxEvents {
		m.ready.Events = append(m.ready.Events, event.New(number, cause, nameValue...))
	}
}

func (m *Machine) send(to string, message Message) {
	if to != "" && to != m.options.Self {
		m.ready.Messages = append(m.ready.Messages, Outbound{To: to, Message: message})
	}
}
