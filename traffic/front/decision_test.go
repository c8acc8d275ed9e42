package front

import (
	"context"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/config"
	"guavacrank.example/traffic/queue"
	"guavacrank.example/traffic/route"
	"guavacrank.example/traffic/verdict"
)

// decision returns a function that runs the routing decision of one request:
// find the owner, queue, confirm the route, and record the verdict.
func decision() func() verdict.Code {
	routes := route.NewPublisher()
	s := &route.Service{
		Name: "cards", DividedByKey: true, Shards: 1024,
		Classes: testClasses, DefaultClass: "look", Overrides: map[string]route.Unit{},
	}
	for i := range 10 {
		s.Servers = append(s.Servers, &route.Server{
			Name: "s" + strconv.Itoa(i), Address: "127.0.0.1:1", Slots: 6, Connections: 130, ChecksGrants: true, Home: "a",
		})
	}
	for i := range s.Shards {
		s.Units = append(s.Units, route.Unit{ID: i, Epoch: 1, Server: s.Servers[int(i)%len(s.Servers)]})
	}
	for i := range uint32(1000) {
		s.Overrides["hot"+strconv.Itoa(int(i))] = route.Unit{ID: s.Shards + i, Epoch: 1, Server: s.Servers[0]}
	}
	routes.Publish(&route.Snapshot{Self: "a", Services: map[string]*route.Service{"cards": s}})
	h := New(Options{Routes: routes})
	c := &call{
		service: h.current().services["cards"], class: testClasses["look"], key: "design-4711",
		deadline: h.now() + time.Hour, request: httptest.NewRequest("GET", "/v1/cards/design-4711", nil),
	}
	ctx := context.Background()
	a := &admission{handler: h, call: c}
	return func() verdict.Code {
		to, code := h.choose(h.current(), c)
		if code != "" {
			return code
		}
		a.to, a.gate = to, gateOf(to)
		ticket, decided := a.gate.Enter(ctx, queue.Request{Priority: config.Interactive, Deadline: c.deadline})
		if decided != queue.Admitted {
			return verdict.CodeQueueFull
		}
		c.service.state.units.BeginRequest(to.unit)
		if code := a.confirmRoute(); code != "" {
			return code
		}
		c.service.state.units.Count(to.unit)
		c.service.state.keys.Count(c.key)
		a.sentAt = h.now()
		a.member.stats.BeginRequest()
		a.recordResult(statusResult(200))
		a.gate.Leave(ticket, true)
		a.releaseUnit(false)
		h.record(c, a.sentAt, verdict.Answered, verdict.CodeAnswered)
		return ""
	}
}

func TestDecisionAllocatesNothing(t *testing.T) {
	g := NewWithT(t)
	decide := decision()
	g.Expect(decide()).To(BeEmpty())
	g.Expect(testing.AllocsPerRun(1000, func() { decide() })).To(BeZero())
}

func BenchmarkDecision(b *testing.B) {
	decide := decision()
	b.ReportAllocs()
	for b.Loop() {
		decide()
	}
}
