package model

import "time"

// Keys is the number of keys of a partitioned service.
const Keys = 65536

// Server is one incarnation of a backend server, as described by the record that
// the server keeps in the platform's store.
type Server struct {
	ID      string
	Service string
	// Address is the IP:port that accepts requests and grants.
	Address string
	Zone    string
	// Slots is the number of requests that the server executes concurrently.
	Slots int
	// Evacuated says that operators want no requests sent to the server's availability
	// zone. Unlike Draining this may end.
	Evacuated bool
	// Draining says that the server is shutting down and gets no new requests.
	Draining bool
	// Born is the start time of this incarnation in Unix milliseconds, by the
	// server's own clock. A different value under the same ID denotes another
	// incarnation.
	Born int64
	// WarmUp is the remaining time for which the server is cold (slow after its start, or
	// since it turned cold again), as of the record. In lists that VMs give each other it is
	// that of the first record of a cold spell.
	WarmUp time.Duration
}

// Incarnation identifies one run of a backend server, from its start to its end.
type Incarnation struct {
	ID   string `json:"id"`
	Born int64  `json:"born"`
}

// Incarnation returns the identity of this incarnation.
func (s Server) Incarnation() Incarnation { return Incarnation{s.ID, s.Born} }
