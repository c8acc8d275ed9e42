package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"guavacrank.example/backend/fence"
)

// run runs an admitted request, records it and frees its slot.
func (p *process) run(caller context.Context, request request) Cancellation {
	position := p.options.Records.begin(Run{
		Server:    p.options.Name,
		Service:   p.options.Service,
		Boot:      p.fence.Boot(),
		RequestID: request.id,
		CallerID:  request.callerID,
		Attempt:   request.attempt,
		Unit:      request.unit,
		HasUnit:   request.hasUnit,
		Epoch:     request.epoch,
		Key:       request.key,
		Class:     request.class,
		Start:     p.options.Clock(),
		Granted:   p.options.ChecksGrants,
	})
	p.publishReports()
	cancelled := p.work(caller, request)
	p.release(request)
	p.options.Records.end(position, p.endOf(request, cancelled), cancelled)
	p.publishReports()
	return cancelled
}

// endOf returns when a run that ends now did its last work: a run cut off with
// its grant did nothing after the grant ran out, also if the server was frozen.
func (p *process) endOf(request request, cancelled Cancellation) time.Duration {
	now := p.options.Clock()
	if cancelled != CancelledGrant {
		return now
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(now, time.Duration(request.grant.ExpiresAt())*time.Millisecond)
}

func (p *process) release(request request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy--
	if p.options.ChecksGrants {
		p.fence.End(request.unit, request.epoch)
	}
}

// work takes the service time, unless the run is cut off first.
func (p *process) work(caller context.Context, request request) Cancellation {
	end := p.options.Clock() + p.serviceTime(request)
	for {
		p.gate.pass()
		if cancelled := p.cancellation(caller, request); cancelled != "" {
			return cancelled
		}
		left := end - p.options.Clock()
		if left <= 0 {
			return ""
		}
		p.sleep(caller, p.untilCheck(request, left))
	}
}

// cancellation returns why a run must be cut off now, or nothing.
func (p *process) cancellation(caller context.Context, request request) Cancellation {
	now := p.options.Clock()
	switch {
	case p.killed.Err() != nil:
		return CancelledKill
	case request.grant != nil && !p.grantValid(request.grant, now):
		return CancelledGrant
	case caller.Err() != nil:
		return CancelledCaller
	case request.deadline != 0 && now >= request.deadline:
		return CancelledDeadline
	default:
		return ""
	}
}

func (p *process) grantValid(grant *fence.Grant, now time.Duration) bool {
	p.mu.Lock() // Renewals change the grant.
	defer p.mu.Unlock()
	return grant.Valid(now.Milliseconds())
}

// untilCheck returns the time until the run ends or may have to be cut off.
func (p *process) untilCheck(request request, left time.Duration) time.Duration {
	now := p.options.Clock()
	if request.deadline != 0 {
		left = min(left, request.deadline-now)
	}
	if request.grant != nil {
		p.mu.Lock()
		left = min(left, time.Duration(request.grant.ExpiresAt())*time.Millisecond-now)
		p.mu.Unlock()
	}
	return left
}

// sleep waits for d, the caller's going or the kill.
func (p *process) sleep(caller context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-caller.Done():
	case <-p.killed.Done():
	}
}

func (p *process) serviceTime(request request) time.Duration {
	taken := p.options.ServiceTime(request.class, request.key)
	if p.options.Clock()-p.started < p.options.ColdStart {
		taken *= time.Duration(p.options.ColdFactor)
	}
	return taken + p.server.Faults().RunDelay
}

// answer sends the answer, or what a fault makes of it.
func (p *process) answer(w http.ResponseWriter, r *http.Request, request request) {
	p.sleep(r.Context(), p.server.Faults().AnswerDelay)
	body := p.answerBody(request)
	switch {
	case p.server.takeFault(func(f *Faults) *int { return &f.Swallow }):
		p.swallow(r.Context())
	case p.server.takeFault(func(f *Faults) *int { return &f.Reset }):
		reset(w)
	case p.server.takeFault(func(f *Faults) *int { return &f.Truncate }):
		truncate(w, body)
	default:
		setAnswerHeaders(w, len(body))
		_, _ = w.Write(body) // The connection is gone if it fails.
	}
}

func (p *process) answerBody(request request) []byte {
	var body bytes.Buffer
	_ = json.NewEncoder(&body).Encode(Answer{ // Strings and numbers always encode.
		RequestID: request.id,
		CallerID:  request.callerID,
		Key:       request.key,
		Server:    p.options.Name,
		Attempt:   request.attempt,
		Unit:      request.unit,
		Epoch:     request.epoch,
		Padding:   strings.Repeat(".", p.options.AnswerBytes(request.class)),
	})
	return body.Bytes()
}

func setAnswerHeaders(w http.ResponseWriter, length int) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(length))
}

// swallow sends nothing until the caller goes.
func (p *process) swallow(caller context.Context) {
	select {
	case <-caller.Done():
	case <-p.killed.Done():
	}
	panic(http.ErrAbortHandler)
}

// truncate announces the whole answer and sends half of it.
func truncate(w http.ResponseWriter, body []byte) {
	setAnswerHeaders(w, len(body))
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// reset sends a TCP reset in place of the answer.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if gated, ok := conn.(*gatedConn); ok {
		if tcp, ok := gated.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // Close then sends a reset.
		}
	}
	_ = conn.Close()
}
