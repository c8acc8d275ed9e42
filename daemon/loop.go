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
	// inputBuffer is the number of inputs that may wait for the control goroutine.
	inputBuffer = 1024
	// grantTimeout bounds one order to a backend server.
	grantTimeout = 500 * time.Millisecond
	// controlKind marks messages between control planes.
	controlKind = "control"
)

// loop is the one goroutine that owns the control plane's state. Everything
// else reaches it through inputs and inspections.
type loop struct {
	machine *control.Machine
	inputs  chan control.Input
	inspect chan func(*control.Machine)
	clock   func() time.Duration
	pages   *pages.Client
	servers *client.Client
	fleet   *fleet.Manager
	events  *eventlog.Log
	// publish hands a changed routing to traffic.
	publish func(*control.Machine)
	// released is closed once a requested stop has handed over every term.
	released    chan struct{}
	releaseOnce sync.Once
	calls       sync.WaitGroup
}

// run owns the machine until ctx ends, then waits for the calls in flight.
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
			l.step(input)
		case look := <-l.inspect:
			look(l.machine)
			continue
		}
		l.machine.Tick(l.clock())
		l.carryOut(ctx, l.machine.Ready())
	}
}

// step feeds one input and those that wait behind it.
func (l *loop) step(input control.Input) {
	l.machine.Step(l.clock(), input)
	for range len(l.inputs) {
		l.machine.Step(l.clock(), <-l.inputs)
	}
}

// feed queues an input. It gives up when the context ends.
func (l *loop) feed(ctx context.Context, input control.Input) {
	select {
	case l.inputs <- input:
	case <-ctx.Done():
	}
}

// look runs a function on the control goroutine and waits for it. It reports
// whether it ran before the context ended.
func (l *loop) look(ctx context.Context, see func(*control.Machine)) bool {
	done := make(chan struct{})
	wrapped := func(m *control.Machine) {
		defer close(done)
		see(m)
	}
	select {
	case l.inspect <- wrapped:
	case <-ctx.Done():
		return false
	}
	<-done
	return true
}

// carryOut starts everything that the machine wants done. No call blocks the
// control goroutine.
func (l *loop) carryOut(ctx context.Context, ready control.Ready) {
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
		l.releaseOnce.Do(func() { close(l.released) })
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
		l.reportUnreadable(request.Service, err)
		return
	}
	page.Request = request.Request
	l.feed(ctx, page)
}

func (l *loop) reportUnreadable(service string, err error) {
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
	answer := control.GrantAnswered{Server: send.Server, Sequence: send.Order.Sequence}
	bounded, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	if send.ChecksGrants {
		granted, err := l.servers.Grant(bounded, send.Address, send.Order)
		answer.Reached = err == nil
		answer.Answer = granted
	} else {
		_, err := l.servers.Health(bounded, send.Address)
		answer.Reached = err == nil
	}
	l.feed(ctx, answer)
}

func (l *loop) send(outbound control.Outbound) {
	payload, err := json.Marshal(outbound.Message)
	if err != nil {
		return
	}
	l.fleet.Send(outbound.To, controlKind, payload)
}
