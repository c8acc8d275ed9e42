package limit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// demandTime is the time over which demand is averaged.
	demandTime = 2 * time.Second
	// validityMargin is how much longer than two report intervals a share is valid.
	validityMargin = time.Second
	// maxSavings is how much of an unused limit may be used later, maxDebt how much of
	// it an excess may use up in advance.
	maxSavings = time.Second
	maxDebt    = 4 * time.Second
	// minDecisionTime is the time after the first observation of a limit before a share
	// is decided: reports with the demand have to arrive first. It is at least as long
	// as settleReports report intervals.
	minDecisionTime = 500 * time.Millisecond
	settleReports   = 1.5
)

// Allocator decides, on the leader, which share of the demand for each limited server
// all VMs send. It is not safe for concurrent use.
type Allocator struct {
	servers map[serverKey]*allocation
}

type serverKey struct {
	server string
	born   int64
	cold   bool
}

// allocation is the state of one server.
type allocation struct {
	cold       bool
	limited    bool
	rate       float64
	observedAt time.Duration
	since      time.Duration // Start of the current limit.
	updatedAt  time.Duration
	demand     float64 // Exponentially decayed count of requests.
	balance    float64 // Requests that may be sent beyond the limit's rate; negative after an excess.
}

// NewAllocator returns an allocator without servers.
func NewAllocator() *Allocator { return &Allocator{servers: make(map[serverKey]*allocation)} }

// Validity returns how long a VM may use a share, at the time between two reports of a
// VM. The share is decided for that time, as a VM without a leader uses it to the end.
func Validity(interval time.Duration) time.Duration { return 2*interval + validityMargin }

// Step processes one VM's observation of a server.
func (a *Allocator) Step(now time.Duration, o Observation) {
	key := serverKey{o.Server, o.Born, o.Cold}
	s := a.servers[key]
	if s == nil {
		s = &allocation{cold: o.Cold, observedAt: math.MinInt64, since: now, updatedAt: now}
		a.servers[key] = s
	}
	s.advance(now)
	if observedAt := now - age(o.AgeMS); observedAt >= s.observedAt {
		if o.Limited && !s.limited {
			s.since, s.demand, s.balance = now, 0, 0
		}
		s.limited, s.rate, s.observedAt = o.Limited, o.Rate, observedAt
	}
	s.demand += float64(o.Demand)
	s.balance = max(s.balance-float64(o.Sent), -usableRate(s.rate)*maxDebt.Seconds())
}

// Limit returns the newest limit that a server named, and whether it has one.
func (a *Allocator) Limit(server string, born int64) (requestsPerSecond float64, limited bool) {
	s := a.servers[serverKey{server, born, false}]
	if s == nil {
		return 0, false
	}
	return s.rate, s.limited
}

// advance accounts for the time since the last update.
func (s *allocation) advance(now time.Duration) {
	elapsed := (now - s.updatedAt).Seconds()
	s.updatedAt = now
	s.demand *= math.Exp(-elapsed / demandTime.Seconds())
	if !s.limited {
		return
	}
	rate := usableRate(s.rate)
	s.balance = min(s.balance+rate*elapsed, rate*maxSavings.Seconds())
}

// Allotments returns the decisions for all servers that are limited, or whose limit
// ended recently, sorted by server. interval is the time between two reports of a VM.
func (a *Allocator) Allotments(now, interval time.Duration) []Allotment {
	maps.DeleteFunc(a.servers, func(_ serverKey, s *allocation) bool {
		return now-s.observedAt > endedMemory && (!s.limited || now-s.updatedAt > endedMemory)
	})
	allotments := make([]Allotment, 0, len(a.servers))
	for key, s := range a.servers {
		s.advance(now)
		allotment := Allotment{Server: key.server, Born: key.born, Cold: key.cold, Limited: s.limited, Rate: s.rate, AgeMS: (now - s.observedAt).Milliseconds()}
		settled := max(minDecisionTime, time.Duration(settleReports*float64(interval)))
		if s.limited && now-s.since >= settled {
			allotment.Decided, allotment.Share = true, s.share(now, Validity(interval))
		}
		allotments = append(allotments, allotment)
	}
	slices.SortFunc(allotments, func(x, y Allotment) int {
		return cmp.Or(cmp.Compare(x.Server, y.Server), cmp.Compare(x.Born, y.Born), order(x.Cold)-order(y.Cold))
	})
	return allotments
}

// share returns the share of the demand with which the balance is used up at the end of
// the share's validity.
func (s *allocation) share(now, validity time.Duration) float64 {
	allowed := s.balance + usableRate(s.rate)*validity.Seconds()
	expected := s.demandRate(now) * validity.Seconds()
	if s.cold {
		expected = max(expected, coldSurgeFactor*usableRate(s.rate)*validity.Seconds())
	}
	if allowed <= 0 {
		return 0
	}
	if expected <= allowed {
		return 1
	}
	return allowed / expected
}

// demandRate returns the average demand in requests per second. Shortly after the start
// of a limit the average covers less than demandTime.
func (s *allocation) demandRate(now time.Duration) float64 {
	covered := 1 - math.Exp(-(now-s.since).Seconds()/demandTime.Seconds())
	return s.demand / demandTime.Seconds() / max(covered, 0.1)
}

// order sorts the limits that servers name before those of cold servers.
func order(cold bool) int {
	if cold {
		return 1
	}
	return 0
}
