package dispatch

import (
	"time"

	"guavacrank.example/gateway/availability"
	"guavacrank.example/gateway/balance"
	"guavacrank.example/gateway/homes"
	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/view"
	"guavacrank.example/traffic/verdict"
)

// ownerState says whether the owner of a request's key can get the request.
type ownerState uint8

const (
	ownerUnknown    ownerState = iota // The key has no owner.
	ownerGone                         // The owner takes no requests, or another server is at its address.
	ownerAway                         // The route does not allow the owner's region.
	ownerMoving                       // Earlier holders may still have the key.
	ownerLeft                         // The owner has said that it leaves.
	ownerBackingOff                   // The owner wants no requests for a time.
	ownerLostKeys                     // The owner has refused requests for its keys.
	ownerTooSlow                      // The owner is not expected to respond in time.
	ownerTooLong                      // This VM stops before the owner is expected to respond.
	ownerReady
)

// findOwner returns the range of the request's key, its owner and whether that can get the
// request. The range and the owner are nil if unknown. It changes nothing.
func (c *call) findOwner(now time.Duration, service *view.Service) (*keys.Range, *balance.Server, ownerState) {
	if service.Page == nil {
		return nil, nil, ownerUnknown
	}
	r := service.Page.Find(c.request.Head.Key)
	if r == nil {
		return nil, nil, ownerUnknown
	}
	server := service.Owners[r.Owner.Incarnation]
	switch {
	case server == nil || server.Replaced():
		return r, server, ownerGone
	case !homes.Allows(c.currentRoute(), server.Region):
		return r, server, ownerAway
	case len(r.Prior) > 0:
		return r, server, ownerMoving
	}
	return r, server, c.stateOf(now, server)
}

// stateOf returns whether an owner that has the request's key can get the request.
func (c *call) stateOf(now time.Duration, server *balance.Server) ownerState {
	switch server.Availability.Decide(now, c.request.Arrived) {
	case availability.Left:
		return ownerLeft
	case availability.BackingOff:
		return ownerBackingOff
	}
	expected := balance.ExpectedLatency(now, server)
	switch {
	case server.LostKeys(now):
		return ownerLostKeys
	case expected > c.timeLeft():
		return ownerTooSlow
	case !c.mayStart(expected):
		return ownerTooLong
	default:
		return ownerReady
	}
}

// code returns the code of a request that ends because of the state.
func (s ownerState) code() verdict.Code {
	switch s {
	case ownerBackingOff:
		return verdict.CodeServerBackoff
	case ownerTooSlow:
		return verdict.CodeTooLate
	case ownerTooLong:
		return verdict.CodeStopping
	default:
		return verdict.CodeNoOwner
	}
}

// reason says what keeps a request from the owner.
func (s ownerState) reason() string {
	return [...]string{
		ownerUnknown:    "the key has no owner",
		ownerGone:       "the owner takes no requests: it is gone, draining, evacuated or replaced",
		ownerAway:       "the owner stands in a region that the route does not allow",
		ownerMoving:     "the key changes owner: earlier holders may still have it",
		ownerLeft:       "the owner has said that it leaves",
		ownerBackingOff: "the owner wants no requests for a time",
		ownerLostKeys:   "the owner has refused requests for its keys",
		ownerTooSlow:    "the owner is not expected to respond in time",
		ownerTooLong:    "this VM stops before the response is expected",
		ownerReady:      "the owner takes requests",
	}[s]
}
