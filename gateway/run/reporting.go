package run

import "time"

const (
	// relistInterval is the minimum time between two relists by one watcher.
	relistInterval = time.Second
	// staleThreshold is the number of consecutive responses with a newer version
	// after which a watch counts as failed. It is also the number of consecutive
	// failed reports after which the leader counts as lost.
	staleThreshold = 2
)

// reporting is what this VM has learned from the responses to its reports.
type reporting struct {
	// failures counts consecutive reports without a response from a leader.
	// unanswered counts those without any response.
	// staleResponses counts consecutive responses with a newer configuration.
	failures                int
	unanswered              int
	staleResponses          int
	configurationRelistedAt time.Duration
	leaderRelistedAt        time.Duration
}
