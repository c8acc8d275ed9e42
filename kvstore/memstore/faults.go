package memstore

import (
	"maps"
	"slices"
	"strings"
	"time"

	"guavacrank.example/kvstore"
)

// WatchFault is a way in which watches are broken.
type WatchFault string

// Ways in which watches are broken.
const (
	WatchWorks  WatchFault = ""
	WatchSilent WatchFault = "silent" // Watches return nothing until their wait has passed.
	WatchMisses WatchFault = "misses" // Changes made meanwhile are never seen by a watch, also later; only reads show them.
)

// LostCalls makes the next calls that change something lose a message.
type LostCalls struct {
	Count  int    `json:"count"`
	Prefix string `json:"prefix"` // Only keys under it; lease calls have the empty key.
}

// Faults is what is wrong with the service. The zero value is a healthy one.
type Faults struct {
	// Outage fails every call with KindUnavailable and OutcomeNotApplied.
	Outage bool `json:"outage"`
	// Delay is added before a call is decided, ReplyDelay after it took effect.
	// A caller that gives up during either gets OutcomeUnknown for a change.
	Delay      time.Duration `json:"delay_ns"`
	ReplyDelay time.Duration `json:"reply_delay_ns"`
	// LostRequests never take effect, LostReplies do; both give OutcomeUnknown.
	LostRequests LostCalls  `json:"lost_requests"`
	LostReplies  LostCalls  `json:"lost_replies"`
	Watch        WatchFault `json:"watch"`
	// VMListLag is the age of the list that VMs returns.
	VMListLag time.Duration `json:"vm_list_lag_ns"`
}

// Counts is the number of calls by kind.
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
	Throttled   uint64 `json:"throttled"` // Of all the above, refused for their rate.
	Refused     uint64 `json:"refused"`   // Of all the above, refused by an outage.
}

// Writes returns the number of calls that change something.
func (c Counts) Writes() uint64 {
	return c.Swaps + c.Deletes + c.LeaseGrants + c.KeepAlives + c.Revokes
}

// Reads returns the number of the other calls.
func (c Counts) Reads() uint64 { return c.Gets + c.Lists + c.Watches + c.VMLists }

// SetFaults replaces the faults. Waiting watches see them at once.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.wakeAll()
}

// Faults returns the present faults, with the lost calls that are left.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the number of calls since the start.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// LapseLease ends a lease at once, as if its holder had been paused for too
// long, and reports whether it existed.
func (s *Store) LapseLease(id kvstore.LeaseID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		return false
	}
	s.endLease(id)
	return true
}

// LapseKey ends the lease that holds a key, and reports whether there was one.
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

// LapseAll ends every lease at once.
func (s *Store) LapseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		s.endLease(id)
	}
}

// takeFault uses up one lost call if it applies to key.
func (s *Store) takeFault(lost *LostCalls, key string) bool {
	if lost.Count <= 0 || !strings.HasPrefix(key, lost.Prefix) {
		return false
	}
	lost.Count--
	return true
}
