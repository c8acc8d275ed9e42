package control

import (
	"slices"
	"strings"
	"time"

	"guavacrank.example/backend"
	"guavacrank.example/config"
	"guavacrank.example/control/ownership"
)

// outstandingRead is a read of the page that the store has not answered yet.
type outstandingRead struct {
	request  uint64
	issuedAt time.Duration
}

// service is the state of one service that is divided by key.
type service struct {
	name       string
	config     config.Service
	defaults   config.Defaults // With the exceptions that apply to the service.
	configured bool
	servers    []*server // Sorted by name: the servers in the configuration and those in the page.
	isPlanner  bool      // This VM holds the planner role of the service.

	// version and page are the newest known state; version zero means that none
	// is known.
	version uint64
	page    ownership.Page
	// confirmed is set once a read of the store was answered; confirmedAt is
	// the time at which the latest read that was answered, or write that was
	// applied, was issued.
	confirmed   bool
	confirmedAt time.Duration
	// lastReadAt is the time at which the latest read of the store was issued,
	// answered or not.
	lastReadAt time.Duration
	// readWanted requests a read that is issued at readWantedSince or later.
	readWanted      bool
	readWantedSince time.Duration
	reads           []outstandingRead // Unanswered, oldest first.
	answeredAt      time.Duration     // When the latest answer of the store arrived.
	readFails       int
	readRetryAt     time.Duration
	pageError       string // Why the page is not acted on; empty if it is valid.

	pageEdit     *pageEdit
	pending      *pendingWrite
	writeBackoff time.Duration
	writeRetryAt time.Duration

	// heldServers are the servers whose grantor in the page is this VM;
	// otherGrantors groups the other servers by grantor.
	heldServers   []*server
	otherGrantors []grantorGroup
	// draining is set while a server of the service is draining.
	draining bool
	// handoverPending is set while another grantor has asked this VM to take
	// over a term.
	handoverPending bool
	// owned and movingFrom index the page's units by owner, and by the previous
	// owner that has not yet stopped.
	owned      map[string][]ownership.UnitID
	movingFrom map[string][]ownership.UnitID
	// departures records when this VM first saw that a unit is leaving its
	// previous owner.
	departures map[ownership.UnitID]departure
	// stoppedEpochs holds, for each unit, the epoch below which its previous
	// owner has stopped.
	stoppedEpochs map[ownership.UnitID]ownership.Epoch

	// stopNotices tracks the UnitStopped messages of this VM for units whose
	// previous owner it has found stopped as that owner's grantor.
	stopNotices map[ownership.UnitID]stopNotice

	// mergedUntil is the time until which a request may still run under an
	// override that has been merged into its shard.
	mergedUntil time.Duration
	// earlyStops holds the epochs of UnitStopped messages that arrived before
	// the page with the move.
	earlyStops map[ownership.UnitID]ownership.Epoch

	plan       planState
	history    []unitChange // Newest last.
	localUnits map[ownership.UnitID]uint32
	localKeys  map[string]uint32
	localSince time.Duration
}

// grantorGroup holds the servers of one other grantor.
type grantorGroup struct {
	grantor   string
	servers   []*server
	suspected bool // The grantor was suspected on the last tick.
}

// unitChange is one change of a unit's owner that this VM observed.
type unitChange struct {
	OwnershipChange
	unit ownership.UnitID
	at   time.Duration
}

// departure records when this VM first saw that a unit is leaving its previous
// owner.
type departure struct {
	epoch      ownership.Epoch
	version    uint64
	at         time.Duration
	generation uint64 // First routing that does not send the unit to its previous owner.
	idle       bool   // The traffic layer has finished its requests.
}

// stopNotice tracks the UnitStopped message to the grantor of a unit's new
// owner.
type stopNotice struct {
	epoch                   ownership.Epoch
	firstSentAt, lastSentAt time.Duration
}

