package dispatch

import (
	"sync"
	"time"
)

const (
	// meanDivisor and deviationDivisor set the weights of a new sample in the mean and
	// the mean deviation, and deviationFactor how many deviations above the mean a
	// duration is expected at most, as for the retransmission timeout of TCP (RFC 6298).
	meanDivisor      = 8
	deviationDivisor = 4
	deviationFactor  = 4
	// maxRoutes limits the routes whose durations are remembered. Beyond it all are
	// learned anew, since those of removed routes are not needed.
	maxRoutes = 4096
)

// duration is an estimate of how long servers take for the requests of a route.
type duration struct{ mean, deviation time.Duration }

// add adds the duration of one request.
func (d *duration) add(sample time.Duration) {
	if d.mean == 0 {
		d.mean, d.deviation = sample, sample/2
		return
	}
	difference := sample - d.mean
	d.mean += difference / meanDivisor
	d.deviation += (difference.Abs() - d.deviation) / deviationDivisor
}

// upperBound returns a duration that few requests exceed, or zero if none is known.
func (d *duration) upperBound() time.Duration { return d.mean + deviationFactor*d.deviation }

// routeKey identifies the requests of a route that go to one service.
type routeKey struct{ route, service string }

// durations are the durations of all routes. They are safe for concurrent use.
type durations struct {
	mu     sync.Mutex
	routes map[routeKey]*duration
}

// add adds the duration of one request.
func (d *durations) add(key routeKey, sample time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.routes == nil || len(d.routes) >= maxRoutes && d.routes[key] == nil {
		d.routes = make(map[routeKey]*duration)
	}
	if d.routes[key] == nil {
		d.routes[key] = &duration{}
	}
	d.routes[key].add(sample)
}

// upperBound returns a duration that few requests exceed, or zero if none is known.
func (d *durations) upperBound(key routeKey) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known := d.routes[key]; known != nil {
		return known.upperBound()
	}
	return 0
}
