package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"guavacrank.example/gateway/balance"
	"guavacrank.example/gateway/homes"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/view"
	"guavacrank.example/traffic/verdict"
)

// sendToBest sends to the best server of a service that is not partitioned.
func (c *call) sendToBest(service *view.Service) bool {
	c.limitedBy = nil
	choice := c.choose(service, c.wasTried)
	if choice.Server == nil && c.passed.lastResort {
		choice = c.chooseLastResort(service)
	}
	switch {
	case choice.Server == nil:
		return c.finish(verdict.NotRun, c.noChoiceCode())
	case choice.ExpectedLatency > c.timeLeft():
		return c.finish(verdict.NotRun, verdict.CodeTooLate)
	case !c.mayStart(choice.ExpectedLatency):
		return c.finish(verdict.NotRun, verdict.CodeStopping)
	case !c.admitToService(c.options.Clock(), service, choice):
		return c.finish(verdict.NotRun, verdict.CodeQueueFull)
	}
	if c.reachedAttempts == 0 && c.request.Route.Kind.Idempotent() && c.request.Route.MaxAttempts > 1 {
		return c.sendHedged(choice)
	}
	return c.send(choice.Server)
}

// noChoiceCode returns why no server was chosen.
func (c *call) noChoiceCode() verdict.Code {
	switch {
	case c.limitedBy != nil:
		return verdict.CodeServerLimit
	case c.passed.onlyBackoff():
		return verdict.CodeServerBackoff
	case len(c.tried) > 0:
		return verdict.CodeBusy
	default:
		return verdict.CodeNoServer
	}
}

// choose returns the best server that takes requests, is not excluded and whose limit
// admits the request.
func (c *call) choose(service *view.Service, excluded func(*balance.Server) bool) balance.Choice {
	now := c.options.Clock()
	c.passed.reset()
	return c.chooseAdmitted(now, service, func(server *balance.Server) bool {
		return c.passOver(now, server) || c.excludes(server, excluded)
	})
}

// chooseLastResort returns the best server that was not tried and may get the request
// if no other server can take it.
func (c *call) chooseLastResort(service *view.Service) balance.Choice {
	now := c.options.Clock()
	return c.chooseAdmitted(now, service, func(server *balance.Server) bool {
		return !c.mayTakeAsLastResort(now, server) || c.wasTried(server)
	})
}

// chooseAdmitted returns the best server in the route's regions that is not excluded and
// whose limit admits the request. Of several cold servers it asks one only, so that what
// warm ones can't take is spread over the cold ones instead of counted as demand for each
// of them.
func (c *call) chooseAdmitted(now time.Duration, service *view.Service, excluded func(*balance.Server) bool) balance.Choice {
	var full []*balance.Server
	route := c.currentRoute()
	coldAsked := false
	for {
		choice := balance.ChooseWithin(now, service.Servers, c.request.Route.LatencyObjective, c.timeLeft(), func(server *balance.Server) bool {
			return !homes.Allows(route, server.Region) || excluded(server) || slices.Contains(full, server) ||
				coldAsked && server.Cold.Active(now)
		}, rand.Uint64())
		if choice.Server == nil || c.admit(choice.Server) {
			return choice
		}
		full = append(full, choice.Server)
		coldAsked = coldAsked || choice.Server.Cold.Active(now)
	}
}

// currentRoute returns the request's route as of the newest configuration, which says to
// which regions the request may be sent, also after another configuration let it in.
func (c *call) currentRoute() *model.Route {
	current, _ := c.options.Views.Load()
	return current.Routes.Current(c.request.Route)
}

// untriedLeft reports whether the route allows servers of a service that were not tried.
func (c *call) untriedLeft(service *view.Service) bool {
	route := c.currentRoute()
	return slices.ContainsFunc(service.Servers, func(server *balance.Server) bool {
		return homes.Allows(route, server.Region) && !c.wasTried(server)
	})
}

func (c *call) wasTried(server *balance.Server) bool {
	for _, tried := range c.tried {
		if tried == server {
			return true
		}
	}
	return false
}
