package kvstore

import (
	"errors"
	"fmt"
)

// Kind classifies a failure of the platform's service.
type Kind uint8

// Kinds of failure.
const (
	KindUnavailable Kind = iota // No answer, or an answer that the service is down.
	KindNotFound
	KindConflict  // The version differed; Current holds the stored one.
	KindThrottled // The service's call rate was exceeded.
	KindTooLarge
	KindInvalid
	KindHistoryGone // The changes asked for are no longer kept; list again.
)

// Outcome says whether the change of a failed call may have taken effect.
type Outcome uint8

// Outcomes of a failed call.
const (
	OutcomeNotApplied Outcome = iota
	OutcomeUnknown
)

// Error is the failure of one call.
type Error struct {
	Op      string
	Key     string
	Kind    Kind
	Outcome Outcome
	Current Version // The stored version, with KindConflict.
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("kvstore: %s %q: %s", e.Op, e.Key, e.Kind)
	if e.Outcome == OutcomeUnknown {
		text += " (outcome unknown)"
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// String returns the kind's name.
func (k Kind) String() string {
	names := [...]string{"unavailable", "not found", "conflict", "throttled", "too large", "invalid", "history gone"}
	if int(k) < len(names) {
		return names[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Unavailable returns the error of a call without a usable answer. maybeApplied
// says that it was a change and may have reached the service.
func Unavailable(op, key string, maybeApplied bool, err error) *Error {
	outcome := OutcomeNotApplied
	if maybeApplied {
		outcome = OutcomeUnknown
	}
	return &Error{Op: op, Key: key, Kind: KindUnavailable, Outcome: outcome, Err: err}
}

// IsKind reports whether err is an *Error of the given kind.
func IsKind(err error, kind Kind) bool {
	var platformErr *Error
	return errors.As(err, &platformErr) && platformErr.Kind == kind
}

// IsUnknown reports whether the change behind err may have taken effect.
func IsUnknown(err error) bool {
	var platformErr *Error
	return errors.As(err, &platformErr) && platformErr.Outcome == OutcomeUnknown
}

// IsNotApplied reports whether err is an *Error that proves that the change
// did not take effect.
func IsNotApplied(err error) bool {
	var platformErr *Error
	return errors.As(err, &platformErr) && platformErr.Outcome == OutcomeNotApplied
}
