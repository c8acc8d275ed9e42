package availability

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"guavacrank.example/gateway/model"
)

// MemoryTime is how long an incarnation is remembered after its release.
const MemoryTime = 2 * time.Minute

// never is a time that is not reached.
const never time.Duration = math.MaxInt64

// Reason is why requests are kept away from a server.
type Reason uint8

// Reasons.
const (
	ReasonLeaving Reason = iota
	ReasonBackoff
	reasonCount
)

// String returns the reason as named in the log.
func (r Reason) String() string {
	if r == ReasonLeaving {
		return "leaving"
	}
	return "backoff"
}

// Table holds what the servers have said. Only the methods of its counters and of the
// drain time are safe for concurrent use; the servers in it are.
type Table struct {
	drainTime atomic.Int64
	keptAway  [reasonCount]atomic.Int64
	changed   atomic.Bool // Some server has said something since the last TakeNews.

	entries map[model.Incarnation]*entry
	// nextAt is when the time alone brings the next news.
	nextAt time.Duration
	// leaving and backingOff count the servers as of the last TakeNews.
	leaving, backingOff atomic.Int64
}

// entry is a server with the news that were taken of it.
type entry struct {
	server       *Server
	released     bool
	releasedAt   time.Duration // Valid if released.
	leaving      bool
	backingOff   bool
	backoffUntil time.Duration
	invalid      bool
}

// NewTable returns a table without servers. Requests that arrived within drainTime of a
// server's first word that it is leaving may still be sent to it.
func NewTable(drainTime time.Duration) *Table {
	t := &Table{entries: make(map[model.Incarnation]*entry), nextAt: never}
	t.SetDrainTime(drainTime)
	return t
}

// SetDrainTime changes the drain time.
func (t *Table) SetDrainTime(drainTime time.Duration) { t.drainTime.Store(int64(drainTime)) }

// DrainTime returns the drain time.
func (t *Table) DrainTime() time.Duration { return time.Duration(t.drainTime.Load()) }

// CountKeptAway counts a request that was kept away from a server.
func (t *Table) CountKeptAway(reason Reason) { t.keptAway[reason].Add(1) }

// Counts are the counters of a table.
type Counts struct {
	// Leaving and BackingOff are the numbers of such servers.
	Leaving    int64 `json:"leaving"`
	BackingOff int64 `json:"backing_off"`
	// KeptFromLeaving and KeptFromBackoff count the requests that were kept away from
	// such servers.
	KeptFromLeaving int64 `json:"kept_from_leaving"`
	KeptFromBackoff int64 `json:"kept_from_backoff"`
}

// Counts returns the counters.
func (t *Table) Counts() Counts {
	return Counts{
		Leaving:         t.leaving.Load(),
		BackingOff:      t.backingOff.Load(),
		KeptFromLeaving: t.keptAway[ReasonLeaving].Load(),
		KeptFromBackoff: t.keptAway[ReasonBackoff].Load(),
	}
}

// Server returns the incarnation's server, adding it if it is not remembered.
func (t *Table) Server(incarnation model.Incarnation) *Server {
	e := t.entries[incarnation]
	if e == nil {
		e = &entry{server: &Server{table: t}}
		t.entries[incarnation] = e
	}
	e.released = false
	return e.server
}

// Release records that the incarnation is not in use any more. What it said is remembered
// for MemoryTime and its backoff, since it may be listed again.
func (t *Table) Release(now time.Duration, incarnation model.Incarnation) {
	if e := t.entries[incarnation]; e != nil {
		e.released, e.releasedAt = true, now
		t.nextAt = min(t.nextAt, e.forgetAt())
	}
}

// forgetAt returns when a released server is forgotten.
func (e *entry) forgetAt() time.Duration {
	return max(e.releasedAt+MemoryTime, e.server.BackoffEnd())
}

// Leaving returns the incarnations that are known to be leaving, as of the last TakeNews.
func (t *Table) Leaving() []model.Incarnation {
	if t.leaving.Load() == 0 {
		return nil
	}
	var leaving []model.Incarnation
	for incarnation, e := range t.entries {
		if e.leaving {
			leaving = append(leaving, incarnation)
		}
	}
	slices.SortFunc(leaving, compare)
	return leaving
}

func compare(x, y model.Incarnation) int {
	return cmp.Or(cmp.Compare(x.ID, y.ID), cmp.Compare(x.Born, y.Born))
}
