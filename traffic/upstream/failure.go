package upstream

import (
	"fmt"
	"time"
)

// Stage is the step at which an attempt failed.
type Stage uint8

// Stages, in the order of an attempt.
const (
	StageLimit    Stage = iota // The connection limit was reached.
	StageConnect               // Connecting failed.
	StageRefused               // The server closed a new connection before a request was sent.
	StageWrite                 // Sending the request failed.
	StageResponse              // No response headers were received.
	StageTruncate              // The response ended early.
	StageUnframed              // The end of the response can't be told from a lost connection.
)

// Failure is an attempt without a complete response.
type Failure struct {
	Stage Stage
	// Sent reports whether at least one byte of the request was handed to the
	// kernel: the server may then have run it.
	Sent bool
	// Timeout reports whether the context ended or its deadline passed.
	Timeout bool
	// Reused reports whether the connection had been used before; IdleTime is
	// how long it was idle before this attempt.
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
