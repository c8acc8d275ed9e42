package explore

import (
	"time"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/succession"
)

const (
	// reportDelay is how long after an election the daemons report to the new leader.
	reportDelay = 200 * time.Millisecond
	// keptShare is the part of the daemons, one in so many, that are not cut off with a leader.
	keptShare = 4
)

// fleet are the daemons that only report to leaders. They are alike, so that counts describe
// them. In a world without daemons there are no majorities: a leader without the store goes
// on for predecessorTimeout.
type fleet struct {
	// total is the number of daemons that the fleet record names. Beside them it names the
	// VMs that may lead.
	total int
	// present are those of them that reach the store, behind those that are cut off
	// together with the VM cutWith. The others were removed.
	present, behind int
	// added and addedBehind are daemons that are not recorded, on either side.
	added, addedBehind int
	cutWith            int
}

// newFleet returns a fleet whose daemons all reach the store.
func newFleet(daemons int) fleet { return fleet{total: daemons, present: daemons, cutWith: -1} }

// Sides of a cut, as the subjects of events.
const (
	withStore = iota
	behindLeader
)

// fleetFaults lists the faults of daemons.
func (w *world) fleetFaults(found []Event) []Event {
	f := &w.fleet
	if f.total == 0 {
		return found
	}
	if f.added == 0 {
		found = append(found, Event{addDaemons, withStore})
	}
	if f.present > 1 {
		found = append(found, Event{removeDaemons, withStore})
	}
	if f.cutWith < 0 {
		return found
	}
	if f.addedBehind == 0 {
		found = append(found, Event{addDaemons, behindLeader})
	}
	if f.behind > 1 {
		found = append(found, Event{removeDaemons, behindLeader})
	}
	return found
}

// applyToFleet adds as many daemons as there were at first, or removes half of those on a
// side.
func (w *world) applyToFleet(e Event) {
	w.note(e.String())
	f := &w.fleet
	switch {
	case e.action == addDaemons && e.subject == withStore:
		f.added = f.total
	case e.action == addDaemons:
		f.addedBehind = f.total
	case e.subject == withStore:
		f.present -= f.present / 2
	default:
		f.behind -= f.behind / 2
	}
}

// cutOffWithMost cuts a leader off together with most of the daemons.
func (w *world) cutOffWithMost(at int) {
	f := &w.fleet
	kept := f.present / keptShare
	f.cutWith, f.behind, f.present = at, f.present-kept, kept
	w.vms[at].cut = true
	w.isolate(at)
}

// rejoinFleet ends the cut of the daemons behind a VM.
func (w *world) rejoinFleet(at int) {
	f := &w.fleet
	if f.cutWith != at {
		return
	}
	f.present, f.added = f.present+f.behind, f.added+f.addedBehind
	f.behind, f.addedBehind, f.cutWith = 0, 0, -1
}

// reporters returns so many daemons that reported at a time.
func reporters(count int, r succession.Reporter) []succession.Reporter {
	all := make([]succession.Reporter, count)
	for at := range all {
		all[at] = r
	}
	return all
}

// hasMajority reports whether a leader without the store may go on.
func (w *world) hasMajority(at int) bool {
	v, f := &w.vms[at], &w.fleet
	if f.total == 0 || !v.cut {
		return true // In an outage of the store all daemons report to it.
	}
	recent := succession.Reporter{ReportedAt: w.now, Recorded: true, MayBeRecorded: true}
	silent := succession.Reporter{ReportedAt: v.lastContact, Recorded: true, MayBeRecorded: true}
	added := succession.Reporter{ReportedAt: w.now, StartedAt: w.now}
	heard, unrecorded := 0, 0
	if f.cutWith == at {
		heard, unrecorded = f.behind, f.addedBehind
	}
	daemons := reporters(heard, recent)
	daemons = append(daemons, reporters(f.total-heard+len(w.vms)-1, silent)...)
	daemons = append(daemons, reporters(unrecorded, added)...)
	return succession.HasMajority(w.now, v.lastContact+leaseTTL, daemons)
}

// outvotePredecessors has the elected leader take earlier ones for stopped once a majority of
// their daemons reports to it, and checks that they have.
func (w *world) outvotePredecessors() {
	v, f := &w.vms[w.elected], &w.fleet
	began := v.electedAt + reportDelay
	if f.total == 0 || w.electionAt != 0 || w.store.era != 1 || w.now < began || !v.reachable() || !v.machine.Leading() {
		return
	}
	reports := succession.Reporter{ReportedAt: w.now, LeftAt: began, Recorded: true}
	daemons := reporters(f.present, reports)
	for at := range w.vms {
		if w.vms[at].reachable() {
			daemons = append(daemons, reports)
		}
	}
	daemons = append(daemons, reporters(f.added, succession.Reporter{ReportedAt: w.now, LeftAt: began})...)
	election := succession.Election{At: v.electedAt, Fleet: f.total + len(w.vms), Recorded: true}
	left, _, majority := election.Left(daemons)
	if !majority {
		return
	}
	stopped := election.StoppedBy(w.now, left, leaseTTL, true)
	w.machine(w.elected).PredecessorsOutvoted(stopped + keys.MaxCallDelay)
	w.checkLeaders(stopped)
}

// checkLeaders reports a leader that is taken for stopped and renews on without the store.
func (w *world) checkLeaders(stopped time.Duration) {
	for at := range w.vms {
		v := &w.vms[at]
		if at != w.elected && v.cut && v.condition == running && v.machine.Leading() && w.now > stopped+quantum {
			w.violate(Leaders, "%s (election %d) takes %s (election %d) for stopped, which renews on", w.vms[w.elected].name, w.vms[w.elected].term, v.name, v.term)
			return
		}
	}
}

// encode adds the fleet to a fingerprint.
func (f *fleet) encode(e *keys.StateEncoder) {
	for _, count := range []int{f.total, f.present, f.behind, f.added, f.addedBehind, f.cutWith} {
		e.Int(count + 1)
	}
}
