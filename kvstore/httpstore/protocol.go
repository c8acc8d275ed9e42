// Package httpstore serves a kvstore.Store over HTTP with JSON, and is the
// client of that protocol. Every call is a POST; its answer has status 200, or
// another one with a failure.
package httpstore

import (
	"time"

	"guavacrank.example/kvstore"
)

// Paths of the calls.
const (
	pathGet            = "/store/v1/get"
	pathList           = "/store/v1/list"
	pathCompareAndSwap = "/store/v1/compare-and-swap"
	pathDelete         = "/store/v1/delete"
	pathWatch          = "/store/v1/watch"
	pathGrantLease     = "/store/v1/grant-lease"
	pathKeepAlive      = "/store/v1/keep-alive"
	pathRevoke         = "/store/v1/revoke"
	pathVMs            = "/store/v1/vms"
)

// Paths of the fault interface of a memstore.Store.
const (
	PathFaults = "/standin/v1/store/faults" // GET, PUT memstore.Faults.
	PathCounts = "/standin/v1/store/counts" // GET memstore.Counts.
	PathVMs    = "/standin/v1/store/vms"    // PUT []kvstore.VM.
	PathLapse  = "/standin/v1/store/lapse"  // POST LapseRequest.
)

const (
	// maxRequestBytes holds one value of the largest size in base64, with its frame.
	maxRequestBytes = 2 * kvstore.MaxValueBytes
	// maxAnswerBytes limits the answer of a list or a watch.
	maxAnswerBytes = 256 << 20
	// maxWatchWait limits how long a watch waits.
	maxWatchWait = 5 * time.Minute
	// maxTimeToLive limits the life of a lease.
	maxTimeToLive = 24 * time.Hour
)

type keyRequest struct {
	Key string `json:"key"`
}

type prefixRequest struct {
	Prefix string `json:"prefix"`
}

type swapRequest struct {
	Key      string          `json:"key"`
	Expected kvstore.Version `json:"expected"`
	Value    []byte          `json:"value"`
	Lease    kvstore.LeaseID `json:"lease,omitempty"`
}

type deleteRequest struct {
	Key      string          `json:"key"`
	Expected kvstore.Version `json:"expected"`
}

type watchRequest struct {
	Prefix string          `json:"prefix"`
	After  kvstore.Version `json:"after"`
	WaitMS int64           `json:"wait_ms"`
}

type leaseRequest struct {
	Lease kvstore.LeaseID `json:"lease"`
}

type grantLeaseRequest struct {
	TTLMS int64 `json:"ttl_ms"`
}

type emptyRequest struct{}

type entryAnswer struct {
	Entry kvstore.Entry `json:"entry"`
}

type entriesAnswer struct {
	Entries []kvstore.Entry `json:"entries"`
}

type versionAnswer struct {
	Version kvstore.Version `json:"version"`
}

type leaseAnswer struct {
	Lease kvstore.LeaseID `json:"lease"`
}

type vmsAnswer struct {
	VMs []kvstore.VM `json:"vms"`
}

type emptyAnswer struct{}

// failure is the body of an answer that reports an error. It proves that nothing
// changed: a change whose outcome is unknown gets no answer.
type failure struct {
	Failure string          `json:"failure"` // The name of a kvstore.Kind.
	Current kvstore.Version `json:"current"`
	Reason  string          `json:"reason"`
}

// LapseRequest names what lapses: a lease, or the lease that holds a key.
type LapseRequest struct {
	Lease kvstore.LeaseID `json:"lease"`
	Key   string          `json:"key"`
}
