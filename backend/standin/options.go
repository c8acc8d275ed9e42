// Package standin is the small stand-in backend server for tests, benchmarks
// and the demo. It implements the protocol of package backend over TCP, keeps
// a record of every run, and can be killed, frozen, drained, made slow or made
// to lie.
package standin

import (
	"time"

	"golang.org/x/sys/unix"

	"guavacrank.example/backend"
)

// Defaults of Options.
const (
	DefaultSlots       = 4
	DefaultConnections = 55
	DefaultServiceTime = 2 * time.Millisecond
	// maxBodyBytes limits a request's body.
	maxBodyBytes = 4 << 20
)

// Options configures a Server. Zero values take the defaults.
type Options struct {
	Name    string
	Service string
	// Address is the IP:port to listen on; port 0 takes a free one at the first
	// start and keeps it.
	Address string
	// Slots is the number of requests that run at once; more are shed.
	Slots int
	// Connections is the number of connections on which requests are run.
	Connections int
	// ChecksGrants makes the server refuse requests without a valid grant.
	// Otherwise it answers 404 to grant orders and serves everything.
	ChecksGrants bool
	// ServiceTime returns how long a request of a class runs.
	ServiceTime func(class, key string) time.Duration
	// ColdStart is the time after a start during which runs take ColdFactor
	// times as long.
	ColdStart  time.Duration
	ColdFactor int
	// ReportLag is the age of the health and load reports.
	ReportLag time.Duration
	// AnswerBytes returns the size of the padding in an answer.
	AnswerBytes func(class string) int
	// Clock is the server's clock; it must run on while the server is frozen.
	// The default is BootTime.
	Clock func() time.Duration
	// Records receives the runs; it outlives the server's restarts. Several
	// servers may share one.
	Records *Records
}

func (o Options) withDefaults() Options {
	if o.Address == "" {
		o.Address = "127.0.0.1:0"
	}
	if o.Slots <= 0 {
		o.Slots = DefaultSlots
	}
	if o.Connections <= 0 {
		o.Connections = DefaultConnections
	}
	if o.ServiceTime == nil {
		o.ServiceTime = func(string, string) time.Duration { return DefaultServiceTime }
	}
	if o.ColdFactor <= 0 {
		o.ColdFactor = 1
	}
	if o.AnswerBytes == nil {
		o.AnswerBytes = func(string) int { return 0 }
	}
	if o.Clock == nil {
		o.Clock = BootTime
	}
	if o.Records == nil {
		o.Records = &Records{}
	}
	return o
}

// BootTime returns the time since the machine booted, including suspend. All
// processes of one machine read the same clock.
func BootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(now.Nano())
}

// Faults is what is wrong with a server. The zero value is a healthy one.
type Faults struct {
	// Drain makes the server refuse new requests and report that it is leaving.
	Drain bool `json:"drain"`
	// Truncate, Reset and Swallow count the next requests that are run but
	// whose answer is cut in half, replaced by a reset connection, or never sent.
	Truncate int `json:"truncate"`
	Reset    int `json:"reset"`
	Swallow  int `json:"swallow"`
	// RunDelay is added to each run, AnswerDelay between a run and its answer.
	RunDelay    time.Duration `json:"run_delay_ns"`
	AnswerDelay time.Duration `json:"answer_delay_ns"`
	// Health and Load are reported in place of the truth.
	Health *backend.HealthReport `json:"health,omitempty"`
	Load   *backend.LoadReport   `json:"load,omitempty"`
}
