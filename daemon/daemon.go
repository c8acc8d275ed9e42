// Package daemon ties the packages of guavacrank together into the program
// that runs on every entry VM.
//
// One goroutine (loop) owns the control plane. Traffic reads immutable
// snapshots. The fleet's manager brings documents, members and messages, which
// become inputs of the control plane.
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

// DefaultStopNotice is how long a stopping daemon goes on taking requests
// after its health check fails, so that the balancer notices.
const DefaultStopNotice = 2 * time.Second

// Options configure a Daemon.
type Options struct {
	Settings config.Settings
	// Store is the platform's service.
	Store kvstore.Store
	// Logger receives numbered events.
	Logger *zap.Logger
	// Build names the build in answers to operators.
	Build string
	// Incarnation is unique for each start of the process.
	Incarnation string
	// Listeners are bound already; nil binds the addresses of the settings.
	// The daemon closes them.
	Listeners *Listeners
	// StopNotice is DefaultStopNotice if zero.
	StopNotice time.Duration
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

	accepted  atomic.Pointer[inForce]
	peers     atomic.Pointer[[]fleet.Member]
	routing   atomic.Pointer[control.Routing]
	status    atomic.Pointer[control.Status]
	roles     roles
	refreshes refresher
	stopping  atomic.Bool
	// couldRoute is set once the daemon could route, and stays.
	couldRoute atomic.Bool
	// routed is signalled when a routing was published.
	routed chan struct{}
	kill   context.CancelFunc
	killed context.Context
}

// inForce is the configuration that this VM has in force.
type inForce struct {
	revision      config.Revision
	configuration *config.Configuration
}

// New binds the daemon's addresses and returns it; nothing runs until Run. It
// fails if an address can't be bound or a token is missing.
func New(options Options) (*Daemon, error) {
	if options.StopNotice == 0 {
		options.StopNotice = DefaultStopNotice
	}
	d := &Daemon{
		options:   options,
		events:    eventlog.New(options.Logger),
		publisher: route.NewPublisher(),
		routed:    make(chan struct{}, 1),
	}
	d.killed, d.kill = context.WithCancel(context.Background())
	d.peers.Store(&[]fleet.Member{})
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
		inputs:   make(chan control.Input, inputBuffer),
		inspect:  make(chan func(*control.Machine), inputBuffer),
		clock:    elapsed.Now,
		pages:    pages.New(d.options.Store),
		servers:  client.New(client.Options{Timeout: grantTimeout}),
		events:   d.events,
		publish:  d.publish,
		released: make(chan struct{}),
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
		Token:   d.options.Settings.OperatorToken,
		Source:  &source{daemon: d},
		Keeper:  keeper,
		Build:   d.options.Build,
		OnEvent: func(e event.Event) { d.events.Add(e) },
	})
}

// accept brings a higher revision into force. It returns false for a revision
// that is not higher than the one in force.
func (d *Daemon) accept(record config.Record, configuration *config.Configuration) bool {
	current := d.accepted.Load()
	if current != nil && record.Revision <= current.revision {
		return false
	}
	d.accepted.Store(&inForce{revision: record.Revision, configuration: configuration})
	return true
}

// publish hands the newest picture to traffic. It runs on the control goroutine.
func (d *Daemon) publish(machine *control.Machine) {
	accepted := d.accepted.Load()
	if accepted == nil {
		return
	}
	routing := machine.Routing()
	d.keepStatus(machine)
	members := *d.peers.Load()
	snapshot := buildSnapshot(d.options.Settings.VM, accepted.revision, accepted.configuration, routing, members)
	d.publisher.Publish(snapshot)
	d.routing.Store(&routing)
	select {
	case d.routed <- struct{}{}:
	default:
	}
	d.fleet.Report(fleet.InForce{Revision: uint64(accepted.revision)})
}

// keepStatus stores what operators see. It runs on the control goroutine.
func (d *Daemon) keepStatus(machine *control.Machine) {
	status := machine.Status()
	d.status.Store(&status)
}

// inspect runs a function on the control goroutine soon, unless many wait.
func (d *Daemon) inspect(see func(*control.Machine)) {
	select {
	case d.loop.inspect <- see:
	default:
	}
}

// Ready reports whether the daemon takes callers' requests.
func (d *Daemon) Ready() bool {
	if d.stopping.Load() {
		return false
	}
	if !d.couldRoute.Load() && d.canRoute() {
		d.couldRoute.Store(true)
	}
	return d.couldRoute.Load()
}

// canRoute reports whether a configuration is in force and the owners of every
// service divided by key are known.
func (d *Daemon) canRoute() bool {
	if d.accepted.Load() == nil || !d.fleet.Ready() {
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

// Kill ends the daemon at once, without any hand-over, as a lost VM would.
func (d *Daemon) Kill() { d.kill() }

// Run runs the daemon. When ctx ends it stops gracefully: the health check
// fails, terms are handed over, requests in flight are finished. It returns an
// error if a listener failed or requests were cut off.
func (d *Daemon) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(d.killed)
	defer cancel()
	defer metrics.Register(d.options.Settings.VM, func() any { return d.figures() })()
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

// start starts every goroutine of the daemon.
func (d *Daemon) start(group *errgroup.Group, ctx context.Context, servers httpServers) {
	group.Go(func() error { d.loop.run(ctx); return nil })
	group.Go(func() error { return d.fleet.Run(ctx) })
	group.Go(func() error { d.reportLoads(ctx); return nil })
	group.Go(func() error { d.reportSends(ctx); return nil })
	group.Go(func() error { d.sweep(ctx); return nil })
	group.Go(func() error { d.probe(ctx); return nil })
	group.Go(func() error { return d.roles.run(ctx, d) })
	group.Go(func() error { d.awaitReady(ctx); return nil })
	for _, server := range servers {
		group.Go(func() error { return serve(server.server, server.listener) })
	}
}

// serve serves until the listener closes.
func serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return fmt.Errorf("daemon: listener %s: %w", listener.Addr(), err)
}

// awaitReady logs that the daemon became ready.
func (d *Daemon) awaitReady(ctx context.Context) {
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
