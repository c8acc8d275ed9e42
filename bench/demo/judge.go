package demo

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"guavacrank.example/backend/standin"
	"guavacrank.example/control/ownership"
	"guavacrank.example/traffic/verdict"
)

// Sent is one request as its caller saw it.
type Sent struct {
	// ID is unique for each request sent; Order is shared by a caller's repeats
	// of one non-idempotent request.
	ID, Order  string
	Service    string
	Class      string
	Key        string
	Idempotent bool
	VM         string
	Start, End time.Duration // On the clock of the stand-ins.
	Verdict    verdict.Verdict
	Code       string
	// Wrong says that an answer was not the one to this request.
	Wrong string
	// Probe marks a request that only measures whether a key is served.
	Probe bool
}

// judgement is what the records show.
type judgement struct {
	doubled   []string // Orders.
	misrouted []string // Requests, each with the reason.
	ranAnyway []string // Requests whose caller was told "not run".
	wrong     []string
}

// judge compares what callers saw with the stand-ins' records.
func judge(sent []Sent, runs []standin.Run, pages *history, divided map[string]bool, now time.Duration) judgement {
	var found judgement
	byCaller := make(map[string]int)
	for _, run := range runs {
		byCaller[run.CallerID]++
	}
	ranOfOrder := make(map[string]int)
	for _, request := range sent {
		ran := byCaller[request.ID]
		if !request.Idempotent {
			ranOfOrder[request.Order] += ran
		}
		if request.Verdict == verdict.NotRun && ran > 0 {
			found.ranAnyway = append(found.ranAnyway, request.ID+" told "+request.Code)
		}
		if request.Wrong != "" {
			found.wrong = append(found.wrong, request.ID+": "+request.Wrong)
		}
	}
	for order, ran := range ranOfOrder {
		if ran > 1 {
			found.doubled = append(found.doubled, order)
		}
	}
	slices.Sort(found.doubled)
	found.misrouted = misrouted(runs, pages, divided, now)
	return found
}

// misrouted returns the runs at a server that did not own the key.
func misrouted(runs []standin.Run, pages *history, divided map[string]bool, now time.Duration) []string {
	var found []string
	var owned []standin.Run
	for _, run := range runs {
		if !divided[run.Service] {
			continue
		}
		if reason := notOwner(run, pages); reason != "" {
			found = append(found, run.CallerID+" at "+run.Server+": "+reason)
			continue
		}
		owned = append(owned, run)
	}
	reported := make(map[string]bool) // Each run counts once.
	report := func(run standin.Run, reason string) {
		if !reported[run.CallerID] {
			reported[run.CallerID] = true
			found = append(found, run.CallerID+" at "+run.Server+": "+reason+howEnded(run))
		}
	}
	for _, late := range superseded(owned, now) {
		report(late, "ran after a later owner of the unit had begun")
	}
	for _, overlap := range standin.Overlaps(owned, now) {
		late, other := overlap.Second, overlap.First
		if other.Unit == late.Unit && other.Epoch < late.Epoch {
			late, other = other, late
		}
		report(late, "the key ran at "+other.Server+" at the same time")
	}
	return found
}

// howEnded says how a run was cut off, if it was.
func howEnded(run standin.Run) string {
	if run.Cancelled == "" {
		return ""
	}
	return fmt.Sprintf(" (cut off after %v: %s)", run.End-run.Start, run.Cancelled)
}

// notOwner returns why the run's server did not own the key, or nothing.
func notOwner(run standin.Run, pages *history) string {
	unit := ownership.UnitID(run.Unit)
	if !run.HasUnit {
		return "no unit"
	}
	if !pages.belongs(run.Service, run.Key, unit) {
		return "the key is not of the unit"
	}
	owner := pages.owner(ownedUnit{run.Service, unit, ownership.Epoch(run.Epoch)})
	if owner != run.Server {
		return "the unit's owner at that epoch was " + owner
	}
	return ""
}

// superseded returns the runs that had not ended when a run of the same unit
// at a higher epoch began at another server.
func superseded(runs []standin.Run, now time.Duration) []standin.Run {
	type unitOfService struct {
		service string
		unit    uint32
	}
	byUnit := make(map[unitOfService][]standin.Run)
	for _, run := range runs {
		unit := unitOfService{run.Service, run.Unit}
		byUnit[unit] = append(byUnit[unit], run)
	}
	var late []standin.Run
	for _, same := range byUnit {
		late = append(late, supersededOfUnit(same, now)...)
	}
	slices.SortFunc(late, func(a, b standin.Run) int { return cmp.Compare(a.Start, b.Start) })
	return late
}

func supersededOfUnit(runs []standin.Run, now time.Duration) []standin.Run {
	slices.SortFunc(runs, func(a, b standin.Run) int {
		return cmp.Or(-cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Start, b.Start))
	})
	type begun struct {
		server string
		at     time.Duration
	}
	var later []begun // The first run of each later epoch.
	var late []standin.Run
	for i, run := range runs {
		end := run.End
		if end == 0 {
			end = now
		}
		if slices.ContainsFunc(later, func(b begun) bool { return b.server != run.Server && end > b.at }) {
			late = append(late, run)
		}
		if i+1 < len(runs) && runs[i+1].Epoch != run.Epoch {
			first := slices.IndexFunc(runs, func(r standin.Run) bool { return r.Epoch == run.Epoch })
			later = append(later, begun{run.Server, runs[first].Start})
		}
	}
	return late
}
