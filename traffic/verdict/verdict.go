// Package verdict defines what is known of whether a request may have run at a backend server.
package verdict

// Verdict is whether a request ran, as far as known at its end.
type Verdict uint8

// Verdicts. A caller that receives NotRun may retry the request safely.
const (
	// MayHaveRun is the zero value: without proof a request may have run.
	MayHaveRun Verdict = iota
	// NotRun is proved: no byte was sent, or the server returned its documented refusal.
	NotRun
	// Answered means that the complete response was received.
	Answered
)

// Header carries the verdict to the caller; HeaderCode explains it.
const (
	Header     = "Guavacrank-Verdict"
	HeaderCode = "Guavacrank-Code"
)

// String returns the verdict as the header carries it.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case Answered:
		return "answered"
	default:
		return "may_have_run"
	}
}
