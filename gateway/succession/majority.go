package succession

import (
	"slices"
	"time"
)

const (
	// MajorityWindow is the time within which more than half of the daemons must
	// have reported to a leader without contact to the store. Only then can no
	// later leader have a majority.
	MajorityWindow = 1500 * time.Millisecond
	// MemberTimeout is how long after its last report a daemon counts as a member of the
	// fleet, which is the basis of majorities.
	MemberTimeout = 15 * time.Second
)

// Reporter is a daemon that reports to a leader, by the leader's clock.
type Reporter struct {
	ReportedAt time.Duration
	// Transit is how long the newest report may have been on its way.
	Transit   time.Duration
	StartedAt time.Duration // Of its process.
	LeftAt    time.Duration // From then on it has not reported to an earlier leader.
	JoinedAt  time.Duration // When this leader heard of it first.
	Address   string
	// Recorded says that the fleet record names it, MayBeRecorded that it may (Fleet).
	Recorded, MayBeRecorded bool
}

// HasMajority says whether more than half of the daemons, including the leader's own, have
// sent a report within MajorityWindow. Daemons that are not recorded are none of them: a later
// leader does not count them either. A process that started after the end of the lease does
// not add to the majority: the one before it may have reported to a later leader.
func HasMajority(now, leaseEnd time.Duration, others []Reporter) bool {
	recent, all := 1, 1
	for _, r := range others {
		if now-r.ReportedAt > MemberTimeout || !r.MayBeRecorded {
			continue
		}
		all++
		if now-r.ReportedAt+r.Transit <= MajorityWindow && r.StartedAt <= leaseEnd && r.Recorded {
			recent++
		}
	}
	return 2*recent > all
}

// Election is what a leader knows of its own election.
type Election struct {
	At time.Duration
	// LostLeasesEnd is when all leases that were lost with a restoration of the store would
	// have ended.
	LostLeasesEnd time.Duration
	// Fleet is the number of daemons that earlier leaders may count: those that are
	// recorded, or were known if Recorded is not set. Zero means unknown.
	Fleet int
	// Recorded says that only recorded daemons count.
	Recorded bool
}

// Left returns when more than two thirds of the daemons that earlier leaders may count, the
// winner of the election included, had left them, and how many reports count; false if these
// are too few. Only reports that were sent after the end of lost leases count: until then a
// daemon may restart and be counted by a leader of an earlier era (HasMajority).
func (e Election) Left(daemons []Reporter) (at time.Duration, reported int, majority bool) {
	var left []time.Duration
	for _, r := range daemons {
		if r.ReportedAt >= e.At && r.ReportedAt-r.Transit >= e.LostLeasesEnd && (r.Recorded || !e.Recorded) {
			left = append(left, r.LeftAt)
		}
	}
	needed := 2*e.Fleet/3 + 1
	if e.Fleet == 0 || len(left) < needed {
		return 0, len(left), false
	}
	slices.Sort(left)
	return left[needed-1], len(left), true
}

// StoppedBy returns by when earlier leaders stop that a majority left at the given time: once
// MajorityWindow has passed and, as they were in contact with the store before the election,
// contactTimeout from it. If a later leader may have been elected meanwhile, the majority
// counts from now.
func (e Election) StoppedBy(now, left, contactTimeout time.Duration, leadsLast bool) time.Duration {
	if !leadsLast {
		return now + MajorityWindow
	}
	return max(left+MajorityWindow, e.At+contactTimeout)
}
