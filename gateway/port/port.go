// Package port defines the interfaces between the gateway and the platform that
// it runs on. The platform's adapter implements them: it converts formats and
// protocols and makes no decisions.
package port

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"guavacrank.example/gateway/model"
	"guavacrank.example/kvstore"
)

// Store is the platform's key-value store. Every error is a *kvstore.Error. Every result
// names the store's era when it responded.
type Store interface {
	// Get returns the entry of a key, or an error of kvstore.KindNotFound.
	Get(ctx context.Context, key string) (kvstore.Entry, error)
	// List returns the entries whose keys start with prefix, sorted by key, and
	// the position from which Changes continues.
	List(ctx context.Context, prefix string) ([]kvstore.Entry, kvstore.Position, error)
	// Changes waits until a key under prefix changes after the given version, at
	// most for the given time. It returns the changes in order and the position to
	// continue from. After an error of kvstore.KindHistoryGone, or a position in
	// another era than that of the version, the prefix has to be listed again.
	Changes(ctx context.Context, prefix string, after kvstore.Version, wait time.Duration) ([]kvstore.Entry, kvstore.Position, error)
	// CompareAndSwap writes value if the key's version equals expected, and
	// returns the position of the write. Zero expects that the key does not exist.
	CompareAndSwap(ctx context.Context, key string, expected kvstore.Version, value []byte, lease kvstore.LeaseID) (kvstore.Position, error)
	// GrantLease creates a lease. Its actual TTL may be longer than the given one.
	GrantLease(ctx context.Context, ttl time.Duration) (kvstore.Lease, error)
	// KeepAlive renews a lease and returns the store's era. It fails with
	// kvstore.KindNotFound if the lease has expired.
	KeepAlive(ctx context.Context, lease kvstore.LeaseID) (kvstore.Era, error)
	// Revoke ends a lease and deletes the keys that are attached to it.
	Revoke(ctx context.Context, lease kvstore.LeaseID) error
}

// Records knows the keys and formats of the records that operators and backend
// servers write to the store.
type Records interface {
	// ConfigurationKey is the key of the operators' configuration.
	ConfigurationKey() string
	// ServersPrefix is the key prefix of the backend servers' records.
	ServersPrefix() string
	// EvacuationPrefix is the key prefix of the records by which operators evacuate
	// availability zones: a zone is evacuated for as long as its record exists.
	EvacuationPrefix() string
	// EvacuatedZone returns the zone that such a record evacuates.
	EvacuatedZone(entry kvstore.Entry) string
	// Configuration decodes the operators' configuration record.
	Configuration(value []byte) (*model.Configuration, error)
	// Server decodes the record of a backend server. An error means that the
	// record does not describe a usable server.
	Server(entry kvstore.Entry) (model.Server, error)
}

// RequestHead is the information in a caller's request headers.
type RequestHead struct {
	// ID identifies this attempt of the caller. It is empty if the caller sent
	// none.
	ID string
	// TimeLeft is the time until the caller's deadline, or zero if the caller set
	// none.
	TimeLeft time.Duration
	// Key is the key of the request. It is valid if HasKey is set.
	Key    uint16
	HasKey bool
}

// UpstreamHead is the information that is added to a request for a backend
// server.
type UpstreamHead struct {
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration
	// Server is the ID of the only server that may execute the request.
	Server string
}

// ResponseHead is the information in a backend server's response headers.
type ResponseHead struct {
	// RequestID is the ID of the request to which the response belongs. It is empty if
	// the response names none or several.
	RequestID string
	// NotRun says that the server declares not to have executed the request.
	NotRun bool
	// Misdirected says that the server is not the one named in the request, or
	// does not own the request's key.
	Misdirected bool
	// Server is the ID of the responding server, or empty if not given.
	Server string
	// Signed says that the response carries the server's signature.
	Signed bool
	// Limited says that the server names a limit: RequestsPerSecond is what it takes from
	// all VMs together, for as long as its responses say so.
	Limited           bool
	RequestsPerSecond float64
	// Leaving says that the server is leaving and wants no new requests.
	Leaving bool
	// RetryAfter is how long a server that turned the request away wants no others from
	// this VM, or zero. InvalidRetryAfter is the text of a time that is not valid, or
	// empty.
	RetryAfter        time.Duration
	InvalidRetryAfter string
	// WarmUp is how much longer the server is warming up, or zero.
	WarmUp time.Duration
	// Load is the server's load when it sent the response, or the zero value if it does
	// not tell.
	Load Load
	// KeepAlive is the server's idle timeout for the connection, or zero if not
	// given.
	KeepAlive time.Duration
}

