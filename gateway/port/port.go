// Package port lists the interfaces between the gateway and the platform that
// it runs on. An adapter implements them; it translates and decides nothing.
package port

import (
	"context"
	"net/http"
	"time"

	"guavacrank.example/gateway/model"
	"guavacrank.example/kvstore"
)

// Store is the platform's key-value service. Every error is a *kvstore.Error.
type Store interface {
	// Get returns one entry, or an error of kvstore.KindNotFound.
	Get(ctx context.Context, key string) (kvstore.Entry, error)
	// List returns the entries whose key starts with prefix, sorted by key, and
	// the version from which Changes continues.
	List(ctx context.Context, prefix string) ([]kvstore.Entry, kvstore.Version, error)
	// Changes waits until a key under prefix changes after the given version.
	// It returns the changes in order and the version to continue from, or an
	// error of kvstore.KindHistoryGone: list again.
	Changes(ctx context.Context, prefix string, after kvstore.Version, wait time.Duration) ([]kvstore.Entry, kvstore.Version, error)
	// CompareAndSwap writes value if the key's version equals expected (zero:
	// the key must not exist) and returns the new version.
	CompareAndSwap(ctx context.Context, key string, expected kvstore.Version, value []byte, lease kvstore.LeaseID) (kvstore.Version, error)
	// GrantLease creates a lease and returns the life that applies.
	GrantLease(ctx context.Context, ttl time.Duration) (kvstore.LeaseID, time.Duration, error)
	// KeepAlive extends a lease, or fails with kvstore.KindNotFound.
	KeepAlive(ctx context.Context, lease kvstore.LeaseID) error
	// Revoke ends a lease; its keys are removed.
	Revoke(ctx context.Context, lease kvstore.LeaseID) error
}

// Records names and decodes what operators and backend servers write into the
// store.
type Records interface {
	// ConfigurationKey holds the operators' newest configuration.
	ConfigurationKey() string
	// ServersPrefix is the prefix of the backend servers' records.
	ServersPrefix() string
	// Configuration decodes the operators' record.
	Configuration(value []byte) (*model.Configuration, error)
	// Server decodes one server's record. An error means that it names no
	// server to use.
	Server(entry kvstore.Entry) (model.Server, error)
}

// RequestHead is what a caller's headers say of a request.
type RequestHead struct {
	// ID is the identity of this attempt of the caller; empty without one.
	ID string
	// TimeLeft is how long the caller will wait; zero if it did not say.
	TimeLeft time.Duration
	// Key is the request's key, if HasKey.
	Key    uint16
	HasKey bool
}

// UpstreamHead is what a backend server is told of a request.
type UpstreamHead struct {
	// TimeLeft is what is left of the caller's time.
	TimeLeft time.Duration
	// Server is the ID of the server that alone may run the request.
	Server string
}

// ResponseHead is what a backend server's headers say of its answer.
type ResponseHead struct {
	// RequestID is the ID of the request that the answer belongs to.
	RequestID string
	// NotRun is the server's word that it did not run the request.
	NotRun bool
	// Misdirected says that the server asked is another one than the request
	// expected, or does not hold the request's key.
	Misdirected bool
	// Server is the ID of the server that answered, if it says so.
	Server string
	// Signed says that the answer carries the server's signature.
	Signed bool
	// KeepAlive is how long the server keeps the connection open without use;
	// zero if it did not say.
	KeepAlive time.Duration
}

// HeaderCodec reads and writes the headers of requests and answers.
type HeaderCodec interface {
	// ReadRequest reads a caller's headers; an error names the bad field.
	ReadRequest(header http.Header) (RequestHead, error)
	// WriteUpstream sets the headers that a backend server reads.
	WriteUpstream(header http.Header, head UpstreamHead)
	// ReadResponse reads a backend server's status and headers.
	ReadResponse(status int, header http.Header) ResponseHead
}

// Grant gives a range of keys, both ends included, to a backend server.
type Grant struct {
	From, To uint16
	Fence    uint64
	// TTL runs from the arrival of the call.
	TTL time.Duration
	// Handover is the word of the last holder; empty without one.
	Handover string
}

// Release takes a range of keys back, both ends included.
type Release struct {
	From, To uint16
	Fence    uint64
}

// FenceError reports that a server has seen a higher fence.
type FenceError struct{ Address string }

// Error implements error.
func (e *FenceError) Error() string {
	return "server " + e.Address + " has seen a higher fence"
}

// NotSentError reports a call that no connection carried.
type NotSentError struct {
	// Unreachable says that a connection was tried and could not be made.
	Unreachable bool
	// NoListener says that the machine refused the connection: no process
	// listens at the address.
	NoListener bool
	Err        error
}

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *NotSentError) Unwrap() error { return e.Err }

// Grantor calls backend servers about the keys that they hold.
type Grantor interface {
	// Grant gives or renews keys. A *FenceError means that the server refused, a
	// *NotSentError that it saw nothing; after any other error the grant may
	// still be applied, late.
	Grant(ctx context.Context, address string, grant Grant) error
	// Release returns the hand-over once the work on the keys has ended.
	Release(ctx context.Context, address string, release Release) (handover string, err error)
	// Identify returns the ID of the server at an address, by its health check. A
	// *NotSentError means that nothing was asked.
	Identify(ctx context.Context, address, healthPath string) (id string, err error)
}
