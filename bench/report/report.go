// Package report is the result of a benchmark: a table of measured rows with
// the stated target of each.
package report

// Row is one measured figure.
type Row struct {
	// Name is a dotted name such as "placement.verhaegen.imbalance".
	Name string `json:"name"`
	// Policy is the policy or baseline that was measured.
	Policy string  `json:"policy,omitempty"`
	Value  float64 `json:"value"`
	Unit   string  `json:"unit"`
	// Target is the stated bound; zero with Bound "" means "no target".
	Target float64 `json:"target,omitempty"`
	// Bound is "max" or "min": the side on which Target limits Value.
	Bound string `json:"bound,omitempty"`
}

// Report is one benchmark's rows.
type Report struct {
	Benchmark string `json:"benchmark"`
	Rows      []Row  `json:"rows"`
}

// Met reports whether the row keeps its target.
func (r Row) Met() bool {
	switch r.Bound {
	case "max":
		return r.Value <= r.Target
	case "min":
		return r.Value >= r.Target
	default:
		return true
	}
}

// Missed returns the rows that miss their target.
func (r Report) Missed() []Row {
	var missed []Row
	for _, row := range r.Rows {
		if !row.Met() {
			missed = append(missed, row)
		}
	}
	return missed
}
