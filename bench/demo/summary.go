package demo

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"guavacrank.example/backend/standin"
	"guavacrank.example/traffic/verdict"
)

// maxDetails limits the broken promises that are listed one by one.
const maxDetails = 20

// Summary is the outcome of a run, by the stand-ins' own records.
type Summary struct {
	Requests   int `json:"requests"`
	Answered   int `json:"answered"`
	NotRun     int `json:"not_run"`
	MayHaveRun int `json:"may_have_run"`
	// Doubled counts non-idempotent requests that ran more than once.
	Doubled int `json:"doubled"`
	// Misrouted counts runs at a server that did not own the key.
	Misrouted int `json:"misrouted"`
	// RanButReportedNotRun counts requests that ran although the caller was
	// told "not run".
	RanButReportedNotRun int `json:"ran_but_reported_not_run"`
	// WrongAnswer counts answers that were not the whole answer to the request.
	WrongAnswer int `json:"wrong_answer"`
	// WorkAtLeavingServer counts runs that began at a server more than leaveTime
	// after an operator had drained it.
	WorkAtLeavingServer int `json:"work_at_leaving_server"`
	// Unavailable is the longest time that any key was not answered, by fault,
	// in milliseconds.
	Unavailable map[string]int64 `json:"unavailable_ms"`
	// Imbalance is the busiest server's runs over the mean, of the worst service
	// divided by key, without the servers that a fault hit.
	Imbalance float64 `json:"imbalance"`
	// Moves counts the units that changed their owner.
	Moves int `json:"moves"`
	// Codes counts the requests by the router's explanation.
	Codes map[string]int `json:"codes"`
	// Details names the first of the broken promises.
	Details []string `json:"details,omitempty"`
}

// Broken returns the promises that were broken, in words.
func (s Summary) Broken() []string {
	var broken []string
	add := func(count int, text string) {
		if count > 0 {
			broken = append(broken, fmt.Sprintf("%d %s", count, text))
		}
	}
	add(s.Doubled, "non-idempotent requests ran more than once")
	add(s.Misrouted, "runs at a server that did not own the key")
	add(s.RanButReportedNotRun, "requests ran although the caller was told \"not run\"")
	add(s.WorkAtLeavingServer, "runs began at a server that had been leaving for more than 3 s")
	add(s.WrongAnswer, "answers were not the whole answer to the request")
	return broken
}

// broken returns ErrBroken if a promise was broken.
func (s Summary) broken() error {
	if len(s.Broken()) > 0 {
		return ErrBroken
	}
	return nil
}

// summarise counts what callers saw.
func summarise(sent []Sent, found judgement) Summary {
	summary := Summary{
		Doubled:              len(found.doubled),
		Misrouted:            len(found.misrouted),
		RanButReportedNotRun: len(found.ranAnyway),
		WrongAnswer:          len(found.wrong),
		Unavailable:          make(map[string]int64),
		Codes:                make(map[string]int),
	}
	for _, request := range sent {
		summary.Requests++
		summary.Codes[request.Code]++
		switch request.Verdict {
		case verdict.Answered:
			summary.Answered++
		case verdict.NotRun:
			summary.NotRun++
		default:
			summary.MayHaveRun++
		}
	}
	details := func(kind string, ids []string) {
		for _, id := range ids {
			if len(summary.Details) < maxDetails {
				summary.Details = append(summary.Details, kind+": "+id)
			}
		}
	}
	details("doubled", found.doubled)
	details("misrouted", found.misrouted)
	details("ran but reported not run", found.ranAnyway)
	details("wrong answer", found.wrong)
	return summary
}

