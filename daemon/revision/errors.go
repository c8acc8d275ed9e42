package revision

import (
	"fmt"
	"strings"
	"time"

	"guavacrank.example/config"
	"guavacrank.example/config/diff"
)

// ConflictError reports that the revision in force is not the one that the
// change was made from. Nothing was applied.
type ConflictError struct {
	// Base is the revision that the rejected change was made from.
	Base config.Revision `json:"base"`
	// InForce is the revision in force.
	InForce Summary `json:"in_force"`
	// Changes is the difference from Base to InForce. Compared is false if it is
	// unknown because Base is no longer in the history.
	Changes  []diff.Change `json:"changes"`
	Compared bool          `json:"compared"`
}

// Error implements error.
func (e *ConflictError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "revision %d is in force instead of %d: applied by %s at %s (%s)",
		e.InForce.Revision, e.Base, e.InForce.Author, e.InForce.Time.Format(time.RFC3339), e.InForce.Reason)
	for _, change := range e.Changes {
		text.WriteString("\n  " + change.String())
	}
	if !e.Compared {
		fmt.Fprintf(&text, "\n  revision %d is no longer kept, so the difference is not known", e.Base)
	}
	return text.String()
}

// UnknownOutcomeError reports that a change may or may not have been applied.
// Calling Apply again with the same ChangeID determines the outcome.
type UnknownOutcomeError struct {
	ChangeID string
	Err      error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the outcome of change %s is unknown: %s", e.ChangeID, e.Err)
}

// Unwrap returns the error of the store.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// NotFoundError reports that a revision is not in the store.
type NotFoundError struct{ Revision config.Revision }

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("revision %d is not kept in the history", e.Revision)
}

// CorruptError reports that a value in the store can't be decoded.
type CorruptError struct {
	Key string
	Err error
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("the store's value of %q can't be read: %s", e.Key, e.Err)
}

// Unwrap returns the decoding error.
func (e *CorruptError) Unwrap() error { return e.Err }
