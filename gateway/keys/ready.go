package keys

import (
	"time"

	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/port"
	"guavacrank.example/kvstore"
)

// Ready is the work that the machine wants done.
type Ready struct {
	// Read asks to read the page.
	Read bool
	// Consult asks for the newest page that any VM knows, because the store was
	// restored since the stored page was written. StepConsulted takes the response.
	Consult bool
	// Write, if set, asks to write the page by compare-and-swap.
	Write *PageWrite
	// Grants, Releases and Probes are calls to send to servers.
	Grants   []GrantCall
	Releases []ReleaseCall
	Probes   []ProbeCall
}

// ProbeCall asks the server at an address for its ID.
type ProbeCall struct {
	Incarnation model.Incarnation
	Address     string
}

// PageWrite is a page to write if the stored version still is Expected.
type PageWrite struct {
	Expected kvstore.Version
	Page     *Page
}

// GrantCall is a grant to send.
type GrantCall struct {
	Incarnation model.Incarnation
	Address     string
	// ID is unique among the calls of one process.
	ID uint64
	// First says that the server has not accepted the fence before.
	First bool
	port.Grant
}

// ReleaseCall is a release to send.
type ReleaseCall struct {
	Incarnation model.Incarnation
	Address     string
	// Fencing says that the server holds nothing by what this leader knows, and is only to
	// refuse earlier grants.
	Fencing bool
	// Relayed says that other VMs send the release too: the server may be out of this VM's
	// reach, or turn its connections away.
	Relayed bool
	// Timeout is the timeout of the call.
	Timeout time.Duration
	port.Release
}
