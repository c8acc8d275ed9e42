package run

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/port"
	"guavacrank.example/kvstore"
	"guavacrank.example/traffic/elapsed"
)

// startCalls starts the calls on which a state machine decided at a time. The timeouts of
// grants and releases run from then: a VM that is slow, frozen or suspended must not send them
// when later leaders count on their having arrived.
func (l *loop) startCalls(service string, machine *keys.Machine, decidedAt time.Duration) {
	ready := machine.Ready()
	if ready.Read {
		go l.readPage(service)
	}
	if ready.Write != nil {
		go l.writePage(service, *ready.Write)
	}
	if ready.Consult {
		l.consultation.waiting[service] = true
	}
	for _, call := range ready.Grants {
		go l.grant(service, call, decidedAt+keys.CallTimeout)
	}
	for _, call := range ready.Releases {
		if call.Relayed {
			l.startRelayed(service, call, decidedAt+call.Timeout)
		} else {
			go l.release(service, call, decidedAt+call.Timeout)
		}
	}
	for _, call := range ready.Probes {
		if !l.keepProbeAway(machine, call) {
			go l.probe(service, call)
		}
	}
}

// probe asks for the identity of the server at an address.
func (l *loop) probe(service string, call keys.ProbeCall) {
	ctx, cancel := context.WithTimeout(l.ctx, keys.CallTimeout)
	defer cancel()
	current, _ := l.views.Load()
	id, err := l.grantor.Identify(ctx, call.Address, current.Configuration.Services[service].HealthPath)
	l.deliver(probeDone{service, call, id, err})
}

func (p probeDone) apply(l *loop) {
	if machine := l.machines[p.service]; machine != nil {
		machine.StepProbed(l.clock(), p.call, p.id, noListener(p.err))
	}
	cause := ""
	if p.err != nil {
		cause = p.err.Error()
	}
	l.log.Event(event.ServerProbed, cause, zap.String("service", p.service), zap.String("server", p.call.Incarnation.ID), zap.String("named", p.id))
}

func (l *loop) readPage(service string) {
	entry, err := l.store.Get(l.ctx, pagePrefix+service)
	l.deliver(pageRead{service, entry, err})
}

func (l *loop) writePage(service string, write keys.PageWrite) {
	value, err := write.Page.Encode()
	if err != nil {
		err = &kvstore.Error{Op: "encode", Key: service, Kind: kvstore.KindInvalid, Err: err}
		l.deliver(pageWritten{service: service, writeID: write.Page.WriteID, err: err})
		return
	}
	position, err := l.store.CompareAndSwap(l.ctx, pagePrefix+service, write.Expected, value, 0)
	l.deliver(pageWritten{service, write.Page.WriteID, position, err, value})
}

// grant sends a grant by a deadline of the loop's clock.
func (l *loop) grant(service string, call keys.GrantCall, deadline time.Duration) {
	ctx, cancel := elapsed.WithDeadline(l.ctx, l.clock, deadline)
	defer cancel()
	connection, err := l.grantor.Grant(ctx, call.Address, call.Grant)
	l.deliver(grantDone{service, call, grantOutcome(err), connection, err})
}

// noListener says whether a call failed because its connection was refused.
func noListener(err error) bool {
	var notSent *port.NotSentError
	return errors.As(err, &notSent) && notSent.NoListener
}

func grantOutcome(err error) keys.Outcome {
	var fence *port.FenceError
	var other *port.OtherServerError
	var notSent *port.NotSentError
	switch {
	case err == nil:
		return keys.Accepted
	case errors.As(err, &fence):
		return keys.FenceRefused
	case errors.As(err, &other):
		return keys.OtherServer
	case errors.As(err, &notSent) && notSent.ConnectionEnded:
		return keys.ConnectionEnded
	case noListener(err):
		return keys.NoListener
	case errors.As(err, &notSent) && notSent.Unreachable:
		return keys.Unreachable
	case errors.As(err, &notSent):
		return keys.NotSent
	case errors.Is(err, context.DeadlineExceeded):
		return keys.TimedOut
	default:
		return keys.Disconnected
	}
}

// release sends a release by a deadline of the loop's clock.
func (l *loop) release(service string, call keys.ReleaseCall, deadline time.Duration) {
	ctx, cancel := elapsed.WithDeadline(l.ctx, l.clock, deadline)
	defer cancel()
	handover, err := l.callRelease(ctx, service, call)
	l.deliver(releaseDone{service: service, call: call, handover: handover, err: err})
}

// callRelease sends a release. A server refuses none: if the process at its address does, it is
// asked which server it is.
func (l *loop) callRelease(ctx context.Context, service string, call keys.ReleaseCall) (handover string, err error) {
	handover, err = l.grantor.Release(ctx, call.Address, call.Release)
	var refused *port.RefusedError
	if !errors.As(err, &refused) {
		return handover, err
	}
	current, _ := l.views.Load()
	id, identifyErr := l.grantor.Identify(ctx, call.Address, current.Configuration.Services[service].HealthPath)
	switch {
	case identifyErr != nil:
		return "", errors.Join(err, identifyErr)
	case id != "" && id != call.Server:
		return "", &port.OtherServerError{Address: call.Address, Server: call.Server}
	}
	return "", err
}