// Print writes the summary as a table of names and values.
func (s Summary) Print(w io.Writer) {
	row := func(name string, value any) { fmt.Fprintf(w, "%-52s %v\n", name, value) }
	row("requests", s.Requests)
	row("  answered", s.Answered)
	row("  not run", s.NotRun)
	row("  may have run", s.MayHaveRun)
	row("non-idempotent requests that ran twice", s.Doubled)
	row("runs at a server that did not own the key", s.Misrouted)
	row("requests that ran, caller told \"not run\"", s.RanButReportedNotRun)
	row("answers to the wrong caller, or cut short", s.WrongAnswer)
	row("runs begun at a server leaving for more than 3 s", s.WorkAtLeavingServer)
	for _, fault := range sortedKeys(s.Unavailable) {
		row("longest time a key was unavailable, "+fault, fmt.Sprintf("%d ms", s.Unavailable[fault]))
	}
	row("imbalance (busiest server over the mean)", fmt.Sprintf("%.2f", s.Imbalance))
	row("moves of ownership", s.Moves)
	for _, code := range sortedKeys(s.Codes) {
		row("  code "+code, s.Codes[code])
	}
	for _, detail := range s.Details {
		fmt.Fprintln(w, "! "+detail)
	}
	if broken := s.Broken(); len(broken) > 0 {
		fmt.Fprintln(w, "broken: "+strings.Join(broken, "; "))
		return
	}
	fmt.Fprintln(w, "every promise was kept")
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// span is a time in which a key was asked for and not answered.
type span struct{ start, end time.Duration }

// outages returns the spans of one key: from asking to the end of the first
// answer to a request that began since. Requests must be sorted by start.
func outages(requests []Sent, end time.Duration) []span {
	var spans []span
	for i, request := range requests {
		answered := end
		for _, later := range requests[i:] {
			if later.Start >= answered {
				break
			}
			if later.Verdict == verdict.Answered {
				answered = min(answered, later.End)
			}
		}
		spans = append(spans, span{request.Start, answered})
	}
	return spans
}

// unavailable returns the longest outage of any key for each fault. An outage
// counts for a fault if it overlaps the fault or the time of recovery after it.
func unavailable(sent []Sent, faults []Fault, begin, end time.Duration) map[string]int64 {
	longest := make(map[string]int64)
	if len(faults) == 0 {
		longest["none"] = 0
	}
	for _, same := range probesByKey(sent) {
		for _, outage := range outages(same, end) {
			length := (outage.end - outage.start).Milliseconds()
			if len(faults) == 0 {
				longest["none"] = max(longest["none"], length)
			}
			for _, fault := range faults {
				if overlaps(outage, fault, begin) {
					longest[fault.String()] = max(longest[fault.String()], length)
				}
			}
		}
	}
	return longest
}

func overlaps(outage span, fault Fault, begin time.Duration) bool {
	last := max(fault.Start, fault.End) + recovery
	return outage.end > begin+fault.Start && outage.start < begin+last
}

func probesByKey(sent []Sent) map[serviceKey][]Sent {
	byKey := make(map[serviceKey][]Sent)
	for _, request := range sent {
		if request.Probe {
			key := serviceKey{request.Service, request.Key}
			byKey[key] = append(byKey[key], request)
		}
	}
	for _, same := range byKey {
		slices.SortFunc(same, func(a, b Sent) int { return int(a.Start - b.Start) })
	}
	return byKey
}

// workAtLeaving counts the runs that began at a draining server too late.
func workAtLeaving(runs []standin.Run, drained []leaving) int {
	count := 0
	for _, left := range drained {
		for _, run := range runs {
			ended := left.until != 0 && run.Start >= left.until
			if run.Server == left.server && run.Start > left.from+leaveTime && !ended {
				count++
			}
		}
	}
	return count
}

// imbalance returns the greatest ratio, over the services divided by key, of
// the busiest server's runs to the mean over servers that no fault hit.
func imbalance(runs []standin.Run, servers map[string][]string, hit map[string]bool) float64 {
	byServer := make(map[string]int)
	for _, run := range runs {
		byServer[run.Server]++
	}
	worst := 0.0
	for _, names := range servers {
		total, most, count := 0, 0, 0
		for _, name := range names {
			if hit[name] {
				continue
			}
			total += byServer[name]
			most = max(most, byServer[name])
			count++
		}
		if total > 0 {
			worst = max(worst, float64(most*count)/float64(total))
		}
	}
	return worst
}
