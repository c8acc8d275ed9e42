package kvstore

import (
	"errors"
	"fmt"
)

// Kind classifies a failed call.
type Kind uint8

// Kinds of failed calls.
const (
	KindUnavailable Kind = iota // No response, or the service reported that it is unavailable.
	KindNotFound
	KindConflict  // The version was not the expected one; Error.Current holds the stored version.
	KindThrottled // The call exceeded the service's rate limit.
	KindTooLarge
	KindInvalid
	KindHistoryGone // The changes requested by a watch are no longer kept; list again.
)

// Outcome says whether a failed write may have taken effect.
type Outcome uint8

// Outcomes of failed calls.
const (
	OutcomeNotApplied Outcome = iota
	OutcomeUnknown
)

// Error describes a failed call.
type Error struct {
	Op      string
	Key     string
	Kind    Kind
	Outcome Outcome
	Current Version // The stored version, with KindConflict.
	Era     Era     // The store's era according to its response; zero without one.
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

// InEra sets the era that the store's response named, and returns e.
func (e *Error) InEra(era Era) *Error {
	e.Era = era
	return e
}

// String returns the kind's name.
func (k Kind) String() string {
	names := [...]string{"unavailable", "not found", "conflict", "throttled", "too large", "invalid", "history gone"}
	if int(k) < len(names) {
		return names[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Unavailable returns the error of a call without a usable response.
// maybeApplied means that the call was a write and may have reached the service.
func Unavailable(op, key string, maybeApplied bool, err error) *Error {
	outcome := OutcomeNotApplied
	if maybeApplied {
		outcome = OutcomeUnknown
	}
	return &Error{Op: op, Key: key, Kind: KindUnavailable, Outcome: outcome, Err: err}
}

// EraOf returns the store's era according to the response that err is about, or zero.
func EraOf(err error) Era {
	var storeErr *Error
	if errors.As(err, &storeErr) {
		return storeErr.Era
	}
	return 0
}

// IsKind reports whether err is an *Error of the given kind.
func IsKind(err error, kind Kind) bool {
	var storeErr *Error
	return errors.As(err, &storeErr) && storeErr.Kind == kind
}

// IsUnknown reports whether err is an *Error of a write that may have taken
// effect.
func IsUnknown(err error) bool {
	var storeErr *Error
	return errors.As(err, &storeErr) && storeErr.Outcome == OutcomeUnknown
}

// IsNotApplied reports whether err is an *Error and the write is known not to
// have taken effect.
func IsNotApplied(err error) bool {
	var storeErr *Error
	return errors.As(err, &storeErr) && storeErr.Outcome == OutcomeNotApplied
}
