package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"guavacrank.example/gateway/admission"
	"guavacrank.example/gateway/balance"
	"guavacrank.example/gateway/homes"
	"guavacrank.example/gateway/view"
)

// competition is what this VM knows of callers who compete for room: the mix of classes for
// each service, and the time that the callers of each route usually give. It is safe for
// concurrent use.
type competition struct {
	mu       sync.Mutex
	mixes    map[string]*admission.Mix
	patience map[string]*admission.Patience
}

// passed returns how much of the time that callers of a route usually give has passed for
// one that gives the given time.
func (c *competition) passed(route string, left time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.patience == nil || len(c.patience) >= maxRoutes && c.patience[route] == nil {
		c.patience = make(map[string]*admission.Patience)
	}
	if c.patience[route] == nil {
		c.patience[route] = &admission.Patience{}
	}
	return c.patience[route].Observe(left)
}

// fraction counts a request for a service and returns the share of the requests of its class
// that should be sent if a share of all should.
func (c *competition) fraction(now time.Duration, service string, class admission.Class, all float64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mixes == nil || len(c.mixes) >= maxRoutes && c.mixes[service] == nil {
		c.mixes = make(map[string]*admission.Mix)
	}
	if c.mixes[service] == nil {
		c.mixes[service] = &admission.Mix{}
	}
	mix := c.mixes[service]
	mix.Add(now, class)
	return mix.Fraction(class, all)
}

// known returns what fraction returns, as of the requests that were counted before.
func (c *competition) known(service string, class admission.Class, all float64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if mix := c.mixes[service]; mix != nil {
		return mix.Fraction(class, all)
	}
	return all
}

// admitToService reports whether the servers of a service, of which one is chosen, have room
// for the request. A request that was admitted before may go on, and one of whose servers
// nothing is known is admitted.
func (c *call) admitToService(now time.Duration, service *view.Service, choice balance.Choice) bool {
	route := c.currentRoute()
	room := c.roomLike(now, service, choice.Server)
	if room.Throughput == 0 {
		c.admitted = true
		return true
	}
	c.room, c.work = room, choice.ExpectedLatency
	if c.admitted {
		return true
	}
	class := admission.ClassOf(route.Priority, c.waited, room.ResponseTime(c.work), route.LatencyObjective)
	fraction := c.competition.fraction(now, c.request.Service, class, room.Fraction(route.LatencyObjective))
	c.admitted = rand.Float64() < fraction
	if !c.admitted {
		choice.Server.Withhold()
		c.result.Room = &c.room
	}
	return c.admitted
}

// roomLike returns the room at the servers of a service that may get the request as the
// chosen one may: those that are leaving have room only for requests that no other can take.
func (c *call) roomLike(now time.Duration, service *view.Service, chosen *balance.Server) admission.Room {
	route := c.currentRoute()
	decision := chosen.Availability.Decide(now, c.request.Arrived)
	return balance.RoomOf(now, service.Servers, func(server *balance.Server) bool {
		return homes.Allows(route, server.Region) && server.Availability.Decide(now, c.request.Arrived) == decision
	})
}

// returnAfter returns when the caller of a request without room should come back, or otherwise
// if nothing is known of the room.
func (c *call) returnAfter(otherwise time.Duration) time.Duration {
	if c.room.Throughput == 0 {
		return otherwise
	}
	objective := c.request.Route.LatencyObjective
	return admission.RetryAfter(c.room.Drain(objective), c.work, objective, rand.Float64())
}
