package keys

import (
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/port"
	"guavacrank.example/kvstore"
)

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
