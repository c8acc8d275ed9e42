package upstream

import (
	"fmt"
	"time"
)

// Stage is how far an attempt came before it failed.
type Stage uint8

// Stages, in their order.
const (
	StageLimit    Stage = iota // The pool has no connection to give.
	StageConnect               // Connecting failed.
	StageRefused               // The server ended a new connection before a request was sent.
	StageWrite                 // Sending the request failed.
	StageResponse              // No answer came.
	StageTruncate              // The answer ended early.
	StageUnframed              // The answer's end cannot be told from a lost connection.
)

// Failure is an attempt without a whole answer.
type Failure struct {
	Stage Stage
	// Sent says that at least one byte of the request was handed to the
	// connection: the server may have run it.
	Sent bool
	// Timeout says that the context ended or its deadline passed.
	Timeout bool
	// Reused says that the connection had been used before, Unused for how long it
	// was not.
	Reused   bool
	IdleTime time.Duration
	Err      error
}

// Error implements error.
func (f *Failure) Error() string {
	names := [...]string{"connection limit", "connect", "connection refused", "write", "answer", "truncated answer", "unframed answer"}
	if f.Reused {
		return fmt.Sprintf("upstream: %s, on a connection unused for %v: %v", names[f.Stage], f.IdleTime.Round(time.Millisecond), f.Err)
	}
	return fmt.Sprintf("upstream: %s: %v", names[f.Stage], f.Err)
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.Err }
