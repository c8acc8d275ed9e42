package front

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
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
	e.writeError(http.StatusServiceUnavailable, verdict.NotRun, verdict.CodeStore, unconfirmedRetryAfter)
	e.options.Log.Event(event.RequestNotRun, rejected.cause, append(e.configurationFields(),
		zap.String("request", e.head.ID), zap.String("code", string(verdict.CodeStore)), zap.Int("withheld", rejected.status))...)
}

// mayBeReplaced says whether a newer configuration may have to be in force already.
func (e *exchange) mayBeReplaced() bool {
	if e.options.Confirmation == nil || e.options.ConfigurationTime == 0 {
		return false
	}
	age, confirmed := e.options.Confirmation.Age(e.arrived)
	return !confirmed || age > e.options.ConfigurationTime
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
	if e.options.Confirmation == nil {
		return fields
	}
	if age, confirmed := e.options.Confirmation.Age(now); confirmed {
		fields = append(fields, zap.Duration("confirmed_ago", age))
	}
	return fields
}
