package keys

import (
	"time"

	"guavacrank.example/gateway/model"
	"guavacrank.example/kvstore"
)

// Options configures a Machine.
type Options struct {
	Service string
	Self    Leader
	// GrantTTL is the lifetime of a grant, counted from its arrival at the
	// server. MaxGrantTTL is the longest lifetime that a large number of ranges
	// may extend it to, which limits the leader's rate of renewals; zero means
	// that it is never extended.
	GrantTTL, MaxGrantTTL time.Duration
	// PredecessorTimeout is how long after its replacement an unreachable
	// earlier leader may go on renewing grants.
	PredecessorTimeout time.Duration
}

const (
	// renewalsPerTTL is the number of renewals within the lifetime of a grant.
	renewalsPerTTL = 3
	// clockDriftPercent bounds how slow a server's clock may run.
	clockDriftPercent = 2
	// expiryMargin is added to the wait for the expiry of a grant.
	expiryMargin = 100 * time.Millisecond
	// retryDelay is the pause after a failed call.
	retryDelay = 150 * time.Millisecond
	// probeInterval is the time between two identity probes of a server.
	probeInterval = 400 * time.Millisecond
	// draftInterval is the least time between two pages, so that changes in
	// quick succession share one write.
	draftInterval = 80 * time.Millisecond
	// idleDraftInterval is the same after a check that found nothing to change.
	idleDraftInterval = 20 * time.Millisecond
	// discoveryTime is how long to wait for further servers before the first page.
	discoveryTime = 700 * time.Millisecond
	// absenceGrace is how long an unlisted server may still return after the
	// store was regained or this VM took over.
	absenceGrace = 2500 * time.Millisecond
)

// Machine decides the ownership of one service's keys while this VM leads.
// It is not safe for concurrent use.
type Machine struct {
	options Options
	now     time.Duration

	leading      bool
	leadingSince time.Duration
	renewOnly    bool // The store is out of reach: renew grants, change nothing.
	// isolationRuledOut reports that servers which do not answer this VM do not answer
	// others either.
	isolationRuledOut bool
	adopted           bool        // Every range has a fence of this leader.
	era               kvstore.Era // The store's era in which this machine leads.
	consulting        bool        // StepConsulted is awaited.
	consulted         bool        // It came in this era.
	stored            *Page       // While consulting: the page that was read.
	settlement        settlement
	fleet             int  // The number of daemons that this leader knows.
	fleetComplete     bool // This leader has led for so long that others count as lost.
	predecessors      predecessors
	lostGrants        LostGrantsBound
	priorGrants       PriorGrantBounds
	recordsLostGrants bool // This leader has recorded the lost grants in its term.
	pageKnown         bool
	page              *Page
	version           kvstore.Version
	lastFence         uint64        // The last fence that was taken, by this leader or by earlier ones.
	shortTTL          time.Duration // The TTL of grants until longTTLFrom.
	longTTLFrom       time.Duration // From then on the page's TTL is used.
	writing           *Page
	changing          map[uint16]bool // First keys of the ranges that writing changes.
	writeUnknown      bool            // The outcome of a write is unknown: read the page.
	reading           bool
	nextWriteID       uint64
	nextCallID        uint64
	calls             int           // Grant calls in flight.
	nextRange         int           // Where the next scan for renewals starts.
	nextDraftAt       time.Duration // Earliest time of the next draft.
	retryStoreAt      time.Duration

	servers   map[model.Incarnation]*serverRow
	endpoints map[endpoint]*endpointRow
	// latestByID and latestByAddress hold the latest listed incarnation for each.
	latestByID      map[string]*serverRow
	latestByAddress map[string]*serverRow
	listed          bool
	absenceCountsAt time.Duration // From then on, an unlisted server counts as gone.

	impaired        impairedZones
	bounds          map[holderKey]holderBound
	released        map[holderKey]releaseResult
	releasing       map[holderKey]time.Duration // Start times of the release calls in flight.
	retryReleaseAt  map[holderKey]time.Duration
	fencing         map[UnfencedKeys]*fencingRow
	cutOffPrior     []UnfencedKeys // Of prior holders that may be cut off, since the last runFencing.
	sentReleases    sentReleases
	rates           rateTable
	warmUpRate      float64 // Requests per second that a cold server takes, or zero for no limit.
	nextRebalanceAt time.Duration
	nextPruneAt     time.Duration
	firstServerAt   time.Duration

	ready Ready
}

