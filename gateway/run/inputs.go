package run

import (
	"time"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/gateway/port"
	"guavacrank.example/kvstore"
)

// input is an event that the loop processes.
type input interface{ apply(l *loop) }

// watchResult is the result of listing a watched prefix, or changes under it.
type watchResult struct {
	prefix  string
	full    bool // Whether entries are the complete contents of the prefix.
	era     kvstore.Era
	version kvstore.Version // With full set: the store's version, at which entries were complete.
	entries []kvstore.Entry
	err     error
	// asOf is the time by the loop's clock at or after which the store responded. Zero
	// says that it is unknown.
	asOf time.Duration
	// duration is how long a list took.
	duration time.Duration
}

// serversRead is the result of reading the servers' records.
type serversRead struct {
	position kvstore.Position
	entries  []kvstore.Entry
	// evacuated holds the zones that are evacuated.
	evacuated map[string]bool
	err       error
	duration  time.Duration
	// heldFor is how long it waited after that to be applied.
	heldFor time.Duration
}

// pageRead is the result of reading an ownership page.
type pageRead struct {
	service string
	entry   kvstore.Entry
	err     error
}

// pageWritten is the result of writing an ownership page.
type pageWritten struct {
	service  string
	writeID  uint64
	position kvstore.Position
	err      error
	value    []byte
}

// grantDone is the result of a grant call.
type grantDone struct {
	service string
	call    keys.GrantCall
	outcome keys.Outcome
	// connection is the one on which the call was sent, or zero.
	connection port.Connection
	err        error
}

// releaseDone is the result of a release call.
type releaseDone struct {
	service  string
	call     keys.ReleaseCall
	handover string
	err      error
	// relays is the number of other daemons that were to send the release, relayed that of
	// those to which the server answered.
	relays, relayed int
}

// probeDone is the result of asking a server for its identity.
type probeDone struct {
	service string
	call    keys.ProbeCall
	id      string
	err     error
}

// yieldDone is the result of a Yield call to an earlier leader. term is the own term for
// which it was asked.
type yieldDone struct {
	predecessor keys.Leader
	term        kvstore.Position
	response    *peer.YieldResponse
	err         error
}

// reportReceived is a peer's report. The response is sent to reply.
type reportReceived struct {
	report *peer.Report
	reply  chan peer.ReportResponse
}

// yieldReceived is a peer's request that this process stops leading. The response is
// sent to reply.
type yieldReceived struct {
	request *peer.YieldRequest
	reply   chan peer.YieldResponse
}

// reportDone is the result of reporting to the leader.
type reportDone struct {
	response *peer.ReportResponse
	err      error
}

// followerResponded is the result of asking a store follower.
type followerResponded struct {
	address  string
	response *peer.ReportResponse
	err      error
	sentAt   time.Duration
}

// leaderAnnounced is a leader's announcement of its leadership. The response is sent to
// reply.
type leaderAnnounced struct {
	request *peer.FollowRequest
	reply   chan peer.FollowResponse
}

// followDone is the result of announcing this process's leadership to a daemon.
type followDone struct {
	address  string
	term     kvstore.Position
	response *peer.FollowResponse
	err      error
}

// newerConfigurationDone is the result of asking a daemon for a configuration that is
// newer than the leader's.
type newerConfigurationDone struct {
	response *peer.ReportResponse
	err      error
}

// tick triggers periodic work.
type tick struct{}

// stopRequested says that the process is stopping. last says that it is about to
// exit. done is closed once it has been processed.
type stopRequested struct {
	last bool
	done chan struct{}
}

// tickInterval is the interval between two ticks of the loop.
const tickInterval = 100 * time.Millisecond