// Load is what a backend server tells of its load.
type Load struct {
	// Running and Waiting are the numbers of requests that run and wait, Slots that of
	// the requests that can run at the same time; zero means that nothing is known.
	Running, Waiting, Slots int
	// Slowdown is how many times longer than usual requests take at the moment.
	Slowdown float64
}

// HeaderCodec reads and writes the platform's headers on requests and responses.
type HeaderCodec interface {
	// ReadRequest decodes a caller's request headers. An error names the invalid
	// header.
	ReadRequest(header http.Header) (RequestHead, error)
	// WriteUpstream sets the headers of a request to a backend server.
	WriteUpstream(header http.Header, head UpstreamHead)
	// ReadResponse decodes the status and headers of a backend server's response.
	ReadResponse(status int, header http.Header) ResponseHead
}

// Connection identifies a connection to a backend server among all those of this
// process; zero is none. It leads to one run of the server's process and ends with it.
type Connection uint64

// Grant gives a backend server exclusive ownership of a range of keys for a
// limited time. The range includes both ends.
type Grant struct {
	From, To uint16
	// Server is the ID of the only server that may take the grant.
	Server string
	// Connection, unless zero, is the only connection on which the grant is sent.
	Connection Connection
	// Fence is the fencing token of the grant.
	Fence uint64
	// TTL counts from the arrival of the call at the server.
	TTL time.Duration
	// Handover is the token that the previous owner returned when it released the
	// keys, or empty.
	Handover string
}

// Release takes back the ownership of a range of keys. The range includes both
// ends.
type Release struct {
	From, To uint16
	// Server is the ID of the server that has to release the keys.
	Server string
	// Fence is above the fencing tokens of all grants of the keys that were sent before.
	Fence uint64
	// Held is the fencing token of the server's last grant. It tells repetitions of one
	// release from other releases of the same keys.
	Held uint64
}

// FenceError reports that a server rejected a call because it has seen a higher
// fencing token.
type FenceError struct{ Address string }

// Error implements error.
func (e *FenceError) Error() string {
	return "server " + e.Address + " has seen a higher fencing token"
}

// OtherServerError reports that another server than the one that was called runs at an
// address.
type OtherServerError struct{ Address, Server string }

// Error implements error.
func (e *OtherServerError) Error() string {
	return "the server at " + e.Address + " is not " + e.Server
}

// RefusedError reports that the process at an address answered a call with a status that the
// server, for which it was meant, does not give.
type RefusedError struct {
	Address string
	Status  int
}

// Error implements error.
func (e *RefusedError) Error() string {
	return "the process at " + e.Address + " refused the call with status " + strconv.Itoa(e.Status)
}

// NotSentError reports a call that was not sent because there was no connection.
type NotSentError struct {
	// Unreachable says that connecting was attempted and failed.
	Unreachable bool
	// NoListener says that the connection was refused: no process listens at the
	// address.
	NoListener bool
	// ConnectionEnded says that the connection on which alone it was to be sent has
	// ended.
	ConnectionEnded bool
	Err             error
}

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *NotSentError) Unwrap() error { return e.Err }

// Grantor grants keys to backend servers and takes them back.
type Grantor interface {
	// Grant grants keys or renews a grant, and returns the connection on which the
	// grant was sent, or zero. A *FenceError means that the server rejected the call, an
	// *OtherServerError that another server did, a *NotSentError that the call did not
	// reach a server. After any other error the server may still apply the grant later.
	Grant(ctx context.Context, address string, grant Grant) (Connection, error)
	// Release takes keys back. It returns the server's handover token once the
	// server has finished its work on the keys. An *OtherServerError means that another
	// server runs at the address, a *RefusedError that this is likely.
	Release(ctx context.Context, address string, release Release) (handover string, err error)
	// Identify returns the ID of the server at an address, as given by its health
	// check. A *NotSentError means that the call did not reach a server.
	Identify(ctx context.Context, address, healthPath string) (id string, err error)
}
