// Package front is the HTTP front end of a VM: it parses a caller's request,
// finds the server that owns the key, queues and sends the request, and
// streams the response back with a verdict.
//
// docs/callers.md describes the interface; docs/design/requests.md gives the
// reasons for the design.
package front

import (
	"time"

	"guavacrank.example/config"
	"guavacrank.example/event"
	"guavacrank.example/traffic/elapsed"
	"guavacrank.example/traffic/limit"
	"guavacrank.example/traffic/once"
	"guavacrank.example/traffic/route"
	"guavacrank.example/traffic/upstream"
)

// Options configure a Handler.
type Options struct {
	// Routes publishes the routing snapshots.
	Routes *route.Publisher
	// Region and Zone are the location of this VM.
	Region, Zone string
	// Elapsed is a monotonic clock that also runs while the VM is suspended.
	// Server.HomeUntil is a time on this clock. Nil means elapsed.Now.
	Elapsed func() time.Duration
	// OnStaleRoute is called when a refusal shows that this VM's ownership
	// page of the service is outdated. It must not block.
	OnStaleRoute func(service string)
	// Events receives events for the log. It must not block. If it is nil,
	// events are dropped.
	Events func(event.Event)
	// IdempotencyRecords stores the records of idempotency keys. If it is nil,
	// non-idempotent requests with an idempotency key are refused.
	IdempotencyRecords *once.Records
	// Sharing selects how the VMs share a server's slots.
	Sharing limit.Sharing
	// PeerToken is the secret shared by the VMs of the fleet; forwarded
	// requests without it are refused.
	PeerToken string
	// Dial opens connections to servers and other VMs. Nil means the default of
	// upstream.Options.
	Dial upstream.Dial
	// Limits bound the requests of callers. Zero fields take the defaults.
	Limits Limits
}

// Limits bound the size of requests and their number on this VM.
type Limits struct {
	// Concurrent is the maximum number of requests in flight on this VM.
	Concurrent int
	// KeyBytes is the maximum length of a key after decoding.
	KeyBytes int
	// HeaderBytes is the maximum total size of a request's header fields.
	HeaderBytes int
	// PeerConnections is the maximum number of connections to one other VM.
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

// settingsWithDefaults returns settings with zero fields set to the defaults.
func settingsWithDefaults(settings config.Defaults) config.Defaults {
	settings.MaxAttempts = orDefault(settings.MaxAttempts, defaultMaxAttempts)
	settings.RetryBudget = orDefault(settings.RetryBudget, defaultRetryBudget)
	settings.QueueLimit = orDefault(settings.QueueLimit, defaultQueueLimit)
	settings.BulkFloor = orDefault(settings.BulkFloor, defaultBulkFloor)
	settings.MaxBodyBytes = orDefault(settings.MaxBodyBytes, defaultMaxBodyBytes)
	return settings
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
