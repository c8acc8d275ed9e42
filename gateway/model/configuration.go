package model

import "time"

// Configuration is one version of the operators' configuration. It is immutable
// once it is in force.
type Configuration struct {
	// Version orders configurations; a higher one replaces a lower one.
	Version uint64
	Routes  []Route
	// Unusable are routes that are known but can't be served: only Name, Host, PathPrefix
	// and Regions are set, Regions only if they are the cause.
	Unusable []Route
	Services map[string]Service
	Limits   CallerLimits
}

// Route directs requests for one host and path prefix to services.
type Route struct {
	Name string
	// Host is the value of the Host header, without a port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Kind is the kind of the route's requests.
	Kind Kind
	// Regions are the regions whose servers may get the route's requests; none means that
	// all may.
	Regions []string
	// Timeout limits how long a caller waits for a response. Zero leaves only
	// the caller's own deadline.
	Timeout time.Duration
	// LatencyObjective is the response time up to which a response has its full
	// value.
	LatencyObjective time.Duration
	// Priority ranks the routes of a service; 0 is the highest priority.
	Priority int
	// MaxAttempts is the maximum number of backend servers tried for a request.
	MaxAttempts int
	// Targets are the services among which the route's requests are split. A route
	// without targets can't be served.
	Targets []Target
}

// Kind is the kind of a route's requests.
type Kind uint8

// Kinds.
const (
	// NonIdempotent requests are executed once at most.
	NonIdempotent Kind = iota
	// Idempotent requests may be executed more than once.
	Idempotent
	// Upload requests are non-idempotent and have large bodies.
	Upload
	// Download requests are idempotent and have large responses.
	Download
)

// String returns the kind as named in metrics and logs.
func (k Kind) String() string {
	return [...]string{"non_idempotent", "idempotent", "upload", "download"}[k]
}

// Idempotent reports whether requests of the kind may be executed more than once.
func (k Kind) Idempotent() bool { return k == Idempotent || k == Download }

// Target is a service of a route with its relative share of the requests.
type Target struct {
	Service string
	Weight  int
}

// Service is a service that the operators have configured.
type Service struct {
	Name string
	// HealthPath is the URL path of the backend servers' health check.
	HealthPath string
	// MaxConnections is the number of connections that one backend server
	// accepts from all VMs together. Zero means no limit.
	MaxConnections int
	// Partitioned says that each key is owned by exactly one backend server.
	// Servers own ranges of keys.
	Partitioned bool
	// WarmUpRate is the number of requests per second that a server which is warming up
	// takes from all VMs together. Zero means no limit.
	WarmUpRate float64
}

// CallerLimits bound callers' requests and connections. Zero means no limit.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
