package kvstore

// Keys and key prefixes in the store.
const (
	// ConfigKey holds the current configuration (config.Record).
	ConfigKey = "config/current"
	// HistoryPrefix is the prefix of earlier configuration revisions.
	HistoryPrefix = "config/history/"
	// PagePrefix followed by a service name is the key of its ownership page.
	PagePrefix = "page/"
	// RolePrefix followed by a role name is the key that the role's holder
	// writes under its lease.
	RolePrefix = "role/"
	// IdempotencyPrefix is the prefix of the records of non-idempotent requests.
	IdempotencyPrefix = "idem/"
)
