package keys

import (
	"time"

	"guavacrank.example/gateway/model"
	"guavacrank.example/kvstore"
)

// Options configure a Machine.
type Options struct {
	Service string
	Self    Leader
	// GrantTTL is how long a grant holds at its server, MaxGrantTTL the same with many
	// ranges, whose renewals would keep the leader busy; zero stands for GrantTTL.
	GrantTTL, MaxGrantTTL time.Duration
	// PredecessorTimeout is how long an earlier leader that can't be asked may go
	// on renewing after it was replaced.
	PredecessorTimeout time.Duration
}

const (
	// renewShare: a grant is renewed after this part of its hold.
	renewalsPerTTL = 3
	// clockRate bounds how slow a server's clock runs, in percent.
	clockDriftPercent = 2
	// holdMargin is added to the wait for the end of a hold.
	expiryMargin = 100 * time.Millisecond
	// retryAfter is the pause after a call that failed.
	retryDelay = 150 * time.Millisecond
	// probeEvery is the time between two questions to a server who it is.
	probeInterval = 400 * time.Millisecond
	// recordTime is how long after a server's start its record names it at the
	// latest.
	registrationDelay = 700 * time.Millisecond
	// draftEvery is the least time between two pages, so that changes that come
	// in quick succession share one.
	draftInterval = 80 * time.Millisecond
	// redraftEvery is the same after a look that found nothing to change.
	idleDraftInterval = 20 * time.Millisecond
	// latencyWeight is the weight of one answer in a server's smoothed time;
	// calmBusy is the part of its slots up to which its answers count.
	latencyWeight         = 0.04
	maxSampledUtilization = 0.6
	// gatherTime is how long servers are gathered before the first page.
	discoveryTime = 700 * time.Millisecond
	// returnTime is how long after the store's return, or after a takeover, an
	// absent server may still come back.
	absenceGrace = 2500 * time.Millisecond
)

// Machine decides the ownership of one service's keys while this VM leads.
// It is not safe for concurrent use.
type Machine struct {
	options Options
	now     time.Duration

	leading      bool
	leadingSince time.Duration
	renewOnly    bool // The store does not answer: renew, change nothing.
	adopted      bool
	predecessors predecessors
	pageKnown    bool
	page         *Page
	version      kvstore.Version
	writing      *Page
	changing     map[uint16]bool // First keys of ranges that writing changes.
	writeUnknown bool            // The outcome of a write is unknown: read the page.
	reading      bool
	nextWriteID  uint64
	nextCallID   uint64
	calls        int           // Grant calls under way.
	nextRange    int           // Where the next look for renewals begins.
	nextDraftAt  time.Duration // The next page is not worked out before.
	retryStoreAt time.Duration

	servers map[model.Life]*serverRow
	// latestByID and latestByAddress are the listed servers that started last.
	latestByID      map[string]*serverRow
	latestByAddress map[string]*serverRow
	listed          bool
	absenceCountsAt time.Duration // From when on an absent server is gone.

	impaired        impairedZones
	bounds          map[holderKey]holderBound
	released        map[holderKey]releaseResult
	releasing       map[holderKey]time.Duration // Calls under way, by when they began.
	retryReleaseAt  map[holderKey]time.Duration
	rates           rateTable
	nextRebalanceAt time.Duration
	nextPruneAt     time.Duration
	firstServerAt   time.Duration

	ready Ready
}

// NewMachine returns a machine that does not lead.
func NewMachine(options Options) *Machine {
	return &Machine{
		options:        options,
		servers:        make(map[model.Life]*serverRow),
		impaired:       make(impairedZones),
		bounds:         make(map[holderKey]holderBound),
		released:       make(map[holderKey]releaseResult),
		releasing:      make(map[holderKey]time.Duration),
		retryReleaseAt: make(map[holderKey]time.Duration),
		rates:          newRateTable(),
		predecessors:   predecessors{ended: make(map[string]bool)},
	}
}

// Lead starts leading at the given time. The page is read afresh.
func (m *Machine) Lead(now time.Duration) {
	m.now = now
	m.leading, m.leadingSince = true, now
	m.renewOnly, m.adopted = false, false
	m.predecessors = predecessors{ended: make(map[string]bool)}
	m.pageKnown, m.page, m.writing, m.writeUnknown, m.reading = false, nil, nil, false, false
	m.absenceCountsAt = now + absenceGrace
	m.firstServerAt = 0
	clear(m.impaired)
	clear(m.bounds)
	clear(m.released)
	clear(m.releasing)
	clear(m.retryReleaseAt)
	for _, row := range m.servers {
		row.acceptedGrant = false
	}
}

// Stop ends leading.
func (m *Machine) Stop() { m.leading = false }

// Leading says whether the machine leads.
func (m *Machine) Leading() bool { return m.leading }

// SetRenewOnly says whether the store is out of reach: renewals go on, nothing
// changes hands.
func (m *Machine) SetRenewOnly(renewOnly bool) { m.renewOnly = renewOnly }

// Page returns the newest confirmed page, or nil.
func (m *Machine) Page() *Page { return m.page }

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
	m.runPredecessors()
	m.runProbes()
	m.runReleases()
	m.runDraft()
	m.runRenewals()
	m.runPrune()
}

// Ready returns what is to be done and forgets it.
func (m *Machine) Ready() Ready {
	ready := m.ready
	m.ready = Ready{}
	return ready
}

func (m *Machine) runRead() {
	if m.reading || m.now < m.retryStoreAt || m.renewOnly {
		m.runRenewals()
		return
	}
	m.reading = true
	m.ready.Read = true
}
