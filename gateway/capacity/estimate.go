package capacity

import (
	"hash/fnv"
	"math"
	"strconv"
	"time"

	"guavacrank.example/gateway/model"
)

// ServerKey identifies an incarnation of a server in messages between VMs. Two servers may
// share one in rare cases; they then share an estimate.
type ServerKey uint32

// KeyOf returns the key of an incarnation.
func KeyOf(incarnation model.Incarnation) ServerKey {
	hash := fnv.New32a()
	hash.Write([]byte(incarnation.ID))
	hash.Write(strconv.AppendInt([]byte{'/'}, incarnation.Born, 10))
	return ServerKey(hash.Sum32())
}

const (
	// minValidity is how long an estimate holds in full at least. After its validity its
	// confidence halves every confidenceHalfLife.
	minValidity        = 2 * time.Second
	confidenceHalfLife = time.Second
	// minConfidence is the confidence below which an estimate is not used any more.
	minConfidence = 0.2
)

// Estimate is what all VMs together know of one server.
type Estimate struct {
	Server ServerKey
	// ServiceTime is the mean time that the server needs for a request without a queue.
	ServiceTime time.Duration
	// Rate is the number of requests per second that the server takes before its
	// response times grow, Arrival the number that it gets from all VMs.
	Rate, Arrival float64
	// Demand is Arrival with the requests per second that VMs refused for want of room at
	// the server.
	Demand float64
	// InSystem is the mean number of requests at the server, running and waiting.
	InSystem float64
	// Failures is the share of requests that the server refused or failed.
	Failures float64
	// Confidence is between 0, a guess from the other servers, and 1.
	Confidence float64
}

// Validity returns how long an estimate holds in full if new ones come at the given interval:
// the answer to one report may be lost.
func Validity(interval time.Duration) time.Duration { return max(2*interval, minValidity) }

// Aged returns the estimate with the confidence that remains at the given time after its
// validity, and whether it may still be used.
func (e Estimate) Aged(after time.Duration) (Estimate, bool) {
	if after > 0 {
		e.Confidence *= math.Exp2(-float64(after) / float64(confidenceHalfLife))
	}
	return e, e.Rate > 0 && e.Confidence >= minConfidence
}

// Throughput returns the number of requests per second that the server ends while all that it
// runs at a time is in use.
func (e Estimate) Throughput() float64 {
	return e.Rate / targetUtilization / max(1-e.Failures, minSuccess)
}

// minSuccess is the least share of responses by which Rate was reduced.
const minSuccess = 0.05

// Sum is what all servers of a service take together.
type Sum struct {
	Rate, Arrival, Demand, InSystem float64
	// Servers is the number of servers with an estimate.
	Servers int
}

// Add adds a server's estimate.
func (s *Sum) Add(e Estimate) {
	s.Rate += e.Rate
	s.Arrival += e.Arrival
	s.Demand += e.Demand
	s.InSystem += e.InSystem
	s.Servers++
}
