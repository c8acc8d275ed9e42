package memstore

import (
	"maps"
	"slices"
	"strings"
	"time"

	"guavacrank.example/kvstore"
)

// WatchFault is a fault of watches.
type WatchFault string

// Faults of watches.
const (
	WatchWorks  WatchFault = ""
	WatchSilent WatchFault = "silent" // Watches wait until their limit and return nothing.
	WatchMisses WatchFault = "misses" // Watches never return changes made during the fault, not even later; only reads do.
)

// LostCalls makes the next Count writes lose their request or their reply.
type LostCalls struct {
	Count  int    `json:"count"`
	Prefix string `json:"prefix"` // Applies only to keys with this prefix; lease calls have the empty key.
}

// Faults configures fault injection. The zero value injects no faults.
type Faults struct {
	// Outage fails every call with KindUnavailable and OutcomeNotApplied.
	Outage bool `json:"outage"`
	// Delay is added before a call is processed, ReplyDelay after it took
	// effect. A write whose context ends during either fails with
	// OutcomeUnknown.
	Delay      time.Duration `json:"delay_ns"`
	ReplyDelay time.Duration `json:"reply_delay_ns"`
	// Writes in LostRequests take no effect, those in LostReplies do. Both fail
	// with OutcomeUnknown.
	LostRequests LostCalls  `json:"lost_requests"`
	LostReplies  LostCalls  `json:"lost_replies"`
	Watch        WatchFault `json:"watch"`
	// VMListLag is how far the list that VMs returns lags behind SetVMs.
	VMListLag time.Duration `json:"vm_list_lag_ns"`
}

// Counts holds the number of calls by method.
type Counts struct {
	Gets        uint64 `json:"gets"`
	Lists       uint64 `json:"lists"`
	Swaps       uint64 `json:"swaps"`
	Deletes     uint64 `json:"deletes"`
	Watches     uint64 `json:"watches"`
	LeaseGrants uint64 `json:"lease_grants"`
	KeepAlives  uint64 `json:"keep_alives"`
	Revokes     uint64 `json:"revokes"`
	VMLists     uint64 `json:"vm_lists"`
	Throttled   uint64 `json:"throttled"` // Calls of any method that exceeded the rate limit.
	Refused     uint64 `json:"refused"`   // Calls of any method that were rejected because of an outage.
}

// Writes returns the number of write calls.
func (c Counts) Writes() uint64 {
	return c.Swaps + c.Deletes + c.LeaseGrants + c.KeepAlives + c.Revokes
}

// Reads returns the number of read calls.
func (c Counts) Reads() uint64 { return c.Gets + c.Lists + c.Watches + c.VMLists }

// SetFaults replaces the injected faults. They affect waiting watches at once.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.wakeAll()
}

// Faults returns the current faults, with the number of lost calls remaining.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the number of calls since the store was created.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// LapseLease expires a lease at once, as if its holder had been paused for longer
// than the TTL, and reports whether the lease existed.
func (s *Store) LapseLease(id kvstore.LeaseID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		return false
	}
	s.endLease(id)
	return true
}

// LapseKey expires the lease that a key is attached to, and reports whether
// there was one.
func (s *Store) LapseKey(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.entries[key]
	if !ok || current.Lease == 0 {
		return false
	}
	s.endLease(current.Lease)
	return true
}

// LapseAll expires all leases at once.
func (s *Store) LapseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		s.endLease(id)
	}
}

// takeLostCall reports whether a call on key is to lose a message, and if so
// counts it down.
func (s *Store) takeLostCall(lost *LostCalls, key string) bool {
	if lost.Count <= 0 || !strings.HasPrefix(key, lost.Prefix) {
		return false
	}
	lost.Count--
	return true
}
