// Package daemon assembles the packages of guavacrank into the program that runs
// on every entry VM.
//
// One goroutine (loop) owns the state of the control plane. The request path
// reads immutable snapshots of it. The fleet manager delivers documents, members
// and messages of other VMs, which become inputs of the control plane.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"guavacrank.example/backend/client"
	"guavacrank.example/config"
	"guavacrank.example/control"
	"guavacrank.example/daemon/eventlog"
	"guavacrank.example/daemon/metrics"
	"guavacrank.example/daemon/operator"
	"guavacrank.example/daemon/pages"
	"guavacrank.example/daemon/revision"
	"guavacrank.example/event"
	"guavacrank.example/fleet"
	"guavacrank.example/kvstore"
	"guavacrank.example/traffic/elapsed"
	"guavacrank.example/traffic/front"
	"guavacrank.example/traffic/once"
	"guavacrank.example/traffic/route"
)

// DefaultShutdownDelay is how long a stopping daemon continues to accept requests
// after its health check starts to fail, so that the balancer detects it first.
const DefaultShutdownDelay = 2 * time.Second

// Options configures a Daemon.
type Options struct {
	Settings config.Settings
	// Store is the platform's store.
	Store kvstore.Store
	// Logger writes the numbered events.
	Logger *zap.Logger
	// Build identifies the build in responses to operators.
	Build string
	// Incarnation is unique for each start of the process.
	Incarnation string
	// Listeners are the already bound addresses; nil binds those of the settings.
	// The daemon closes them.
	Listeners *Listeners
	// ShutdownDelay is how long a stopping daemon continues to accept requests;
	// zero means DefaultShutdownDelay.
	ShutdownDelay time.Duration
}

// Daemon is one running router.
type Daemon struct {
	options   Options
	events    *eventlog.Log
	publisher *route.Publisher
	front     *front.Handler
	fleet     *fleet.Manager
	loop      *loop
	operator  *operator.Server
	listeners *Listeners

	active    atomic.Pointer[activeConfiguration]
	members   atomic.Pointer[[]fleet.Member]
	routing   atomic.Pointer[control.Routing]
	status    atomic.Pointer[control.Status]
	electors  electors
	refresher pageRefresher
	stopping  atomic.Bool
	// wasReady is set once the daemon was able to route, and is never reset.
	wasReady atomic.Bool
	// routingChanged is signaled after a routing is published.
	routingChanged chan struct{}
	kill           context.CancelFunc
	killed         context.Context
}

// activeConfiguration is the configuration in force on this VM.
type activeConfiguration struct {
	revision      config.Revision
	configuration *config.Configuration
}

// New returns a daemon with its addresses bound; nothing runs until Run is
// called. It fails if an address can't be bound or a token is missing.
func New(options Options) (*Daemon, error) {
	if options.ShutdownDelay == 0 {
		options.ShutdownDelay = DefaultShutdownDelay
	}
	d := &Daemon{
		options:        options,
		events:         eventlog.New(options.Logger),
		publisher:      route.NewPublisher(),
		routingChanged: make(chan struct{}, 1),
	}
	d.killed, d.kill = context.WithCancel(context.Background())
	d.members.Store(&[]fleet.Member{})
	d.routing.Store(&control.Routing{})
	d.status.Store(&control.Status{})
	d.front = d.newFront()
	d.loop = d.newLoop()
	var err error
	if d.fleet, err = d.newFleet(); err != nil {
		return nil, err
	}
	d.loop.fleet = d.fleet
	if d.operator, err = d.newOperator(); err != nil {
		return nil, err
	}
	if d.listeners = options.Listeners; d.listeners == nil {
		d.listeners, err = Listen(options.Settings)
	}
	return d, err
}

func (d *Daemon) newFront() *front.Handler {
	return front.New(front.Options{
		Routes:             d.publisher,
		Region:             d.options.Settings.Region,
		Zone:               d.options.Settings.Zone,
		Elapsed:            elapsed.Now,
		OnStaleRoute:       d.refreshPage,
		Events:             func(e event.Event) { d.events.Add(e) },
		PeerToken:          d.options.Settings.PeerToken,
		IdempotencyRecords: once.New(once.Options{Store: d.options.Store, VM: d.options.Settings.VM}),
		Limits: front.Limits{
			Concurrent:  d.options.Settings.Limits.ConcurrentRequests,
			HeaderBytes: d.options.Settings.Limits.HeaderBytes,
		},
	})
}

func (d *Daemon) newLoop() *loop {
	return &loop{
		machine: control.New(control.Options{
			Self:        d.options.Settings.VM,
			Region:      d.options.Settings.Region,
			Zone:        d.options.Settings.Zone,
			Incarnation: d.options.Incarnation,
		}),
		inputs:        make(chan control.Input, inputBuffer),
		inspections:   make(chan func(*control.Machine), inputBuffer),
		clock:         elapsed.Now,
		pages:         pages.New(d.options.Store),
		servers:       client.New(client.Options{Timeout: grantTimeout}),
		events:        d.events,
		publish:       d.publish,
		termsReleased: make(chan struct{}),
	}
}

func (d *Daemon) newFleet() (*fleet.Manager, error) {
	settings := d.options.Settings
	return fleet.New(fleet.Options{
		Self: kvstore.VM{
			Name:   settings.VM,
			Region: settings.Region,
			Zone:   settings.Zone,
			Peer:   settings.PeerAddress,
		},
		Store:    d.options.Store,
		Listener: &fleetListener{ctx: d.killed, daemon: d},
		Token:    settings.PeerToken,
		Clock:    elapsed.Now,
		OnEvent:  func(e event.Event) { d.events.Add(e) },
	})
}

