package config

import "time"

// Bounds of a file.
const (
	// MaxFileBytes is the largest configuration or settings file. It leaves room
	// for the record around it below the store's limit of one megabyte.
	MaxFileBytes = 700 << 10
	// MaxShards is the largest number of shards of one service.
	MaxShards = 4096
	// MaxDeclaredKeys is the largest number of declared keys of one service.
	MaxDeclaredKeys = 1000
	// MaxKeyBytes is the longest declared key.
	MaxKeyBytes = 512
	// MaxNameBytes is the longest name of a service, class, server, VM, zone or region.
	MaxNameBytes = 63
	// MaxReasonBytes is the longest written reason.
	MaxReasonBytes = 1000
	// MaxSlots is the largest number of slots or connections of one server.
	MaxSlots = 100_000
	// MinDeadline and MaxDeadline bound the deadline of a class.
	MinDeadline = time.Millisecond
	MaxDeadline = time.Hour
	// MinTokenBytes is the shortest operator token.
	MinTokenBytes = 16
	// RenewalsPerGrant is the least number of renewals in the life of a grant.
	RenewalsPerGrant = 3
)

// DefaultDefaults returns the values of fields that a configuration leaves out.
func DefaultDefaults() Defaults {
	return Defaults{
		GrantTimeToLive: 1400 * time.Millisecond,
		RenewInterval:   250 * time.Millisecond,
		ClockRateMargin: 1000,
		MaxAttempts:     3,
		RetryBudget:     10,
		QueueLimit:      64,
		BulkFloor:       10,
		StopLimit:       30 * time.Second,
		HoldTime:        30 * time.Second,
		MovesPerMinute:  12,
		HotKeyShare:     20,
		MaxBodyBytes:    1 << 20,
		LinkBulkRate:    100 << 10,
	}
}

// DefaultSettings returns the values of fields that a settings file leaves out.
func DefaultSettings() Settings {
	return Settings{
		Limits: Limits{
			MaxBodyBytes:       8 << 20,
			ConcurrentRequests: 4096,
			HeaderBytes:        64 << 10,
			ReadHeaderTimeout:  5 * time.Second,
			ReadTimeout:        30 * time.Second,
			IdleTimeout:        90 * time.Second,
		},
		LogLevel: LogInfo,
	}
}
