package keys

import (
	"math"
	"time"

	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/port"
	"guavacrank.example/kvstore"
)

// Options configure a Machine.
type Options struct {
	Service string
	Self    Leader
	// Hold is how long a grant holds at its server.
	Hold time.Duration
	// PredecessorLife is how long an earlier leader that can't be asked may go
	// on renewing after it was replaced.
	PredecessorLife time.Duration
}

const (
	// renewShare: a grant is renewed after this part of its hold.
	renewShare = 3
	// clockRate bounds how slow a server's clock runs, in percent.
	clockRate = 2
	// holdMargin is added to the wait for the end of a hold.
	holdMargin = 100 * time.Millisecond
	// retryAfter is the pause after a call that failed.
	retryAfter = 150 * time.Millisecond
	// probeEvery is the time between two questions to a server who it is.
	probeEvery = 400 * time.Millisecond
	// recordTime is how long after a server's start its record names it at the
	// latest.
	recordTime = 700 * time.Millisecond
	// draftEvery is the least time between two pages, so that changes that come
	// in quick succession share one.
	draftEvery = 80 * time.Millisecond
	// latencyWeight is the weight of one answer in a server's smoothed time;
	// calmBusy is the part of its slots up to which its answers count.
	latencyWeight = 0.04
	calmBusy      = 0.6
	// gatherTime is how long servers are gathered before the first page.
	gatherTime = 700 * time.Millisecond
	// returnTime is how long after the store's return, or after a takeover, an
	// absent server may still come back.
	returnTime = 2500 * time.Millisecond
)

// Machine decides the ownership of one service's keys while this VM leads.
// It is not safe for concurrent use.
type Machine struct {
	options Options
	now     time.Duration

	leading     bool
	ledSince    time.Duration
	extended    bool // The store does not answer: renew, change nothing.
	adopted     bool
	predecessor Leader // The earlier leader of this term, if there was one.
	retired     bool   // The earlier leader is known to have stopped.
	retiredAt   time.Duration
	pageKnown   bool
	page        *Page
	version     kvstore.Version
	writing     *Page
	unsettled   bool // The outcome of a write is unknown: read the page.
	reading     bool
	nextDraft   uint64
	nextCall    uint64
	draftAt     time.Duration // The next page is not worked out before.
	retryWrite  time.Duration

	servers     map[model.Life]*serverRow
	listed      bool
	trustAbsent time.Duration // From when on an absent server is gone.

	bounds    map[endKey]holdBound
	ended     map[endKey]ending
	releases  map[endKey]time.Duration // Calls under way, by when they began.
	retryAt   map[endKey]time.Duration
	heat      heatTable
	planAt    time.Duration
	forgetAt  time.Duration
	firstSeen time.Duration

	ready Ready
}

// serverRow is one life of a server.
type serverRow struct {
	model.Server
	listed bool
	// arrivedBy bounds when the last grant arrived: the end of the last call
	// that was sent.
	arrivedBy time.Duration
	// unansweredBy is the same for calls that got no answer.
	unansweredBy time.Duration
	inFlight     map[uint64]bool // Calls under way.
	everSent     bool
	took         bool          // It took a grant since leading began.
	failingSince time.Duration // Zero while calls succeed.
	latency      float64       // Seconds, smoothed; zero if unknown.
	busy         float64       // Part of the slots that requests take.
	// unsure: a connection could not be made, so that another process may run
	// at the address by now. Nothing is granted until the server has named
	// itself and its record was still the same some time later.
	unsure  bool
	probeAt time.Duration // When to ask next who it is.
	probing bool
	namedAt time.Duration       // When it named itself; zero before.
	granted map[uint16]grantRow // By first key.
}

// grantRow is the state of one granted range.
type grantRow struct {
	fence    uint64
	to       uint16
	due      time.Duration // When to send the next one.
	inFlight bool
	// answered says that the server took a grant with this fence.
	answered bool
	handover string
}

// endKey identifies the end of one holder on one range.
type endKey struct {
	from  uint16
	to    uint16
	life  model.Life
	fence uint64
}

// ending is what is known of a prior holder's end.
type ending struct {
	released bool
	handover string
}

// Ready is what the machine wants done.
type Ready struct {
	// Read asks for the page.
	Read bool
	// Write asks for a compare-and-swap of the page.
	Write *PageWrite
	// Grants and Releases are calls to servers.
	Grants   []GrantOrder
	Releases []ReleaseOrder
	Probes   []ProbeOrder
}

// ProbeOrder asks the server at an address who it is.
type ProbeOrder struct {
	Life    model.Life
	Address string
}

// PageWrite is a page to be written if the stored version is Expected.
type PageWrite struct {
	Expected kvstore.Version
	Page     *Page
}

// GrantOrder is a grant to be sent.
type GrantOrder struct {
	Life    model.Life
	Address string
	// Call tells the calls of one process apart.
	Call uint64
	port.Grant
}

// ReleaseOrder is a release to be sent.
type ReleaseOrder struct {
	Life    model.Life
	Address string
	port.Release
}

