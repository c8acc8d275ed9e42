// Package demo runs the whole system in one process: the in-memory stand-in of
// the platform's service, served over HTTP, stand-in backend servers, and
// daemons, all on loopback ports. It drives bounded load, causes faults, and
// judges the outcome by the stand-ins' own records, not by the router's word.
package demo

import (
	"io"
	"time"

	"go.uber.org/zap"
)

// Defaults of Options.
const (
	DefaultVMs    = 3
	DefaultRate   = 500 // Requests a second.
	DefaultLength = 10 * time.Second
)

const (
	// warmUp bounds the wait until every unit has an owner and is served.
	warmUp = 30 * time.Second
	// recovery is how long after a fault's end it still explains an outage of a key.
	recovery = 5 * time.Second
	// leaveTime is the time after which a draining server gets no new work.
	leaveTime = 3 * time.Second
	// settle is how long the demo waits after the load for late runs.
	settle = 500 * time.Millisecond
	// vmListLag is the age of the platform's list of VMs.
	vmListLag = 3 * time.Second
	// operatorToken and peerToken are secrets of this process only.
	operatorToken = "demo-operator-token"
	peerToken     = "demo-peer-token-of-the-fleet"
)

// LoadOptions configure the load.
type LoadOptions struct {
	// Rate is the number of requests a second, without probes.
	Rate int
	// Seed makes the choice of keys and classes the same in each run.
	Seed uint64
}

// Options configure a run. Zero values take the defaults.
type Options struct {
	// Name and Configuration are the file to apply; the servers' addresses are
	// replaced by those of the stand-ins.
	Name          string
	Configuration []byte
	VMs           int
	// Length of the load. Without load: how long the system stays up, zero until
	// the context ends.
	Length time.Duration
	// Load drives requests; faults need it.
	Load   bool
	Faults []Fault
	LoadOptions
	// Progress receives lines for people to read; may be nil.
	Progress io.Writer
	// Logger receives the daemons' numbered events; may be nil.
	Logger *zap.Logger
}

func (o Options) withDefaults() Options {
	if o.VMs <= 0 {
		o.VMs = DefaultVMs
	}
	if o.Rate <= 0 {
		o.Rate = DefaultRate
	}
	if o.Load && o.Length <= 0 {
		o.Length = DefaultLength
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return o
}
