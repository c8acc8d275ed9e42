package demo

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// FaultKind is what a fault does.
type FaultKind string

// Kinds of faults.
const (
	FaultServer  FaultKind = "server"  // A backend server is lost.
	FaultVM      FaultKind = "vm"      // An entry VM is lost.
	FaultStore   FaultKind = "store"   // The platform's service is out.
	FaultSlow    FaultKind = "slow"    // The platform's service takes storeDelay longer.
	FaultReplies FaultKind = "replies" // The platform's service applies changes and loses the replies.
	FaultLapse   FaultKind = "lapse"   // Every lease at the platform's service lapses, once.
	FaultStop    FaultKind = "stop"    // An entry VM stops gracefully.
	FaultCutOff  FaultKind = "cutoff"  // An entry VM does not reach the platform's service.
	FaultDrain   FaultKind = "drain"   // An operator drains a backend server.
	FaultFreeze  FaultKind = "freeze"  // A backend server freezes and returns as if nothing had happened.
)

// storeDelay is the delay of a slow service.
const storeDelay = time.Second

// ending says whether a fault ends.
type ending uint8

const (
	mayEnd ending = iota
	mustEnd
	neverEnds
)

// faultKind is what the list may say of a kind.
type faultKind struct {
	kind   FaultKind
	ending ending
	named  bool // It may name a server or VM.
}

var faultKinds = []faultKind{
	{FaultServer, mayEnd, true},
	{FaultVM, mayEnd, true},
	{FaultStore, mustEnd, false},
	{FaultSlow, mustEnd, false},
	{FaultReplies, mustEnd, false},
	{FaultLapse, neverEnds, false},
	{FaultStop, mayEnd, true},
	{FaultCutOff, mustEnd, true},
	{FaultDrain, mayEnd, true},
	{FaultFreeze, mustEnd, true},
}

// Fault is one fault of a run.
type Fault struct {
	Kind FaultKind
	// Target names the server or VM; empty lets the demo choose.
	Target string
	// Start is when the fault begins, from the start of the load.
	Start time.Duration
	// End is when it ends; zero: not within the run. A lost server or VM
	// returns with an empty state.
	End time.Duration
}

// String returns the fault as the list names it.
func (f Fault) String() string {
	text := string(f.Kind)
	if f.Target != "" {
		text += ":" + f.Target
	}
	text += "@" + f.Start.String()
	if f.End != 0 {
		text += "-" + f.End.String()
	}
	return text
}

// FaultError is a fault of the list that can't be understood.
type FaultError struct {
	Item   string
	Reason string
}

// Error implements error.
func (e *FaultError) Error() string {
	return fmt.Sprintf("fault %q: %s (want KIND[:NAME]@START[-END], such as server@2s or freeze@3s-6s)", e.Item, e.Reason)
}

// ParseFaults reads a comma-separated list such as
// "server@2s,vm@4s,store@5s-8s,freeze:cat-3@3s-6s". Every fault must begin
// within the run's length, and those of the store and of a frozen server must
// end. The result is sorted by start.
func ParseFaults(list string, length time.Duration) ([]Fault, error) {
	if strings.TrimSpace(list) == "" {
		return nil, nil
	}
	var faults []Fault
	for item := range strings.SplitSeq(list, ",") {
		fault, err := parseFault(strings.TrimSpace(item), length)
		if err != nil {
			return nil, err
		}
		faults = append(faults, fault)
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Start, b.Start) })
	return faults, nil
}

func parseFault(item string, length time.Duration) (Fault, error) {
	what, when, ok := strings.Cut(item, "@")
	if !ok {
		return Fault{}, &FaultError{item, "no time after @"}
	}
	kind, target, hasName := strings.Cut(what, ":")
	fault := Fault{Kind: FaultKind(kind), Target: target}
	row := slices.IndexFunc(faultKinds, func(k faultKind) bool { return k.kind == fault.Kind })
	if row < 0 {
		return Fault{}, &FaultError{item, fmt.Sprintf("unknown kind %q: there are %s", kind, kindNames())}
	}
	allowed := faultKinds[row]
	if hasName && (target == "" || !allowed.named) {
		return Fault{}, &FaultError{item, "no name belongs after the colon"}
	}
	start, end, hasEnd := strings.Cut(when, "-")
	var err error
	if fault.Start, err = time.ParseDuration(start); err != nil || fault.Start < 0 {
		return Fault{}, &FaultError{item, fmt.Sprintf("%q is no time such as 2s", start)}
	}
	if hasEnd {
		if fault.End, err = time.ParseDuration(end); err != nil {
			return Fault{}, &FaultError{item, fmt.Sprintf("%q is no time such as 5s", end)}
		}
	}
	return fault, fault.check(item, allowed.ending, hasEnd, length)
}

// kindNames lists the kinds for an error.
func kindNames() string {
	var names []string
	for _, row := range faultKinds {
		names = append(names, string(row.kind))
	}
	return strings.Join(names, ", ")
}

func (f Fault) check(item string, ends ending, hasEnd bool, length time.Duration) error {
	switch {
	case ends == mustEnd && !hasEnd:
		return &FaultError{item, "a fault of this kind needs an end"}
	case ends == neverEnds && hasEnd:
		return &FaultError{item, "a fault of this kind has no end"}
	case hasEnd && f.End <= f.Start:
		return &FaultError{item, "it ends before it begins"}
	case f.Start >= length:
		return &FaultError{item, fmt.Sprintf("it begins after the run of %v", length)}
	default:
		return nil
	}
}
