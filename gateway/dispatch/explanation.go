package dispatch

import (
	"time"

	"guavacrank.example/traffic/verdict"
)

// Question is a request whose way is asked for without sending it.
type Question struct {
	Host string
	// Path is the raw, undecoded path.
	Path string
	// Key is valid if HasKey is set.
	Key    uint16
	HasKey bool
	// Timeout is how long the caller waits for the response.
	Timeout time.Duration
}

// Explanation says what this VM would do with a request now, and why.
type Explanation struct {
	Configuration uint64 `json:"configuration"`
	// Route is the route of the request, or nil if there is none.
	Route *ExplainedRoute `json:"route"`
	// Reason says why the request goes to no service; empty if it goes to one.
	Reason string `json:"reason,omitempty"`
	// Parts are the services of the route. Each request goes to one of them.
	Parts []ExplainedPart `json:"parts,omitempty"`
	// EvacuatedZones are the availability zones that get no requests.
	EvacuatedZones []string `json:"evacuated_zones,omitempty"`
}

// ExplainedRoute is the route of a request.
type ExplainedRoute struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"prefix"`
	Kind       string `json:"kind"`
	// Regions are those whose servers may get the request; none means all.
	Regions     []string `json:"regions,omitempty"`
	Priority    int      `json:"priority"`
	Objective   float64  `json:"objective_ms"`
	TimeLeft    float64  `json:"time_left_ms"`
	MaxAttempts int      `json:"attempts"`
}

// Ending is what would happen to a request first.
type Ending string

// Endings.
const (
	// Sent: the request is sent to a server.
	Sent Ending = "sent"
	// Drawn: a share of such requests is sent, or those that the server's limit admits. The
	// others are refused.
	Drawn Ending = "drawn"
	// Waits: the request waits for its key, and is refused if that takes too long.
	Waits Ending = "waits"
	// Refused: the request is refused at once.
	Refused Ending = "refused"
)

// ExplainedPart is what happens to the requests that go to one service of the route.
type ExplainedPart struct {
	Service string `json:"service"`
	// Share is the service's share of the route's requests.
	Share  float64 `json:"share"`
	ByKey  bool    `json:"by_key"`
	Ending Ending  `json:"ending"`
	Reason string  `json:"reason"`
	// Sent is the share of such requests that is sent as far as room goes. Limits come after.
	Sent     float64 `json:"sent_fraction"`
	Server   string  `json:"server,omitempty"`
	Expected float64 `json:"expected_ms,omitempty"`
	// Code and RetryAfter are those of a refusal, if there may be one.
	Code       verdict.Code `json:"code,omitempty"`
	RetryAfter float64      `json:"retry_after_ms,omitempty"`

	Range      *ExplainedRange   `json:"range,omitempty"`
	Room       *ExplainedRoom    `json:"room,omitempty"`
	Candidates []ExplainedServer `json:"candidates,omitempty"`
}

// ExplainedRange is the range of a request's key.
type ExplainedRange struct {
	From  uint16 `json:"from"`
	To    uint16 `json:"to"`
	Owner string `json:"owner"`
	// Prior are earlier holders that may still have the keys; one without a name is unknown.
	Prior []string `json:"prior,omitempty"`
}

// ExplainedRoom is the room of the allowed servers by the estimates of all VMs.
type ExplainedRoom struct {
	Throughput float64 `json:"throughput_per_second"`
	Demand     float64 `json:"demand_per_second"`
	InSystem   float64 `json:"in_system"`
	Slots      int     `json:"slots"`
}

// ExplainedServer is a server of the service and what holds it up.
type ExplainedServer struct {
	ID       string `json:"id"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	Distance string `json:"distance"`
	// Learned says that the four fields after it are known.
	Learned     bool    `json:"learned"`
	ServiceTime float64 `json:"service_time_ms"`
	Rate        float64 `json:"rate"`
	Arrival     float64 `json:"arrival"`
	Failures    float64 `json:"failures"`
	// Expected, InFlight and OwnFailures are what this VM alone saw.
	Expected    float64 `json:"own_expected_ms"`
	InFlight    int     `json:"in_flight"`
	OwnFailures float64 `json:"own_failures"`
	// Limit is the rate that the server names, in requests per second, or nil.
	Limit  *float64 `json:"limit,omitempty"`
	Weight float64  `json:"weight"`
	// Share is the share of the requests for the service that the server is chosen for.
	Share float64 `json:"share"`
	// Notes name what keeps requests away from the server.
	Notes []string `json:"notes,omitempty"`
}
