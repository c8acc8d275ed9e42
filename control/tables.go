package control

import (
	"slices"
	"strings"
	"time"

	"guavacrank.example/backend"
	"guavacrank.example/config"
	"guavacrank.example/control/ownership"
)

// outstandingRead is a read of the page that the store has not answered.
type outstandingRead struct {
	request  uint64
	issuedAt time.Duration
}

// service is the entity of one service divided by key.
type service struct {
	name       string
	config     config.Service
	defaults   config.Defaults // With the exceptions for the service.
	configured bool
	servers    []*server // Sorted by name: those of the configuration and of the page.
	isPlanner  bool      // This VM holds the planner's role.

	// version and page are the newest confirmed state; version zero: none known.
	version uint64
	page    ownership.Page
	// confirmed is set once a read of the store was answered; confirmedAt is
	// the time at which the newest answered read, or applied write, was issued.
	confirmed   bool
	confirmedAt time.Duration
	// refreshAt is the time of the newest read of the store, answered or not.
	lastReadAt time.Duration
	// wantRead asks for a read that is issued at wantAt or later.
	readWanted      bool
	readWantedSince time.Duration
	reads           []outstandingRead // Not answered yet, oldest first.
	answeredAt      time.Duration     // Arrival of the newest answer of the store.
	readFails       int
	readRetryAt     time.Duration
	pageError       string // Why the page is not acted on; empty: it is sound.

	pageEdit     *pageEdit
	pending      *pendingWrite
	writeBackoff time.Duration
	writeRetryAt time.Duration

	// mine are the servers whose grantor this VM is; groups are the others.
	heldServers   []*server
	otherGrantors []grantorGroup
	// draining says that a server of the service is leaving.
	draining bool
	// asked says that a grantor asked this VM to take a term.
	handoverPending bool
	// owned and leaving index the page's units by owner and by the previous
	// owner that has yet to stop.
	owned      map[string][]ownership.UnitID
	movingFrom map[string][]ownership.UnitID
	// seen is when this VM first saw that a unit leaves its previous owner.
	departures map[ownership.UnitID]departure
	// stopped holds the epochs below which a unit's previous owner has stopped.
	stoppedEpochs map[ownership.UnitID]ownership.Epoch

	// told holds the stops of previous owners that this VM found as their grantor.
	stopNotices map[ownership.UnitID]stopNotice

	// mergedUntil is until when a request may run under an override that has
	// returned to its shard.
	mergedUntil time.Duration
	// early holds notices of stops that arrived before the page of the move.
	earlyStops map[ownership.UnitID]ownership.Epoch

	plan       planState
	history    []unitChange // Newest last.
	localUnits map[ownership.UnitID]uint32
	localKeys  map[string]uint32
	localSince time.Duration
}

// grantorGroup is the servers of one other grantor.
type grantorGroup struct {
	grantor   string
	servers   []*server
	suspected bool // The grantor was suspected on the last tick.
}

// unitChange is one change of a unit that this VM saw.
type unitChange struct {
	OwnershipChange
	unit ownership.UnitID
	at   time.Duration
}

// departure is the first sight of a unit that leaves its previous owner.
type departure struct {
	epoch      ownership.Epoch
	version    uint64
	at         time.Duration
	generation uint64 // First routing without the unit at the previous owner.
	idle       bool   // Traffic has finished its sends.
}

// notification is the sending of Stopped to the grantor of a unit's owner.
type stopNotice struct {
	epoch                 ownership.Epoch
	firstSent, lastSentAt time.Duration
}

// server is the entity of one backend server: its grants and its term.
type server struct {
	name       string
	config     config.Server
	configured bool
	// drainingAt is when this VM learnt that the server is leaving; closed is
	// set once it may get no new work, whether its units have moved or not.
	drainingAt    time.Duration
	drainTimedOut bool

	boot        string // Empty: not known.
	bootAt      time.Duration
	clock       int64         // Newest reading of the server's clock, in milliseconds.
	clockAt     time.Duration // When that reading was received.
	highestTerm ownership.Term
	unconfirmed bool // After a pause: must answer once before it gets an order.

	sequence   uint64
	orders     []sentOrder // Newest last.
	lastSent   time.Duration
	sent       bool
	lastAnswer time.Duration
	answered   bool

	// grantEnd is the time at which every order that this VM sent has run out.
	grantsExpireAt time.Duration
	// accepted is the newest order of this VM that the server accepted.
	accepted       sentOrder
	finishing      []uint32
	returnReported bool // Answers again after it was found lost.

	pageTerm   ownership.Term // Term of the newest page.
	heldTerm   ownership.Term // Term of the page while this VM is the grantor.
	heldSince  time.Duration
	termLostAt time.Duration // When this VM last lost a term to another VM.
	termLost   bool
	// releasedBelow is the term below which this VM no longer acts.
	releasedBelow           ownership.Term
	releases                map[string]release
	formerQueriedAt         time.Duration
	bothUnreachableReported bool // An event said that server and former grantor are out of reach.

	suspectedAt         time.Duration // When its grantor was first suspected.
	suspected           bool
	handoverTerm        ownership.Term // Term whose holder asked this VM to take the next.
	handoverRequestedAt time.Duration  // When it last asked.
	successor           string         // VM that this VM asked to take over.
	successorAskedAt    time.Duration
	successorChosenAt   time.Duration

	// homeUntil and the rest matter for servers that do not check grants.
	homeUntil      time.Duration
	maxHomeUntil   time.Duration // Greatest homeUntil that was ever published.
	sendsStopped   bool
	stopGeneration uint64
	sendsIdle      bool

	cachedGrants grantSet
}

// release is what a former grantor answered to a term query.
type release struct {
	term      ownership.Term
	expiresAt time.Duration
}

// sentOrder is what is remembered of an order until it is answered.
type sentOrder struct {
	sequence uint64
	hello    bool
	boot     string
	term     ownership.Term
	version  uint64
	digest   uint64
}

// setCache is the granted set of a server at one state of the page.
type grantSet struct {
	valid  bool
	units  []backend.UnitGrant
	digest uint64
}

// server returns the entity of a backend server, or nil.
func (s *service) server(name string) *server {
	i, found := s.serverIndex(name)
	if !found {
		return nil
	}
	return s.servers[i]
}

func (s *service) serverIndex(name string) (int, bool) {
	return slices.BinarySearchFunc(s.servers, name, func(sv *server, name string) int {
		return strings.Compare(sv.name, name)
	})
}

// ensureServer returns the entity of a backend server, adding it when needed.
func (s *service) ensureServer(name string) *server {
	i, found := s.serverIndex(name)
	if !found {
		s.servers = slices.Insert(s.servers, i, &server{name: name, releases: make(map[string]release)})
	}
	return s.servers[i]
}

// entry is the page's row of a server, or nil.
func (s *service) entry(sv *server) *ownership.Server {
	if s.version == 0 {
		return nil
	}
	return s.page.Server(sv.name)
}

// holds reports whether this VM is the grantor of a server as far as it knows.
func (m *Machine) holds(s *service, sv *server) bool {
	entry := s.entry(sv)
	return entry != nil && s.pageError == "" && entry.Grantor == m.options.Self && entry.Term >= sv.releasedBelow
}

// confirmedSince reports whether the page was read from the store, or written
// by this VM, at or after a time.
func (s *service) confirmedSince(t time.Duration) bool {
	return s.confirmed && s.confirmedAt >= t
}
