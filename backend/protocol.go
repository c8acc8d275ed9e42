// Package backend is the published protocol between guavacrank and backend
// servers: the headers of a forwarded request, the documented refusals, and
// the fenced grants.
//
// Sub-packages: client sends grants, standin is the small stand-in server
// that tests and the demo use.
package backend

import "time"

// Headers of a request that guavacrank forwards to a backend server. A
// caller's own headers with these names are removed.
const (
	// HeaderRequestID carries the request's identifier, unique for each
	// caller's request; every attempt of one request carries the same one.
	HeaderRequestID = "Guavacrank-Request-Id"
	// HeaderAttempt carries the attempt's number, from 1.
	HeaderAttempt = "Guavacrank-Attempt"
	// HeaderUnit carries the ownership unit (shard or override) of the key.
	HeaderUnit = "Guavacrank-Unit"
	// HeaderEpoch carries the epoch of the unit that the router knows.
	HeaderEpoch = "Guavacrank-Epoch"
	// HeaderDeadline carries the remaining time in whole milliseconds.
	HeaderDeadline = "Guavacrank-Deadline-Ms"
	// HeaderClass carries the traffic class.
	HeaderClass = "Guavacrank-Class"
	// HeaderKey carries the key, percent-encoded as in the path of a URL.
	HeaderKey = "Guavacrank-Key"
)

// HeaderRefused marks an answer that proves that the request was not run. Its
// value is a Refusal. An answer without it proves nothing of the kind.
const HeaderRefused = "Guavacrank-Refused"

// Refusal is the documented reason of a refused request.
type Refusal string

// Documented refusals; each proves that the request was not run.
const (
	RefusedFence       Refusal = "fence"       // No valid grant for the unit at that epoch.
	RefusedShed        Refusal = "shed"        // All slots busy.
	RefusedDraining    Refusal = "draining"    // The server is leaving.
	RefusedDeadline    Refusal = "deadline"    // The deadline passed before the run began.
	RefusedConnections Refusal = "connections" // Too many connections.
)

// Paths of the server's control interface.
const (
	PathGrant  = "/guavacrank/v1/grant"  // POST GrantOrder, answers GrantAnswer.
	PathHealth = "/guavacrank/v1/health" // GET HealthReport.
	PathLoad   = "/guavacrank/v1/load"   // GET LoadReport.
)

// UnitGrant names one ownership unit and the epoch at which it is granted.
type UnitGrant struct {
	Unit  uint32 `json:"unit"`
	Epoch uint64 `json:"epoch"`
}

// GrantOrder tells a server which units it may serve, until when. The server
// accepts it if (Term, PageVersion, Sequence) is not lower than the highest
// that it accepted, and Boot is its own boot identifier.
//
// ExpiresAt is a reading of the server's own clock: the grantor adds the time
// to live to a reading from an earlier answer. An order that waited in a
// frozen server's buffers is therefore expired when the server thaws.
type GrantOrder struct {
	Grantor     string `json:"grantor"`
	Term        uint64 `json:"term"`
	PageVersion uint64 `json:"page_version"`
	Sequence    uint64 `json:"sequence"`
	// Boot is the server's boot identifier; empty asks for Boot and Clock and grants nothing.
	Boot string `json:"boot"`
	// ExpiresAt is in milliseconds of the server's clock.
	ExpiresAt int64 `json:"expires_at_ms"`
	// Full says that Units is the whole set. Otherwise the set with Digest,
	// granted earlier, is renewed.
	Full   bool        `json:"full"`
	Digest uint64      `json:"digest"`
	Units  []UnitGrant `json:"units,omitempty"`
}

// GrantResult is the server's decision on an order.
type GrantResult string

// Decisions on an order.
const (
	GrantAccepted  GrantResult = "accepted"
	GrantHello     GrantResult = "hello"      // Boot was empty: only Boot, Clock and HighestTerm count.
	GrantStaleTerm GrantResult = "stale_term" // A higher term was accepted before.
	GrantStale     GrantResult = "stale"      // An older page version or sequence of the same term.
	GrantWrongBoot GrantResult = "wrong_boot" // The server restarted.
	GrantNeedFull  GrantResult = "need_full"  // Digest is not the set that the server holds.
	GrantExpired   GrantResult = "expired"    // ExpiresAt has passed.
)

// GrantAnswer is the server's answer to an order.
type GrantAnswer struct {
	Result GrantResult `json:"result"`
	Boot   string      `json:"boot"`
	// Clock is the server's clock in milliseconds, read while it answered. It
	// runs on while the process is frozen or the VM is suspended.
	Clock       int64  `json:"clock_ms"`
	HighestTerm uint64 `json:"highest_term"`
	// Finishing lists units that still have runs in flight which began at an
	// epoch that is not granted. A unit is stopped once the server accepted a
	// set without it and lists neither it nor a shard that its key was in.
	Finishing []uint32 `json:"finishing,omitempty"`
}

// HealthReport is the server's own word on its health. It lags and may mislead.
type HealthReport struct {
	Healthy  bool `json:"healthy"`
	Draining bool `json:"draining"`
}

// LoadReport is the server's own word on its load. It lags and may mislead.
type LoadReport struct {
	BusySlots   int `json:"busy_slots"`
	Queued      int `json:"queued"`
	Connections int `json:"connections"`
}

// GrantTimeToLive is the default life of a grant.
const GrantTimeToLive = 1400 * time.Millisecond
