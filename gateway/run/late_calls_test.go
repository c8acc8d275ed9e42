package run

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/port"
	"guavacrank.example/kvstore"
)

// lateStart is how long after their decisions calls start.
const lateStart = 4 * time.Second

// contextGrantor passes on the contexts of calls and whether they had ended.
type contextGrantor struct {
	port.Grantor
	ends chan error
}

func (c contextGrantor) Grant(ctx context.Context, _ string, _ port.Grant) (port.Connection, error) {
	c.ends <- ctx.Err()
	return 0, errors.New("not sent")
}

func (c contextGrantor) Release(ctx context.Context, _ string, _ port.Release) (string, error) {
	c.ends <- ctx.Err()
	return "", errors.New("not sent")
}

// machineWithGrants returns a machine that asks for the first grant of all keys.
func machineWithGrants(now time.Duration) *keys.Machine {
	m := keys.NewMachine(keys.Options{Service: "s", Self: keys.Leader{VM: "self", Incarnation: "self"}, GrantTTL: grantTTL, MaxGrantTTL: maxGrantTTL, PredecessorTimeout: predecessorTimeout})
	servers := []model.Server{{ID: "i-0", Born: 1000, Service: "s", Address: "i-0:1", Slots: 4}}
	m.Lead(now-4*time.Second, 1)
	m.StepServers(now-4*time.Second, servers, true)
	m.StepRead(now-4*time.Second, nil, kvstore.Position{Era: 1})
	m.StepConsulted(now-4*time.Second, keys.Consultation{Confirmed: true})
	m.Tick(now - 4*time.Second)
	m.Ready()
	m.Tick(now - time.Second)
	write := m.Ready().Write
	m.StepWritten(now, write.Page.WriteID, kvstore.Position{Era: 1, Version: 2}, nil)
	m.Tick(now)
	return m
}

func TestCallsThatStartLateKeepTheDeadlineOfTheirDecision(t *testing.T) {
	g := NewWithT(t)
	l := newRestorationLoop(t)
	decidedAt := l.clock()
	l.clock = func() time.Duration { return decidedAt + lateStart } // The VM was frozen after the decision.
	ends := make(chan error, 2)
	l.grantor = contextGrantor{ends: ends}
	l.startCalls("s", machineWithGrants(decidedAt), decidedAt)
	g.Eventually(ends).Should(Receive(MatchError(context.DeadlineExceeded)))
	l.release("s", keys.ReleaseCall{}, decidedAt+lateStart)
	g.Expect(ends).To(Receive(MatchError(context.DeadlineExceeded)))
}
