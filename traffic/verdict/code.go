package verdict

import "net/http"

// Code explains a verdict. Codes never change their meaning.
type Code string

// Codes. docs/callers.md lists them with the status and what a caller may do.
const (
	CodeAnswered        Code = "answered"
	CodeBadRequest      Code = "bad_request"
	CodeUnknownService  Code = "unknown_service"
	CodeUnknownClass    Code = "unknown_class"
	CodeKeyTooLong      Code = "key_too_long"
	CodeBodyTooLarge    Code = "body_too_large"
	CodeHeadersTooLarge Code = "headers_too_large"
	CodeStopping        Code = "stopping"       // This VM is stopping.
	CodeTooMany         Code = "too_many"       // Too many requests in this VM at once.
	CodeQueueFull       Code = "queue_full"     // The server's queue is full.
	CodeBusy            Code = "busy"           // Every slot is busy, and the request asked not to wait.
	CodeTooLate         Code = "too_late"       // It could not have finished within its deadline.
	CodeNoOwner         Code = "no_owner"       // No server may serve the key at the moment.
	CodeNoServer        Code = "no_server"      // The service has no server that accepts requests.
	CodeNotHome         Code = "not_home"       // The VM asked is not the server's home.
	CodeMoved           Code = "moved"          // The key's unit moved to another server.
	CodeFence           Code = "fence"          // The server holds no grant for the unit at that epoch.
	CodeShed            Code = "shed"           // The server refused: all slots busy.
	CodeServerLimit     Code = "server_limit"   // The limit that the server named leaves no room for the request.
	CodeServerBackoff   Code = "server_backoff" // Every server that could take it wants no requests for some time.
	CodeDraining        Code = "draining"       // The server refused: it is leaving.
	CodeConnect         Code = "connect"        // The server could not be reached.
	CodeConnections     Code = "connections"    // This VM's share of the server's connections is in use.
	CodeWrite           Code = "write"          // Sending the request failed.
	CodeReset           Code = "reset"          // The connection ended before a response.
	CodeTruncated       Code = "truncated"      // The connection ended within the response.
	CodeUnframed        Code = "unframed"       // The end of the response can't be told from a lost connection.
	CodeUnproved        Code = "unproved"       // The server's status would promise that the request has not run, without proof.
	CodeTimeout         Code = "timeout"        // The deadline passed.
	CodeCallerGone      Code = "caller_gone"    // The caller ended the connection.
	CodeOnceRunning     Code = "once_running"   // An earlier request with the same idempotency key is under way.
	CodeOnceFinished    Code = "once_finished"  // An earlier request with the same idempotency key was answered.
	CodeOnceUnknown     Code = "once_unknown"   // An earlier request with the same idempotency key ended without proof of whether it ran.
	CodeOnceDifferent   Code = "once_different" // The idempotency key was used for another request.
	CodeStore           Code = "store"          // The record of the idempotency key could not be written.
	CodePeer            Code = "peer"           // The home's response could not be parsed.
)

// statuses gives the HTTP status of each code that guavacrank itself returns.
var statuses = map[Code]int{
	CodeBadRequest:      http.StatusBadRequest,
	CodeUnknownService:  http.StatusNotFound,
	CodeUnknownClass:    http.StatusBadRequest,
	CodeKeyTooLong:      http.StatusRequestURITooLong,
	CodeBodyTooLarge:    http.StatusRequestEntityTooLarge,
	CodeHeadersTooLarge: http.StatusRequestHeaderFieldsTooLarge,
	CodeTimeout:         http.StatusGatewayTimeout,
	CodeCallerGone:      statusCallerGone,
	CodeConnect:         http.StatusBadGateway,
	CodeWrite:           http.StatusBadGateway,
	CodeReset:           http.StatusBadGateway,
	CodeTruncated:       http.StatusBadGateway,
	CodeUnframed:        http.StatusBadGateway,
	CodeUnproved:        http.StatusBadGateway,
	CodePeer:            http.StatusBadGateway,
	CodeOnceRunning:     http.StatusConflict,
	CodeOnceFinished:    http.StatusConflict,
	CodeOnceUnknown:     http.StatusConflict,
	CodeOnceDifferent:   http.StatusUnprocessableEntity,
}

// statusCallerGone is only recorded: the caller has already disconnected.
const statusCallerGone = 499

// Status returns the HTTP status that goes with a code. Codes without an
// entry are temporary refusals: 503.
func (c Code) Status() int {
	if status, ok := statuses[c]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}