// NewMachine returns a machine that does not lead.
func NewMachine(options Options) *Machine {
	return &Machine{
		options:  options,
		servers:  make(map[model.Life]*serverRow),
		bounds:   make(map[endKey]holdBound),
		ended:    make(map[endKey]ending),
		releases: make(map[endKey]time.Duration),
		retryAt:  make(map[endKey]time.Duration),
		heat:     newHeatTable(),
	}
}

// Lead starts leading at the given time. The page is read afresh.
func (m *Machine) Lead(now time.Duration) {
	m.now = now
	m.leading, m.ledSince = true, now
	m.extended, m.adopted, m.retired = false, false, false
	m.predecessor = Leader{}
	m.pageKnown, m.page, m.writing, m.unsettled, m.reading = false, nil, nil, false, false
	m.trustAbsent = now + returnTime
	m.firstSeen = 0
	clear(m.bounds)
	clear(m.ended)
	clear(m.releases)
	clear(m.retryAt)
	for _, row := range m.servers {
		row.took = false
	}
}

// Stop ends leading.
func (m *Machine) Stop() { m.leading = false }

// Leading says whether the machine leads.
func (m *Machine) Leading() bool { return m.leading }

// Extend says whether the store is out of reach: renewals go on, nothing
// changes hands.
func (m *Machine) Extend(extended bool) { m.extended = extended }

// PredecessorEnded says that the earlier leader has stopped for good.
func (m *Machine) PredecessorEnded(now time.Duration) {
	if !m.retired {
		m.retired, m.retiredAt = true, now
	}
}

// Predecessor returns the leader that wrote the page before, and whether it may
// still grant keys.
func (m *Machine) Predecessor() (Leader, bool) {
	return m.predecessor, m.leading && !m.retired && m.predecessor.Incarnation != ""
}

// Page returns the newest confirmed page, or nil.
func (m *Machine) Page() *Page { return m.page }

// StepServers takes the list of servers of the service. fresh says that the
// store answered without an interruption before.
func (m *Machine) StepServers(now time.Duration, servers []model.Server, uninterrupted bool) {
	m.now = now
	if !uninterrupted {
		m.trustAbsent = now + returnTime
	}
	if !m.listed {
		m.trustAbsent = max(m.trustAbsent, now+returnTime)
	}
	m.listed = true
	for _, row := range m.servers {
		row.listed = false
	}
	for _, server := range servers {
		row := m.row(server.Life())
		row.Server, row.listed = server, true
		if row.unsure && row.namedAt != 0 && now >= row.namedAt+recordTime {
			row.unsure, row.failingSince = false, 0
		}
	}
	if len(servers) > 0 && m.firstSeen == 0 {
		m.firstSeen = now
	}
}

// row returns the row of a life, a new one if needed.
func (m *Machine) row(life model.Life) *serverRow {
	row := m.servers[life]
	if row == nil {
		row = &serverRow{granted: make(map[uint16]grantRow), inFlight: make(map[uint64]bool)}
		row.ID, row.Born = life.ID, life.Born
		m.servers[life] = row
	}
	return row
}

// StepRead takes the stored page; nil says that there is none.
func (m *Machine) StepRead(now time.Duration, page *Page, version kvstore.Version) {
	m.now = now
	m.reading = false
	if !m.leading {
		return
	}
	if m.writing != nil && !m.unsettled {
		return
	}
	written := m.writing
	m.unsettled, m.writing = false, nil
	m.pageKnown, m.version = true, version
	if page == nil {
		m.page = nil
		return
	}
	if written != nil && page.Draft == written.Draft && page.Writer == written.Writer {
		m.page = page
		m.adopted = true
		return
	}
	if m.page == nil || page.Writer != m.options.Self {
		m.adopted = m.adopted && page.Writer == m.options.Self
	}
	m.page = page
	switch {
	case page.Writer != m.options.Self:
		m.predecessor = page.Writer
	case m.predecessor.Incarnation == "":
		m.PredecessorEnded(now) // Nobody else has granted since.
	}
}

// StepReadFailed says that the page could not be read.
func (m *Machine) StepReadFailed(now time.Duration) {
	m.now = now
	m.reading = false
	m.retryWrite = now + retryAfter
}

// StepWritten takes the outcome of a write.
func (m *Machine) StepWritten(now time.Duration, version kvstore.Version, err error) {
	m.now = now
	if m.writing == nil || !m.leading {
		return
	}
	switch {
	case err == nil:
		m.page, m.version = m.writing, version
		m.writing, m.adopted = nil, true
	case kvstore.IsKind(err, kvstore.KindConflict):
		m.writing, m.pageKnown = nil, false
	case kvstore.IsUnknown(err):
		m.unsettled, m.pageKnown = true, false
		m.retryWrite = now + retryAfter
	default:
		m.writing = nil
		m.retryWrite = now + retryAfter
	}
}

// Outcome is how a grant call ended.
type Outcome uint8

