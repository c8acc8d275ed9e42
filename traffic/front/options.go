// Package front is the caller-facing side of a VM: it parses a caller's
// request, finds the server that owns the key, admits, sends, and streams the
// whole answer back with a verdict.
//
// docs/callers.md is the interface; docs/design/requests.md gives the reasons.
package front

import (
	"time"

	"guavacrank.example/config"
	"guavacrank.example/event"
	"guavacrank.example/traffic/elapsed"
	"guavacrank.example/traffic/limit"
	"guavacrank.example/traffic/once"
	"guavacrank.example/traffic/route"
)

// Options configure a Handler.
type Options struct {
	// Routes publishes the snapshots to route by.
	Routes *route.Publisher
	// Region and Zone are where this VM stands.
	Region, Zone string
	// Elapsed is the clock of elapsed time including suspend, on which
	// Server.HomeUntil is given. Nil means elapsed.Now.
	Elapsed func() time.Duration
	// OnStaleRoute is called when a refusal shows that the service's page has
	// changed. It must not block.
	OnStaleRoute func(service string)
	// Events receives numbered events. It must not block. Nil drops them.
	Events func(event.Event)
	// IdempotencyRecords keeps the records of idempotency keys. Without it, non-idempotent
	// requests with an idempotency key are refused.
	IdempotencyRecords *once.Records
	// Sharing is the way in which VMs share a server's slots.
	Sharing limit.Sharing
	// PeerToken is the secret that the VMs of the fleet share; forwarded
	// requests without it are refused.
	PeerToken string
	// Limits bound what a caller may ask for. Zero fields take defaults.
	Limits Limits
}

// Limits bound what callers may ask for and what this VM takes on.
type Limits struct {
	// Concurrent is the greatest number of requests in this VM at once.
	Concurrent int
	// KeyBytes is the longest key, decoded.
	KeyBytes int
	// HeaderBytes limits a request's header fields together.
	HeaderBytes int
	// PeerConnections is the greatest number of connections to one other VM.
	PeerConnections int
}

// Defaults of Limits, and of config.Defaults fields that a snapshot leaves zero.
const (
	DefaultConcurrent      = 20000
	DefaultKeyBytes        = 1 << 10
	DefaultHeaderBytes     = 32 << 10
	DefaultPeerConnections = 1024

	defaultMaxAttempts  = 3
	defaultRetryBudget  = 10
	defaultQueueLimit   = 256
	defaultBulkFloor    = 10
	defaultMaxBodyBytes = 16 << 20
	defaultDeadline     = 5 * time.Second
)

func (o Options) withDefaults() Options {
	if o.Elapsed == nil {
		o.Elapsed = elapsed.Now
	}
	if o.OnStaleRoute == nil {
		o.OnStaleRoute = func(string) {}
	}
	if o.Events == nil {
		o.Events = func(event.Event) {}
	}
	o.Limits.Concurrent = orDefault(o.Limits.Concurrent, DefaultConcurrent)
	o.Limits.KeyBytes = orDefault(o.Limits.KeyBytes, DefaultKeyBytes)
	o.Limits.HeaderBytes = orDefault(o.Limits.HeaderBytes, DefaultHeaderBytes)
	o.Limits.PeerConnections = orDefault(o.Limits.PeerConnections, DefaultPeerConnections)
	return o
}

// filled returns settings with defaults for zero fields.
func filled(settings config.Defaults) config.Defaults {
	settings.MaxAttempts = orDefault(settings.MaxAttempts, defaultMaxAttempts)
	settings.RetryBudget = orDefault(settings.RetryBudget, defaultRetryBudget)
	settings.QueueLimit = orDefault(settings.QueueLimit, defaultQueueLimit)
	settings.BulkFloor = orDefault(settings.BulkFloor, defaultBulkFloor)
	settings.MaxBodyBytes = orDefault(settings.MaxBodyBytes, defaultMaxBodyBytes)
	return settings
}

func orDefault[T comparable](value, otherwise T) T {
	var zero T
	if value == zero {
		return otherwise
	}
	return value
}