func (d *Daemon) newOperator() (*operator.Server, error) {
	keeper := revision.New(revision.Options{
		Store: d.options.Store,
		OnWritten: func(entry kvstore.Entry) {
			d.fleet.Publish(fleet.Document{Key: entry.Key, Version: uint64(entry.Version), Value: entry.Value})
		},
	})
	return operator.New(operator.Options{
		Token:     d.options.Settings.OperatorToken,
		Source:    &source{daemon: d},
		Revisions: keeper,
		Build:     d.options.Build,
		OnEvent:   func(e event.Event) { d.events.Add(e) },
	})
}

// activate puts a revision into force on this VM. It returns false if the revision
// is not higher than the one in force.
func (d *Daemon) activate(record config.Record, configuration *config.Configuration) bool {
	current := d.active.Load()
	if current != nil && record.Revision <= current.revision {
		return false
	}
	d.active.Store(&activeConfiguration{revision: record.Revision, configuration: configuration})
	return true
}

// publish builds a snapshot of the current state and publishes it to the request
// path. It runs on the control goroutine.
func (d *Daemon) publish(machine *control.Machine) {
	active := d.active.Load()
	if active == nil {
		return
	}
	routing := machine.Routing()
	d.storeStatus(machine)
	members := *d.members.Load()
	snapshot := buildSnapshot(d.options.Settings.VM, active.revision, active.configuration, routing, members)
	d.publisher.Publish(snapshot)
	d.routing.Store(&routing)
	select {
	case d.routingChanged <- struct{}{}:
	default:
	}
	d.fleet.Report(fleet.InForce{Revision: uint64(active.revision)})
}

// storeStatus stores the status for operators. It runs on the control goroutine.
func (d *Daemon) storeStatus(machine *control.Machine) {
	status := machine.Status()
	d.status.Store(&status)
}

// inspect queues a function to run on the control goroutine. If the queue is full,
// the function does not run.
func (d *Daemon) inspect(fn func(*control.Machine)) {
	select {
	case d.loop.inspections <- fn:
	default:
	}
}

// Ready reports whether the daemon accepts callers' requests. Once ready, it stays
// so until it stops.
func (d *Daemon) Ready() bool {
	if d.stopping.Load() {
		return false
	}
	if !d.wasReady.Load() && d.canRoute() {
		d.wasReady.Store(true)
	}
	return d.wasReady.Load()
}

// canRoute reports whether a configuration is in force and the ownership page of
// every service divided by key is known.
func (d *Daemon) canRoute() bool {
	if d.active.Load() == nil || !d.fleet.Ready() {
		return false
	}
	known := make(map[string]bool)
	for _, service := range d.routing.Load().Services {
		known[service.Name] = service.PageVersion != 0
	}
	for _, name := range d.dividedServices() {
		if !known[name] {
			return false
		}
	}
	return true
}

// Kill ends the daemon at once and without handover, as the loss of its VM would.
func (d *Daemon) Kill() { d.kill() }

// Run runs the daemon. When ctx ends it shuts down gracefully: the health check
// fails, terms are handed over, and requests in flight are finished. It returns an
// error if a listener failed or requests were aborted.
func (d *Daemon) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(d.killed)
	defer cancel()
	defer metrics.Register(d.options.Settings.VM, func() any { return d.stats() })()
	group, running := errgroup.WithContext(inner)
	servers := d.newServers()
	d.start(group, running, servers)
	d.events.Add(event.New(event.DaemonStarted, "start", "vm", d.options.Settings.VM))
	var stopErr error
	select {
	case <-ctx.Done():
		stopErr = d.stop(running, servers)
		cancel()
		servers.shutdown()
	case <-running.Done():
		cancel()
		servers.close()
	}
	d.listeners.Close()
	d.front.Close()
	d.loop.servers.Close()
	runErr := group.Wait()
	if errors.Is(runErr, http.ErrServerClosed) || errors.Is(runErr, context.Canceled) {
		runErr = nil
	}
	return errors.Join(stopErr, runErr)
}

// start starts the goroutines of the daemon.
func (d *Daemon) start(group *errgroup.Group, ctx context.Context, servers httpServers) {
	group.Go(func() error { d.loop.run(ctx); return nil })
	group.Go(func() error { return d.fleet.Run(ctx) })
	group.Go(func() error { d.reportLoads(ctx); return nil })
	group.Go(func() error { d.reportIdle(ctx); return nil })
	group.Go(func() error { d.runSweeps(ctx); return nil })
	group.Go(func() error { d.runProbes(ctx); return nil })
	group.Go(func() error { return d.electors.run(ctx, d) })
	group.Go(func() error { d.logReady(ctx); return nil })
	for _, server := range servers {
		group.Go(func() error { return serve(server.server, server.listener) })
	}
}

// serve runs an HTTP server until its listener is closed.
func serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return fmt.Errorf("daemon: listener %s: %w", listener.Addr(), err)
}

// logReady waits until the daemon is ready and logs it.
func (d *Daemon) logReady(ctx context.Context) {
	every(ctx, readyInterval, func() bool {
		if !d.Ready() {
			return true
		}
		d.events.Add(event.New(event.DaemonReady, "a configuration is in force"))
		return false
	})
}

// InFlight returns the number of requests in this VM.
func (d *Daemon) InFlight() int { return d.front.InFlight() }
