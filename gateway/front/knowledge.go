package front

import (
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/view"
	"guavacrank.example/traffic/verdict"
)

// unconfirmedRetryAfter is the Retry-After of a VM whose configuration may have been
// replaced. It is short, since other VMs may have the newest one.
const unconfirmedRetryAfter = 100 * time.Millisecond

// deny responds to a request that the configuration in force does not permit. If that
// configuration may have been replaced, the request is refused instead: a newer one may
// permit it.
func (e *exchange) deny(rejected rejection) {
	if !e.mayBeReplaced() {
		e.reject(rejected)
		return
	}
	e.writeError(verdict.NotRun, verdict.CodeStore, unconfirmedRetryAfter)
	e.options.Log.Event(event.RequestNotRun, rejected.cause, append(e.configurationFields(),
		zap.String("request", e.head.ID), zap.String("code", string(verdict.CodeStore)), zap.Int("withheld", rejected.status))...)
}

// loadView returns the newest view, or nil if there is none, and notes when its
// configuration was last confirmed. It also returns the channel that is closed when the
// view is replaced.
func (e *exchange) loadView() (*view.View, <-chan struct{}) {
	if e.options.Confirmation != nil {
		e.confirmedAt = e.options.Confirmation.At() // First: a later one may be about a newer view.
	}
	return e.options.Views.Load()
}

// mayBeReplaced says whether a newer configuration may have to be in force already.
func (e *exchange) mayBeReplaced() bool {
	if e.options.Confirmation == nil || e.options.ConfigurationTime == 0 {
		return false
	}
	return e.confirmedAt == 0 || e.arrived-e.confirmedAt > e.options.ConfigurationTime
}

// configurationFields describes the configuration that a request was judged by, for the
// log: its version, where it came from, for how long it is in force and how long ago it
// was last known to be the newest one.
func (e *exchange) configurationFields() []zap.Field {
	fields := []zap.Field{zap.Uint64("configuration", e.version)}
	if e.origin.Source == "" {
		return fields
	}
	now := e.options.Clock()
	fields = append(fields, zap.String("source", e.origin.Source), zap.Duration("in_force_for", now-e.origin.At))
	if e.confirmedAt > 0 {
		fields = append(fields, zap.Duration("confirmed_ago", now-e.confirmedAt))
	}
	return fields
}
