// Package limit keeps the requests that all VMs together send to a backend server
// within a limit that the server names in its responses.
//
// Each VM counts the requests that it would send to such a server (its demand) and
// reports them to the leader with its observations of the limit. The leader's Allocator
// sets the share of the demand that all VMs may send, so that the sum stays within the
// limit wherever the demand arises. Each VM's Admission admits that share of its
// requests, without a message for each. Without a recent share a VM keeps to its equal
// part of the limit.
//
// A server that is cold has a limit too, which its service's configuration gives. The same
// Allocator shares it out; each VM's Cold admits its requests, more strictly: the server
// may crash in the first second.
//
// Package limit does no I/O and reads no clock: times are passed in, on the VM's own
// clock.
package limit

import "time"

const (
	// usableShare is the share of a limit that the VMs use together, so that they stay
	// within it although their reports lag behind.
	usableShare = 0.85
	// minRate is the least number of requests per second sent to a server, whatever its
	// limit: only a response shows that the limit has ended.
	minRate = 0.1
)

// Observation is what one VM knows of a server's limit, with its demand since the last
// report.
type Observation struct {
	// Server and Born identify the server's incarnation.
	Server string `json:"server"`
	Born   int64  `json:"born"`
	// Cold says that the limit is that of a cold server, not one that it names. A server
	// may have both; they are shared out separately.
	Cold bool `json:"cold,omitempty"`
	// Rate is the limit in requests per second, valid if Limited is set. A limit that
	// has ended is reported with Limited unset.
	Limited bool    `json:"limited,omitempty"`
	Rate    float64 `json:"rate,omitempty"`
	// AgeMS is the time since the limit, or its absence, was observed in a response.
	AgeMS int64 `json:"age_ms"`
	// Demand is the number of requests that the VM would have sent to the server since
	// the last report. Sent is the number that it sent.
	Demand int `json:"demand,omitempty"`
	Sent   int `json:"sent,omitempty"`
}

// Allotment is the leader's decision on one server, for every VM.
type Allotment struct {
	// Server and Born identify the server's incarnation.
	Server string `json:"server"`
	Born   int64  `json:"born"`
	Cold   bool   `json:"cold,omitempty"`
	// Limited, Rate and AgeMS are the newest observation of all VMs.
	Limited bool    `json:"limited,omitempty"`
	Rate    float64 `json:"rate,omitempty"`
	AgeMS   int64   `json:"age_ms"`
	// Share is the share of its demand that each VM may send, valid if Decided is set.
	Decided bool    `json:"decided,omitempty"`
	Share   float64 `json:"share,omitempty"`
}

// usableRate returns the requests per second that the VMs send to a server together.
func usableRate(limit float64) float64 { return max(usableShare*limit, minRate) }

// age converts a time in milliseconds.
func age(milliseconds int64) time.Duration { return time.Duration(milliseconds) * time.Millisecond }
