package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"guavacrank.example/backend/client"
	"guavacrank.example/control"
	"guavacrank.example/daemon/eventlog"
	"guavacrank.example/daemon/pages"
	"guavacrank.example/event"
	"guavacrank.example/fleet"
	"guavacrank.example/kvstore"
)

const (
	// inputBuffer is the capacity of the queues of the control goroutine.
	inputBuffer = 1024
	// grantTimeout bounds one grant or health call to a backend server.
	grantTimeout = 500 * time.Millisecond
	// controlMessageKind is the kind of messages between control planes.
	controlMessageKind = "control"
)

// loop runs the one goroutine that owns the control plane's state. Other
// goroutines reach the state through inputs and inspection functions.
type loop struct {
	machine     *control.Machine
	inputs      chan control.Input
	inspections chan func(*control.Machine)
	clock       func() time.Duration
	pages       *pages.Client
	servers     *client.Client
	fleet       *fleet.Manager
	events      *eventlog.Log
	// publish is called after the routing has changed.
	publish func(*control.Machine)
	// termsReleased is closed once every term has been handed over after a stop
	// request.
	termsReleased chan struct{}
	releaseOnce   sync.Once
	calls         sync.WaitGroup
}

// run drives the control machine until ctx ends, then waits for the calls in flight.
func (l *loop) run(ctx context.Context) {
	ticker := time.NewTicker(control.TickInterval)
	defer ticker.Stop()
	defer l.calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case input := <-l.inputs:
			l.stepQueued(input)
		case fn := <-l.inspections:
			fn(l.machine)
			continue
		}
		l.machine.Tick(l.clock())
		l.execute(ctx, l.machine.Ready())
	}
}

// stepQueued passes an input and all inputs queued after it to the machine.
func (l *loop) stepQueued(input control.Input) {
	l.machine.Step(l.clock(), input)
	for range len(l.inputs) {
		l.machine.Step(l.clock(), <-l.inputs)
	}
}

// feed queues an input, or drops it if the context ends first.
func (l *loop) feed(ctx context.Context, input control.Input) {
	select {
	case l.inputs <- input:
	case <-ctx.Done():
	}
}

// runInspection runs a function on the control goroutine and waits until it returns.
// It reports false if the context ended before the function was queued.
func (l *loop) runInspection(ctx context.Context, fn func(*control.Machine)) bool {
	done := make(chan struct{})
	wrapped := func(m *control.Machine) {
		defer close(done)
		fn(m)
	}
	select {
	case l.inspections <- wrapped:
	case <-ctx.Done():
		return false
	}
	<-done
	return true
}

// execute starts the actions that the machine requests. No call blocks the control
// goroutine.
func (l *loop) execute(ctx context.Context, ready control.Ready) {
	l.events.Add(ready.Events...)
	if ready.RoutingChanged {
		l.publish(l.machine)
	}
	for _, read := range ready.Reads {
		l.start(func() { l.read(ctx, read) })
	}
	for _, write := range ready.Writes {
		l.start(func() { l.write(ctx, write) })
	}
	for _, send := range ready.Grants {
		l.start(func() { l.grant(ctx, send) })
	}
	for _, message := range ready.Messages {
		l.send(message)
	}
	if ready.TermsReleased {
		l.releaseOnce.Do(func() { close(l.termsReleased) })
	}
}

func (l *loop) start(call func()) {
	l.calls.Add(1)
	go func() {
		defer l.calls.Done()
		call()
	}()
}

func (l *loop) read(ctx context.Context, request control.PageReadRequest) {
	page, err := l.pages.Read(ctx, request.Service)
	if err != nil {
		l.logReadError(request.Service, err)
		return
	}
	page.Request = request.Request
	l.feed(ctx, page)
}

func (l *loop) logReadError(service string, err error) {
	if kvstore.IsNotApplied(err) || kvstore.IsUnknown(err) {
		return
	}
	l.events.Add(event.New(event.DaemonBadDocument, err.Error(), "service", service))
}

func (l *loop) write(ctx context.Context, write control.PageWrite) {
	written := l.pages.Write(ctx, write)
	if written.Input.Outcome == control.WriteApplied {
		l.fleet.Publish(fleet.Document{
			Key:     kvstore.PagePrefix + write.Service,
			Version: written.Input.Version,
			Value:   written.Value,
		})
	}
	l.feed(ctx, written.Input)
}

func (l *loop) grant(ctx context.Context, send control.GrantRequest) {
	input := control.GrantAnswered{Server: send.Server, Sequence: send.Order.Sequence}
	callCtx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	if send.ChecksGrants {
		granted, err := l.servers.Grant(callCtx, send.Address, send.Order)
		input.Reached = err == nil
		input.Answer = granted
	} else {
		_, err := l.servers.Health(callCtx, send.Address)
		input.Reached = err == nil
	}
	l.feed(ctx, input)
}

func (l *loop) send(outbound control.Outbound) {
	payload, err := json.Marshal(outbound.Message)
	if err != nil {
		return
	}
	l.fleet.Send(outbound.To, controlMessageKind, payload)
}