// server is the state of one backend server: its grants and its term.
type server struct {
	name       string
	config     config.Server
	configured bool
	// drainingAt is when this VM learnt that the server is draining;
	// drainTimedOut is set once the server may get no new work, even if some of
	// its units have not moved.
	drainingAt    time.Duration
	drainTimedOut bool

	boot        string // Boot ID of the server's process; empty if unknown.
	bootAt      time.Duration
	clock       int64         // Latest reading of the server's clock, in milliseconds.
	clockAt     time.Duration // When that reading was received.
	highestTerm ownership.Term
	unconfirmed bool // Set after a pause: the server must answer once before it gets an order.

	sequence   uint64
	orders     []sentOrder // Newest last.
	lastSent   time.Duration
	sent       bool
	lastAnswer time.Duration
	answered   bool

	// grantsExpireAt is the time at which every grant that this VM sent has
	// expired.
	grantsExpireAt time.Duration
	// accepted is the newest order of this VM that the server has accepted.
	accepted       sentOrder
	finishing      []uint32 // Units whose requests the server is still finishing at an epoch that is not granted.
	returnReported bool     // A server-returned event was emitted for the server, which had been marked down.

	pageTerm   ownership.Term // The server's term in the newest page.
	heldTerm   ownership.Term // The same while this VM is the grantor, otherwise zero.
	heldSince  time.Duration
	termLostAt time.Duration // When this VM last lost a term to another VM.
	termLost   bool
	// releasedBelow is the term below which this VM no longer acts.
	releasedBelow           ownership.Term
	releases                map[string]release
	formerQueriedAt         time.Duration
	bothUnreachableReported bool // A both-out-of-reach event was emitted for the server and a former grantor.

	suspectedAt         time.Duration // When its grantor was first suspected.
	suspected           bool
	handoverTerm        ownership.Term // Term whose holder asked this VM to take the next one.
	handoverRequestedAt time.Duration  // When the holder last asked.
	successor           string         // VM that this VM has asked to take over the term.
	successorAskedAt    time.Duration  // When the successor was last asked.
	successorChosenAt   time.Duration  // When the successor was first asked.

	// homeUntil and the following fields apply to servers that do not check
	// grants.
	homeUntil      time.Duration
	maxHomeUntil   time.Duration // Highest homeUntil that was ever published.
	sendsStopped   bool
	stopGeneration uint64 // First routing without sends to the server.
	sendsIdle      bool   // No request is in flight since sends were stopped.

	cachedGrants grantSet
}

// release is a former grantor's answer to a term query.
type release struct {
	term      ownership.Term
	expiresAt time.Duration
}

// sentOrder is what is kept of an order until it is answered.
type sentOrder struct {
	sequence uint64
	hello    bool
	boot     string
	term     ownership.Term
	version  uint64
	digest   uint64
}

// grantSet caches the units that may be granted to a server under the current
// state of the page.
type grantSet struct {
	valid  bool
	units  []backend.UnitGrant
	digest uint64
}

// server returns the state of a backend server, or nil.
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

// ensureServer returns the state of a backend server and creates it if needed.
func (s *service) ensureServer(name string) *server {
	i, found := s.serverIndex(name)
	if !found {
		s.servers = slices.Insert(s.servers, i, &server{name: name, releases: make(map[string]release)})
	}
	return s.servers[i]
}

// entry returns the page's entry for a server, or nil.
func (s *service) entry(sv *server) *ownership.Server {
	if s.version == 0 {
		return nil
	}
	return s.page.Server(sv.name)
}

// holds reports whether, to this VM's knowledge, it is the grantor of a server
// and may act as such.
func (m *Machine) holds(s *service, sv *server) bool {
	entry := s.entry(sv)
	return entry != nil && s.pageError == "" && entry.Grantor == m.options.Self && entry.Term >= sv.releasedBelow
}

// confirmedSince reports whether the page was read from the store, or written
// by this VM, at or after a time.
func (s *service) confirmedSince(t time.Duration) bool {
	return s.confirmed && s.confirmedAt >= t
}
