package run

import (
	"time"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/kvstore"
)

// input is something that happened, for the loop.
type input interface{ apply(l *loop) }

// followed is a reading of a prefix that is watched: all of it, or changes.
type watchResult struct {
	prefix  string
	full    bool
	entries []kvstore.Entry
	err     error
	// took is how long a reading of the whole prefix took.
	duration time.Duration
}

// polled is a reading of the servers' records.
type serversRead struct {
	entries []kvstore.Entry
	err     error
}

// pageRead is the end of reading a page.
type pageRead struct {
	service string
	entry   kvstore.Entry
	err     error
}

// pageWritten is the end of writing a page.
type pageWritten struct {
	service string
	version kvstore.Version
	err     error
	value   []byte
}

// granted is the end of a grant call.
type grantDone struct {
	service string
	call    keys.GrantCall
	outcome keys.Outcome
	err     error
}

// released is the end of a release call.
type releaseDone struct {
	service  string
	call     keys.ReleaseCall
	handover string
	err      error
}

// probed is a server's word who it is.
type probeDone struct {
	service string
	call    keys.ProbeCall
	id      string
	err     error
}

// yielded is an earlier leader's answer.
type yieldDone struct {
	predecessor keys.Leader
	response    *peer.YieldResponse
	err         error
}

// reported is a peer's report; the answer goes to reply.
type reportReceived struct {
	report *peer.Report
	reply  chan peer.ReportResponse
}

// yieldReceived is a peer's wish that this process stops leading.
type yieldReceived struct {
	incarnation string
	done        chan struct{}
}

// reportDone is the leader's answer to this VM's report.
type reportDone struct {
	response *peer.ReportResponse
	err      error
}

// leaderAnnounced is a leader's word that it leads.
type leaderAnnounced struct{ leadership peer.Leadership }

// ticked passes time.
type tick struct{}

// stopped says that the process stops; last, that it ends now.
type stopRequested struct {
	last bool
	done chan struct{}
}

// tickInterval is the time between two ticks of the loop.
const tickInterval = 100 * time.Millisecond
