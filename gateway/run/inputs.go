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
type followed struct {
	prefix  string
	whole   bool
	entries []kvstore.Entry
	err     error
	// took is how long a reading of the whole prefix took.
	took time.Duration
}

// polled is a reading of the servers' records.
type polled struct {
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
type granted struct {
	service string
	order   keys.GrantCall
	outcome keys.Outcome
	err     error
}

// released is the end of a release call.
type released struct {
	service  string
	order    keys.ReleaseCall
	handover string
	err      error
}

// probed is a server's word who it is.
type probed struct {
	service string
	order   keys.ProbeCall
	id      string
	err     error
}

// yielded is an earlier leader's answer.
type yielded struct {
	asked  keys.Leader
	answer *peer.YieldResponse
	err    error
}

// reported is a peer's report; the answer goes to reply.
type reported struct {
	report *peer.Report
	reply  chan peer.ReportResponse
}

// yieldAsked is a peer's wish that this process stops leading.
type yieldAsked struct {
	incarnation string
	done        chan struct{}
}

// reportAnswered is the leader's answer to this VM's report.
type reportAnswered struct {
	answer *peer.ReportResponse
	err    error
}

// followAsked is a leader's word that it leads.
type followAsked struct{ follow peer.Leadership }

// ticked passes time.
type ticked struct{}

// stopped says that the process stops; last, that it ends now.
type stopped struct {
	last bool
	done chan struct{}
}

// tickEvery is the time between two ticks of the loop.
const tickEvery = 100 * time.Millisecond
