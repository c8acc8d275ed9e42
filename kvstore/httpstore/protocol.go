// Package httpstore serves a kvstore.Store as JSON over HTTP and provides the
// client. Every call is a POST. The response has status 200, or an error status
// with a failure as its body.
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

// Paths of the fault injection interface of a memstore.Store.
const (
	PathFaults = "/standin/v1/store/faults" // GET, PUT memstore.Faults.
	PathCounts = "/standin/v1/store/counts" // GET memstore.Counts.
	PathVMs    = "/standin/v1/store/vms"    // PUT []kvstore.VM.
	PathLapse  = "/standin/v1/store/lapse"  // POST LapseRequest.
)

const (
	// maxRequestBytes has room for a value of the largest size in base64 and the
	// JSON around it.
	maxRequestBytes = 2 * kvstore.MaxValueBytes
	// maxResponseBytes limits the size of a response, which is largest for a list
	// or a watch.
	maxResponseBytes = 256 << 20
	// maxWatchWait limits how long a watch waits.
	maxWatchWait = 5 * time.Minute
	// maxLeaseTTL limits the TTL of a lease.
	maxLeaseTTL = 24 * time.Hour
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

type entryResponse struct {
	Entry kvstore.Entry `json:"entry"`
}

type entriesResponse struct {
	Entries []kvstore.Entry `json:"entries"`
}

type versionResponse struct {
	Version kvstore.Version `json:"version"`
}

type leaseResponse struct {
	Lease kvstore.LeaseID `json:"lease"`
}

type vmsResponse struct {
	VMs []kvstore.VM `json:"vms"`
}

type emptyResponse struct{}

// failure is the body of an error response. It means that the call changed
// nothing: a write whose outcome is unknown gets no response.
type failure struct {
	Failure string          `json:"failure"` // The name of a kvstore.Kind.
	Current kvstore.Version `json:"current"`
	Reason  string          `json:"reason"`
}

// LapseRequest selects the lease to expire: the lease that Key is attached to,
// or Lease if Key is empty.
type LapseRequest struct {
	Lease kvstore.LeaseID `json:"lease"`
	Key   string          `json:"key"`
}
