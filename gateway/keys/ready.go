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
	Grants   []GrantCall
	Releases []ReleaseCall
	Probes   []ProbeCall
}

// ProbeCall asks the server at an address who it is.
type ProbeCall struct {
	Incarnation model.Life
	Address     string
}

// PageWrite is a page to be written if the stored version is Expected.
type PageWrite struct {
	Expected kvstore.Version
	Page     *Page
}

// GrantCall is a grant to be sent.
type GrantCall struct {
	Incarnation model.Life
	Address     string
	// ID tells the calls of one process apart.
	ID uint64
	port.Grant
}

// ReleaseCall is a release to be sent.
type ReleaseCall struct {
	Incarnation model.Life
	Address     string
	port.Release
}
