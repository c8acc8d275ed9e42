package kvstore

// Keys of the store.
const (
	// ConfigKey holds the configuration in force (config.Record).
	ConfigKey = "config/current"
	// HistoryPrefix holds earlier revisions of the configuration.
	HistoryPrefix = "config/history/"
	// PagePrefix, with a service's name, holds its ownership page.
	PagePrefix = "page/"
	// RolePrefix, with a role's name, holds the lease of its holder.
	RolePrefix = "role/"
	// IdempotencyPrefix holds the records of non-idempotent requests.
	IdempotencyPrefix = "idem/"
)
