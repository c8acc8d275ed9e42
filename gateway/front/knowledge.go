package front

import "go.uber.org/zap"

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