func releaseOutcome(err error) keys.ReleaseOutcome {
	var other *port.OtherServerError
	var refused *port.RefusedError
	switch {
	case err == nil:
		return keys.Released
	case errors.As(err, &other):
		return keys.HolderEnded
	case noListener(err):
		return keys.ReleaseNoListener
	case errors.As(err, &refused):
		return keys.ReleaseRefused
	default:
		return keys.ReleaseUnanswered
	}
}

func (p pageRead) apply(l *loop) {
	machine := l.machines[p.service]
	if machine == nil {
		return
	}
	now := l.clock()
	era := max(p.entry.Era, kvstore.EraOf(p.err))
	l.enterEra(era)
	switch {
	case p.err == nil:
		page, err := keys.Decode(p.entry.Value)
		if err != nil {
			l.ignoreRecord(p.entry, err)
			machine.StepReadFailed(now)
			return
		}
		machine.StepRead(now, page, kvstore.Position{Era: era, Version: p.entry.Version})
		l.applyPage(p.service, p.entry.Value) // Members that lack it get it with the response to their next report.
	case kvstore.IsKind(p.err, kvstore.KindNotFound):
		machine.StepRead(now, nil, kvstore.Position{Era: era})
	default:
		l.trackStoreCall("read page", p.err)
		machine.StepReadFailed(now)
	}
}

func (p pageWritten) apply(l *loop) {
	machine := l.machines[p.service]
	if machine == nil {
		return
	}
	era := resultEra(p.position, p.err)
	l.enterEra(era)
	machine.StepWritten(l.clock(), p.writeID, p.position, p.err)
	if p.err != nil {
		l.log.Event(event.KeysPageNotWritten, p.err.Error(), zap.String("service", p.service))
		return
	}
	l.logPageWritten(p, machine.Page())
	if era > l.term.Era {
		return // The store was restored meanwhile.
	}
	previous := l.pages[p.service]
	l.applyPage(p.service, p.value)
	if next := l.pages[p.service]; next != previous {
		l.logUnfenced(p.service, pageOf(previous), next.page)
		l.broadcastPage(p.service, previous, next)
	}
}

// logPageWritten logs a confirmed page with the number of its ranges, and of those that are
// changing owner.
func (l *loop) logPageWritten(p pageWritten, page *keys.Page) {
	ranges, moving, movingKeys := 0, 0, 0
	if page != nil {
		ranges = len(page.Ranges)
		moving, movingKeys = page.Moving()
	}
	l.log.Event(event.KeysPageWritten, "", zap.String("service", p.service), zap.Uint64("era", uint64(p.position.Era)),
		zap.Uint64("record", uint64(p.position.Version)), zap.Int("bytes", len(p.value)),
		zap.Int("ranges", ranges), zap.Int("moving", moving), zap.Int("moving_keys", movingKeys))
}

func (g grantDone) apply(l *loop) {
	if machine := l.machines[g.service]; machine != nil {
		machine.StepGranted(l.clock(), g.call, g.outcome, g.connection)
	}
	if g.err == nil && g.call.First {
		l.log.Event(event.KeysGranted, "", zap.String("service", g.service), zap.String("server", g.call.Incarnation.ID), zap.String("address", g.call.Address),
			zap.Uint16("from", g.call.From), zap.Uint16("to", g.call.To), zap.Uint64("fence", g.call.Fence), zap.Uint64("connection", uint64(g.connection)))
	}
	if g.err != nil {
		l.log.Event(event.GrantFailed, g.err.Error(), zap.String("service", g.service), zap.String("server", g.call.Incarnation.ID),
			zap.Uint16("from", g.call.From), zap.Uint16("to", g.call.To), zap.Uint64("fence", g.call.Fence))
	}
}

func (r releaseDone) apply(l *loop) {
	if machine := l.machines[r.service]; machine != nil {
		machine.StepReleased(l.clock(), r.call, r.outcome(), r.handover)
	}
	if r.err != nil && r.relayed == 0 && r.call.Fencing {
		return // It is repeated several times a second.
	}
	cause := ""
	if r.err != nil {
		cause = r.err.Error()
	}
	l.log.Event(event.ReleaseEnded, cause, zap.String("service", r.service), zap.String("server", r.call.Incarnation.ID),
		zap.Uint16("from", r.call.From), zap.Uint16("to", r.call.To), zap.Uint64("fence", r.call.Fence), zap.Bool("fencing", r.call.Fencing), zap.Int("relayed", r.relayed), zap.Bool("handover", r.handover != ""))
}

// pageOf returns the page of a version, or nil.
func pageOf(version *versionedPage) *keys.Page {
	if version == nil {
		return nil
	}
	return version.page
}

// logUnfenced logs the differences between the servers that two consecutive pages list as
// not yet fenced.
func (l *loop) logUnfenced(service string, before, after *keys.Page) {
	var earlier []keys.UnfencedKeys
	if before != nil {
		earlier = before.Unfenced
	}
	l.logServers(event.ServerUnfenced, service, after.Unfenced, earlier)
	l.logServers(event.ServerFenced, service, earlier, after.Unfenced)
}

// logServers logs an event for each of the keys that others lacks.
func (l *loop) logServers(number event.Number, service string, unfenced, others []keys.UnfencedKeys) {
	for _, u := range unfenced {
		if !slices.Contains(others, u) {
			l.log.Event(number, "", zap.String("service", service), zap.String("server", u.ID), zap.String("address", u.Address), zap.Uint16("from", u.From), zap.Uint16("to", u.To))
		}
	}
}
