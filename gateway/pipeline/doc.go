// Package pipeline serves callers that send further requests on a connection before the
// first one has been answered (RFC 9112, section 9.3.2).
//
// net/http serves the requests of a connection one after the other. A Listener gives it,
// beside the connections of callers, one connection for each request that was read ahead, so
// that it serves them side by side. What it writes there waits for its turn and then goes to
// the caller's connection. Only requests without a body that may be repeated are read ahead,
// within bounds; all others wait until those before them have been answered.
//
// A connection whose caller waits for each response costs no goroutine and no copy.
// docs/design/pipelines.md gives the reasons.
package pipeline
