package succession

import (
	"slices"
	"time"

	"guavacrank.example/kvstore"
)

const (
	// recordDelay is how long a daemon has reported before it is recorded, so that daemons
	// that are added together need one write.
	recordDelay = time.Second
	// recordInterval is the least time between two writes, and checkInterval between two
	// looks at whether one is needed, or two reads.
	recordInterval = 2 * time.Second
	checkInterval  = 200 * time.Millisecond
	// maxUnconfirmed limits the writes that may still be executed.
	maxUnconfirmed = 4
	// maxAbsentShare is the share of recorded daemons that may be gone before the record is
	// written anew.
	maxAbsentShare = 0.2
)

// Fleet is what a leader knows of the fleet record in the store, which names the daemons that
// may count in a majority. A leader without the store counts no daemon that it has not
// recorded, and its successor, which reads the record, counts no other as having left it: so
// both count over one set, whatever joins on either side of a cut.
//
// Only a leader whose predecessors have all ended changes the record. Until then they count
// by the one that it has read.
//
// Ready returns the calls to make, whose results StepRead and StepWritten take.
type Fleet struct {
	recorded []string // Sorted.
	version  kvstore.Version
	era      kvstore.Era // In which it was written.
	known    bool        // It was read in this term.
	outdated bool        // It has to be read again.
	calling  bool
	nextCall time.Duration
	// unconfirmed are the daemons named by writes that may still be executed.
	unconfirmed [][]string
}

// RecordWrite is a write of the fleet record.
type RecordWrite struct {
	Expected kvstore.Version
	Daemons  []string // Addresses, sorted.
}

// Begin begins a term: the record has to be read.
func (f *Fleet) Begin() { *f = Fleet{} }

// Known reports whether the record was read in this term.
func (f *Fleet) Known() bool { return f.known }

// Era returns the era of the store in which the record was written.
func (f *Fleet) Era() kvstore.Era { return f.era }

// Size returns the number of recorded daemons, zero if there is no record.
func (f *Fleet) Size() int { return len(f.recorded) }

// Has reports whether a daemon is recorded, also if writes without a response are executed.
// Where it was read that there is no record, all are: a later leader finds none either.
func (f *Fleet) Has(address string) bool {
	if !f.known || len(f.recorded) > 0 && !contains(f.recorded, address) {
		return false
	}
	for _, daemons := range f.unconfirmed {
		if !contains(daemons, address) {
			return false
		}
	}
	return true
}

// MayHave reports whether a daemon is recorded, or would be if a write without a response is
// executed. Without a record any daemon may be.
func (f *Fleet) MayHave(address string) bool {
	if len(f.recorded) == 0 || contains(f.recorded, address) {
		return true
	}
	return slices.ContainsFunc(f.unconfirmed, func(daemons []string) bool { return contains(daemons, address) })
}

// contains reports whether sorted addresses contain one.
func contains(addresses []string, address string) bool {
	_, found := slices.BinarySearch(addresses, address)
	return found
}

// Ready returns the call to make now: a read, a write, or none. mayWrite says that all
// predecessors have ended and the store answers this leader, and members are those that
// report to it.
func (f *Fleet) Ready(now time.Duration, mayWrite bool, members func() []Reporter) (read bool, write *RecordWrite) {
	if f.calling || now < f.nextCall {
		return false, nil
	}
	f.nextCall = now + checkInterval
	if !f.known || f.outdated {
		f.calling = true
		return true, nil
	}
	if !mayWrite || len(f.unconfirmed) >= maxUnconfirmed {
		return false, nil
	}
	present := members()
	if !f.lacks(now, present) {
		return false, nil
	}
	return false, f.write(present)
}

// write returns the write that names the members.
func (f *Fleet) write(members []Reporter) *RecordWrite {
	write := &RecordWrite{Expected: f.version}
	for _, member := range members {
		write.Daemons = append(write.Daemons, member.Address)
	}
	slices.Sort(write.Daemons)
	f.calling = true
	f.unconfirmed = append(f.unconfirmed, write.Daemons)
	return write
}

// lacks reports whether daemons are missing in the record, or many recorded ones are gone.
func (f *Fleet) lacks(now time.Duration, members []Reporter) bool {
	present := 0
	for _, member := range members {
		if contains(f.recorded, member.Address) {
			present++
		} else if now-member.JoinedAt >= recordDelay {
			return true
		}
	}
	return float64(present) < (1-maxAbsentShare)*float64(len(f.recorded))
}

// StepRead takes the record as read: no daemons and version zero if there is none. Once the
// version has changed, no earlier write is executed any more.
func (f *Fleet) StepRead(daemons []string, version kvstore.Version, era kvstore.Era) {
	if version != f.version {
		f.unconfirmed = nil
	}
	f.calling, f.known, f.outdated = false, true, false
	f.recorded, f.version, f.era = daemons, version, era
}

// StepWritten takes the confirmation of a write.
func (f *Fleet) StepWritten(now time.Duration, daemons []string, version kvstore.Version, era kvstore.Era) {
	f.StepRead(daemons, version, era)
	f.nextCall = now + recordInterval
}

// StepFailed takes the failure of a call. The record has to be read again. Until then daemons
// count that it named before and every write without a response names.
func (f *Fleet) StepFailed() { f.calling, f.outdated = false, true }