// NewMachine returns a machine that does not lead.
func NewMachine(options Options) *Machine {
	return &Machine{
		options:        options,
		servers:        make(map[model.Incarnation]*serverRow),
		endpoints:      make(map[endpoint]*endpointRow),
		impaired:       make(impairedZones),
		bounds:         make(map[holderKey]holderBound),
		released:       make(map[holderKey]releaseResult),
		releasing:      make(map[holderKey]time.Duration),
		retryReleaseAt: make(map[holderKey]time.Duration),
		fencing:        make(map[UnfencedKeys]*fencingRow),
		sentReleases:   make(sentReleases),
		rates:          newRateTable(),
		predecessors:   newPredecessors(),
	}
}

// Lead makes this machine the leader in an era of the store. It reads the page before
// anything else. A machine that leads in an earlier era goes on renewing its grants.
func (m *Machine) Lead(now time.Duration, era kvstore.Era) {
	m.now = now
	if m.leading && m.adopted && m.page != nil && era > m.era {
		m.continueInEra(era)
		return
	}
	m.leading, m.leadingSince = true, now
	m.era, m.consulting, m.consulted, m.settlement = era, false, false, settled
	m.recordsLostGrants = false
	m.fleet, m.fleetComplete = 0, false
	m.longTTLFrom = 0
	m.renewOnly, m.adopted = false, false
	m.predecessors = newPredecessors()
	m.pageKnown, m.page, m.writing, m.writeUnknown, m.reading = false, nil, nil, false, false
	m.absenceCountsAt = now + absenceGrace
	m.firstServerAt = 0
	clear(m.bounds)
	clear(m.released)
	clear(m.releasing)
	clear(m.retryReleaseAt)
	clear(m.fencing)
	m.cutOffPrior = m.cutOffPrior[:0]
	for _, row := range m.servers {
		row.acceptedGrant = false
	}
}

// Stop ends this machine's leadership.
func (m *Machine) Stop() { m.leading = false }

// KnowsNewestPage reports whether this machine leads and knows the newest page.
func (m *Machine) KnowsNewestPage() bool {
	noPage := m.pageKnown && m.page == nil && m.settlement == settled
	return m.leading && (m.adopted || noPage)
}

// Leading reports whether this machine leads.
func (m *Machine) Leading() bool { return m.leading }

// SetRenewOnly sets whether the store is out of reach. Grants are then renewed,
// but ownership does not change.
func (m *Machine) SetRenewOnly(renewOnly bool) { m.renewOnly = renewOnly }

// SetIsolationRuledOut sets whether servers that do not answer this VM are known not to
// answer others either. Their keys are then reassigned even if they are the majority.
func (m *Machine) SetIsolationRuledOut(ruledOut bool) { m.isolationRuledOut = ruledOut }

// Page returns the latest committed page, or nil.
func (m *Machine) Page() *Page { return m.page }

// Tick advances the clock and collects the work that is due.
func (m *Machine) Tick(now time.Duration) {
	m.now = now
	if !m.leading {
		return
	}
	if !m.pageKnown {
		m.runRead()
		return
	}
	m.runPredecessors()
	m.runProbes()
	m.runReleases()
	m.runFencing()
	m.runDraft()
	m.runRenewals()
	m.runPrune()
}

// Ready returns the collected work and clears it.
func (m *Machine) Ready() Ready {
	ready := m.ready
	m.ready = Ready{}
	return ready
}

// runRead asks for the page. Until it is known, the leader renews grants and tells prior
// holders to stop by the page that it knew last.
func (m *Machine) runRead() {
	if m.reading || m.consulting || m.now < m.retryStoreAt || m.renewOnly {
		if m.adopted {
			m.runReleases()
			m.runFencing()
		}
		m.runRenewals()
		return
	}
	m.reading = true
	m.ready.Read = true
}
