package model

import "time"

// Keys is the number of keys of a service that is divided by key.
const Keys = 65536

// Server is one life of a backend server, as its own record in the platform's
// store describes it.
type Server struct {
	ID      string
	Service string
	// Address is the IP:port for requests and grants.
	Address string
	Zone    string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Draining servers get no new requests.
	Draining bool
	// Born is when this life started, in Unix milliseconds by the server's own
	// clock. Another value under the same ID is another life.
	Born int64
	// WarmUp is how much longer the server stays slow after its start, as of
	// the record's last change.
	WarmUp time.Duration
}

// Incarnation identifies one life of a backend server.
type Incarnation struct {
	ID   string `json:"id"`
	Born int64  `json:"born"`
}

// Incarnation returns the identity of this life.
func (s Server) Incarnation() Incarnation { return Incarnation{s.ID, s.Born} }