// Outcomes of a grant call.
const (
	// Unanswered grants may be applied, late.
	Unanswered Outcome = iota
	// Taken grants hold.
	Taken
	// FenceRefused: the server has seen a higher fence.
	FenceRefused
	// NotSent: no connection carried it.
	NotSent
	// Unreachable: it was not sent, since no connection could be made.
	Unreachable
)

// sent says whether the server may have seen the grant.
func (o Outcome) sent() bool { return o != NotSent && o != Unreachable }

// StepGranted takes the end of a grant call.
func (m *Machine) StepGranted(now time.Duration, order GrantOrder, outcome Outcome) {
	m.now = now
	row := m.row(order.Life)
	row.everSent = true
	delete(row.inFlight, order.Call)
	if outcome.sent() {
		row.arrivedBy = now
	}
	switch outcome {
	case Taken:
		row.took = true
	case Unanswered:
		row.unansweredBy = now
	case Unreachable:
		row.unsure, row.namedAt, row.probeAt = true, 0, now+probeEvery
	}
	m.settleBounds(order, outcome)
	m.settleGrant(row, order, outcome == Taken)
	switch {
	case outcome == Unanswered || !outcome.sent():
		if row.failingSince == 0 {
			row.failingSince = now
		}
	default:
		row.failingSince = 0
	}
	if outcome != FenceRefused || !m.leading {
		return
	}
	switch {
	case m.extended:
		m.leading = false // Another leader acts, and the store can't be asked.
	case m.writing == nil:
		m.pageKnown = false // Another leader may have written: look.
	}
}

// settleBounds takes the end of a call into the bounds of prior holders.
func (m *Machine) settleBounds(order GrantOrder, outcome Outcome) {
	for key, bound := range m.bounds {
		if key.life != order.Life || !bound.pending[order.Call] {
			continue
		}
		delete(bound.pending, order.Call)
		if outcome.sent() {
			bound.arrivedBy = max(bound.arrivedBy, m.now)
		}
		if outcome == Unanswered {
			bound.lateBy = max(bound.lateBy, m.now)
		}
		m.bounds[key] = bound
	}
}

// settleGrant notes the end of a call in the granted range's row.
func (m *Machine) settleGrant(row *serverRow, order GrantOrder, taken bool) {
	grant, held := row.granted[order.From]
	if !held {
		return
	}
	grant.inFlight = false
	switch {
	case !taken:
		grant.due = m.now + retryAfter
	case grant.fence == order.Fence && grant.to == order.To:
		grant.answered = true
		grant.handover = ""
	}
	row.granted[order.From] = grant
}

// StepProbed takes the ID that the server at an address gave; empty if none
// came.
func (m *Machine) StepProbed(now time.Duration, order ProbeOrder, id string) {
	m.now = now
	row := m.row(order.Life)
	row.probing = false
	if row.unsure && id == order.Life.ID {
		row.namedAt = now
	}
}

// runProbes asks servers that may be others by now who they are.
func (m *Machine) runProbes() {
	for life, row := range m.servers {
		if !row.unsure || !row.listed || row.Draining || row.probing || row.namedAt != 0 || m.now < row.probeAt {
			continue
		}
		row.probing, row.probeAt = true, m.now+probeEvery
		m.ready.Probes = append(m.ready.Probes, ProbeOrder{life, row.Address})
	}
}

// StepReleased takes the end of a release call.
func (m *Machine) StepReleased(now time.Duration, order ReleaseOrder, answered bool, handover string) {
	m.now = now
	key := endKey{order.From, order.To, order.Life, order.Fence}
	delete(m.releases, key)
	if !answered {
		m.retryAt[key] = now + retryAfter
		return
	}
	m.ended[key] = ending{released: true, handover: handover}
}

// StepHeat takes keys that requests asked for, and how servers answered.
func (m *Machine) StepHeat(now time.Duration, asked []uint16) {
	m.heat.add(now, asked)
}

// StepLatency takes how long a server took for some answers on average. Only
// answers of a server that is not busy tell how fast it works.
func (m *Machine) StepLatency(id string, answers int, mean time.Duration) {
	for life, row := range m.servers {
		if life.ID != id || !row.listed || row.busy > calmBusy || answers == 0 {
			continue
		}
		if row.latency == 0 {
			row.latency = mean.Seconds()
		}
		weight := 1 - math.Pow(1-latencyWeight, float64(answers))
		row.latency += weight * (mean.Seconds() - row.latency)
	}
}

// Tick passes time and runs the systems.
func (m *Machine) Tick(now time.Duration) {
	m.now = now
	if !m.leading {
		return
	}
	if !m.pageKnown {
		m.runRead()
		return
	}
	m.runProbes()
	m.runReleases()
	m.runDraft()
	m.runRenewals()
	m.runForget()
}

// Ready returns what is to be done and forgets it.
func (m *Machine) Ready() Ready {
	ready := m.ready
	m.ready = Ready{}
	return ready
}

func (m *Machine) runRead() {
	if m.reading || m.now < m.retryWrite || m.extended {
		m.runRenewals()
		return
	}
	m.reading = true
	m.ready.Read = true
}
