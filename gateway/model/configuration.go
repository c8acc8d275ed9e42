package model

import "time"

// Configuration is one version of what operators declare. It is immutable once
// it is in force.
type Configuration struct {
	// Version orders configurations; a higher one replaces a lower one.
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   CallerLimits
}

// Route sends the requests of one host under one path prefix to services.
type Route struct {
	Name string
	// Host is the value of the Host header, without a port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller is kept waiting; zero means no
	// limit but the caller's own.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer has its full worth.
	LatencyObjective time.Duration
	// Priority is the rank among the routes of a service; 0 is the highest.
	Priority int
	// MaxAttempts is the greatest number of backend servers for one request.
	MaxAttempts int
	// Targets are the services that share the route's requests.
	Targets []Target
}

// Target is one service of a route with its share of the requests.
type Target struct {
	Service string
	Weight  int
}

// Service is one declared service.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections is what one backend server accepts from all VMs together;
	// zero means no limit.
	MaxConnections int
	// Partitioned says that each backend server owns ranges of keys.
	Partitioned bool
}

// CallerLimits bound what a caller may send. Zero means no limit.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
