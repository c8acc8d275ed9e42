// Package config holds the configuration that operators declare for the
// fleet, and the settings of one process.
//
// Both are strict YAML: an unknown field, a wrong unit or a missing reason is
// an *Error that names file, line and field, and nothing is applied.
package config

import (
	"fmt"
	"time"
)

// Revision numbers the accepted configurations. It only grows; zero means none.
type Revision uint64

// Record is the value of the store's configuration key.
type Record struct {
	Revision Revision  `json:"revision"`
	ChangeID string    `json:"change_id"` // Unique; settles a lost reply by reading back.
	Author   string    `json:"author"`
	Reason   string    `json:"reason"`
	Time     time.Time `json:"time"`
	YAML     string    `json:"yaml"` // The configuration as the operator wrote it.
}

// Configuration is what operators declare.
type Configuration struct {
	Defaults   Defaults
	Services   []Service
	Servers    []Server
	Lost       []Lost
	Exceptions []Exception
}

// Service is a group of backend servers that answer the same requests.
type Service struct {
	Name string
	// DividedByKey says that each key has one owning server.
	DividedByKey bool
	// Shards is the number of shards of a service divided by key.
	Shards  int
	Classes []Class
	Keys    []KeyDeclaration
}

// Priority orders the classes of traffic.
type Priority uint8

// Priorities, most urgent first.
const (
	Interactive Priority = iota
	Patient
	Bulk
)

// String returns the priority's name in YAML.
func (p Priority) String() string {
	if int(p) < len(priorityNames) {
		return priorityNames[p]
	}
	return fmt.Sprintf("priority %d", uint8(p))
}

var priorityNames = [...]string{"interactive", "patient", "bulk"}

// Class is one kind of traffic of a service.
type Class struct {
	Name       string
	Idempotent bool
	Priority   Priority
	Deadline   time.Duration
}

// KeyDeclaration pins one key to a server.
type KeyDeclaration struct {
	Key    string
	Server string
}

// Server is a backend server.
type Server struct {
	Name    string
	Service string
	Address string // IP:port.
	Region  string
	Zone    string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Connections is the number of connections that the server accepts.
	Connections int
	// ChecksGrants says that the server verifies who gives it an order.
	ChecksGrants bool
	// Draining says that the server is leaving: it gets no new work.
	Draining bool
}

// LostKind is the kind of thing that an operator declared lost.
type LostKind string

// Kinds of things that can be declared lost.
const (
	LostServer LostKind = "server"
	LostVM     LostKind = "vm"
	LostZone   LostKind = "zone"
	LostRegion LostKind = "region"
)

// Lost is an operator's written word that something is gone for good, so that
// what it owned or granted may be moved without its own word.
type Lost struct {
	Kind   LostKind
	Name   string
	Reason string
}

// Defaults apply to the whole fleet.
type Defaults struct {
	GrantTimeToLive time.Duration
	RenewInterval   time.Duration
	// ClockRateMargin is the greatest rate error of a clock, in parts of a million.
	ClockRateMargin int
	MaxAttempts     int
	// RetryBudget is the share of recent successes that may be spent on retries, in percent.
	RetryBudget    int
	QueueLimit     int           // Requests of each class that wait for a server.
	BulkFloor      int           // Least share of a server's slots for bulk, in percent.
	StopLimit      time.Duration // How long a stopping daemon waits for requests in flight.
	HoldTime       time.Duration // Least time between two moves of one unit.
	MovesPerMinute int           // Most planned moves a minute for each service.
	HotKeyShare    int           // Share of a service's load from which a key is isolated, in permille.
	MaxBodyBytes   int64
	LinkBulkRate   int64 // Bytes a second of bulk over the link between regions, for each daemon.
}

// Exception overrides defaults for a service, class or server, with a reason.
type Exception struct {
	Service string
	Class   string
	Server  string
	Set     []Assignment
	Reason  string
	// Until is when the operator wants to look at the exception again; zero: no
	// end. An exception past it stays in force until an operator removes it.
	Until time.Time
}

// Assignment is the value that an exception gives to one field of Defaults.
type Assignment struct {
	Field Field
	// Value is in the unit of Field.Kind.
	Value int64
}

// Settings are what one process is told.
type Settings struct {
	VM     string
	Region string
	Zone   string
	// CallerAddress is the IP:port that the balancer sends callers to.
	CallerAddress string
	// PeerAddress is the IP:port that other VMs speak to.
	PeerAddress string
	// OperatorAddress is the IP:port of the operator interface.
	OperatorAddress string
	// OperatorToken is the shared secret of the operator interface.
	OperatorToken string
	// PeerToken is the shared secret between the VMs of the fleet.
	PeerToken string
	// PlatformAddress is the IP:port of the platform's service.
	PlatformAddress string
	Limits          Limits
	LogLevel        LogLevel
}

// Limits bound what one process accepts on each of its listeners.
type Limits struct {
	MaxBodyBytes       int64
	ConcurrentRequests int
	HeaderBytes        int
	ReadHeaderTimeout  time.Duration
	ReadTimeout        time.Duration
	IdleTimeout        time.Duration
}

// LogLevel is the least severity that a process logs.
type LogLevel string

// Levels, most detailed first.
const (
	LogDebug LogLevel = "debug"
	LogInfo  LogLevel = "info"
	LogWarn  LogLevel = "warn"
	LogError LogLevel = "error"
)

// Error is a fault in a file. Line is 0 where the whole file is meant.
type Error struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Field  string `json:"field"`
	Reason string `json:"reason"`
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Reason)
}
