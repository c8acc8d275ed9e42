package admission

import "time"

const (
	// horizon is the time for which a decision has to hold: until the next estimate shows
	// what it has led to.
	horizon = time.Second
	// queueShare is the share of the latency objective that a request may spend at a server
	// on average.
	queueShare = 0.9
	// minFraction is the least share of the requests that is sent, so that servers that have
	// room again are noticed.
	minFraction = 0.05
)

// Room is what all VMs together know of the room at the servers of a service that a request
// may be sent to.
type Room struct {
	// Throughput is the number of requests per second that the servers end while they are
	// busy, Demand the number that callers send for them.
	Throughput, Demand float64
	// InSystem is the number of requests at the servers, running and waiting.
	InSystem float64
	// Slots is the number of requests that the servers run at a time.
	Slots int
}

// Fraction returns the share of the requests with the given latency objective that should be
// sent. It answers the load of more requests for a service than its servers can serve: those
// are sent that they end within the horizon, and as many more as leave queues that the
// objective bears. Without knowledge of the room all are sent.
func (r Room) Fraction(objective time.Duration) float64 {
	if r.Throughput <= 0 || r.Demand <= 0 || objective <= 0 {
		return 1
	}
	served := r.Throughput * horizon.Seconds()
	demand := r.Demand * horizon.Seconds()
	fraction := (served + r.target(objective) - r.InSystem) / demand
	return min(max(fraction, minFraction), 1)
}

// target returns the number of requests at the servers that the latency objective bears.
func (r Room) target(objective time.Duration) float64 {
	return max(queueShare*objective.Seconds()*r.Throughput, float64(r.Slots))
}

// ResponseTime returns the mean time that a request spends at a server, of which the work
// alone takes the given time.
func (r Room) ResponseTime(work time.Duration) time.Duration {
	if r.Throughput <= 0 {
		return work
	}
	return max(work, time.Duration(r.InSystem/r.Throughput*float64(time.Second)))
}

// Drain returns the time after which the servers have room again if they get no more requests.
func (r Room) Drain(objective time.Duration) time.Duration {
	if r.Throughput <= 0 {
		return 0
	}
	excess := max(r.InSystem-r.target(objective), 0)
	return time.Duration(excess / r.Throughput * float64(time.Second))
}
