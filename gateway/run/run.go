package run

import (
	"context"
	"expvar"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/budget"
	"guavacrank.example/gateway/dispatch"
	"guavacrank.example/gateway/front"
	"guavacrank.example/gateway/linger"
	"guavacrank.example/gateway/logbook"
	"guavacrank.example/gateway/memory"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/gateway/pipeline"
	"guavacrank.example/gateway/port"
	"guavacrank.example/gateway/shutdown"
	"guavacrank.example/gateway/view"
	"guavacrank.example/traffic/metric"
)

// Options configure a Gateway.
type Options struct {
	Settings    *model.Settings
	Store       port.Store
	Records     port.Records
	HeaderCodec port.HeaderCodec
	Grantor     port.Grantor
	// Memory counts the bytes that are held for others. Store and Grantor should use the
	// same account; nil creates one.
	Memory *memory.Account
	// Network is TCP unless a test sets it.
	Network Network
	// Output receives the log.
	Output io.Writer
}

const (
	// memoryLimitPercent is the Go runtime's soft memory limit, as a percentage of
	// the process's memory limit.
	memoryLimitPercent = 70
	// gcPercent is the heap growth that triggers a garbage collection, as in GOGC.
	gcPercent = 40
	// logCloseTimeout is how long the process waits at its end for the log to be
	// written.
	logCloseTimeout = 100 * time.Millisecond
)

// sharedState holds the objects that the loop shares with request handling.
type sharedState struct {
	log           *logbook.Logger
	budget        *budget.Budget
	views         *view.Publisher
	requestedKeys *requestedKeys
	confirmation  *view.Confirmation
	clock         func() time.Duration
	memory        *memory.Account
}

// Gateway is one gateway process.
type Gateway struct {
	options     Options
	shared      sharedState
	gate        *shutdown.Gate
	loop        *loop
	dispatcher  *dispatch.Dispatcher
	handler     *front.Handler
	metrics     *metric.Table
	connections *linger.Connections               // Those of callers.
	callers     atomic.Pointer[pipeline.Listener] // Nil before run.
	bounds      model.Bounds                      // As last reloaded; used only by the goroutine of run.
}

// Run serves requests until ctx is done, then shuts down gracefully. Settings that
// are received from reload are applied as far as possible without a restart.
func Run(ctx context.Context, options Options, reload <-chan *model.Settings) error {
	debug.SetMemoryLimit(options.Settings.MemoryBytes / 100 * memoryLimitPercent)
	debug.SetGCPercent(gcPercent)
	loopCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := newGateway(loopCtx, options)
	defer g.shared.log.Close(logCloseTimeout)
	return g.run(ctx, loopCtx, reload)
}

func newGateway(ctx context.Context, options Options) *Gateway {
	bounds := options.Settings.Bounds
	g := &Gateway{options: options, gate: shutdown.NewGate(), metrics: &metric.Table{}, bounds: bounds}
	g.shared = sharedState{
		log:           logbook.New(options.Output, zap.String("vm", options.Settings.VM)),
		budget:        budget.New(budget.Options{Window: bounds.RetryWindow, Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack}),
		views:         view.NewPublisher(),
		requestedKeys: newRequestedKeys(),
		confirmation:  &view.Confirmation{},
		clock:         options.Network.clock(),
	}
	g.shared.memory = options.Memory
	if g.shared.memory == nil {
		g.shared.memory = memory.NewAccount(options.Settings.MemoryBytes)
	}
	g.shared.memory.OnRefused(newMemoryLog(g.shared).record)
	g.connections = linger.NewConnections(g.logUnsent)
	g.loop = newLoop(ctx, options, g.shared)
	g.dispatcher = dispatch.New(dispatch.Options{
		HeaderCodec:  options.HeaderCodec,
		Budget:       g.shared.budget,
		Views:        g.shared.views,
		Clock:        g.shared.clock,
		Memory:       g.shared.memory,
		Availability: g.loop.servers.availability,
		Gate:         g.gate,
	})
	g.handler = front.New(front.Options{
		HeaderCodec:       options.HeaderCodec,
		Views:             g.shared.views,
		Confirmation:      g.shared.confirmation,
		ConfigurationTime: bounds.ConfigurationTime,
		Dispatcher:        g.dispatcher,
		Gate:              g.gate,
		Log:               g.shared.log,
		Metrics:           g.metrics,
		Clock:             g.shared.clock,
		Memory:            g.shared.memory,
		OnKeyRequest:      g.recordKey,
	})
	return g
}

// recordKey records the key of a request to a partitioned service.
func (g *Gateway) recordKey(service string, key uint16) {
	current, _ := g.shared.views.Load()
	if s := current.Services[service]; s != nil && s.Partitioned {
		g.shared.requestedKeys.add(service, key)
	}
}

func (g *Gateway) run(ctx, loopCtx context.Context, reload <-chan *model.Settings) error {
	settings := g.options.Settings
	callers := newCallerServer(g.handler)
	servers := []endpoint{
		{address: settings.Listen.Callers, server: callers, wrap: g.wrapCallers},
		{address: settings.Listen.Ready, server: newServer(http.HandlerFunc(g.serveReady))},
		{address: settings.Listen.Peers, server: newServer(peer.NewHandler(peerService{g.loop}, g.shared.memory))},
		{address: settings.Listen.Metrics, server: newServer(g.metricsHandler())},
	}
	failed := make(chan error, len(servers))
	for _, s := range servers {
		if err := s.start(g.options.Network, failed); err != nil {
			return err
		}
	}
	g.shared.log.Event(event.GatewayStarted, "", zap.String("callers", settings.Listen.Callers), zap.String("store", settings.StoreAddress),
		zap.String("zone", settings.Zone), zap.String("incarnation", g.loop.self.Incarnation), zap.Int("cores", runtime.GOMAXPROCS(0)))
	g.startLoop(loopCtx)
	for {
		select {
		case fresh := <-reload:
			g.reload(fresh)
		case err := <-failed:
			g.shared.log.Event(event.GatewayListenerFailed, err.Error())
			return err
		case <-ctx.Done():
			g.stop(callers)
			return nil
		}
	}
}

// startLoop starts the loop and the goroutines that deliver inputs to it.
func (g *Gateway) startLoop(ctx context.Context) {
	l := g.loop
	l.updateWatchers()
	go l.run()
	go l.configurationWatcher.run(ctx)
	go l.leaderWatcher.run(ctx)
	go l.readPages(ctx)
	go l.pollServers(ctx)
	go l.pollConfiguration(ctx)
	go l.campaign.Run(ctx)
}

// wrapCallers returns the listeners of callers: their connections and the requests that are
// read ahead on them.
func (g *Gateway) wrapCallers(listener net.Listener) []net.Listener {
	callers := pipeline.NewListener(g.connections.Listen(listener), pipeline.Options{MayReadAhead: g.handler.MayReadAhead, Memory: g.shared.memory})
	g.callers.Store(callers)
	return []net.Listener{callers, callers.Requests()}
}

// logUnsent logs the end of a caller's connection with unsent bytes.
func (g *Gateway) logUnsent(closed linger.Unsent) {
	g.shared.log.Event(event.CallerClosedUnsent, "", zap.Int("unsent", closed.Bytes), zap.Int("unread", closed.Unread))
}

// serveReady serves the load balancer's readiness check.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.loop.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// reload applies new settings. Bounds of retries, the time to drain and the grace period
// take effect immediately. Other bounds, addresses and the name and zone of the VM require
// a restart, which the log says.
func (g *Gateway) reload(updated *model.Settings) {
	old := g.options.Settings
	g.loop.servers.availability.SetDrainTime(updated.Bounds.DrainTime)
	restart := readAtStart(updated.Bounds) != readAtStart(old.Bounds) ||
		updated.Listen != old.Listen || updated.VM != old.VM || updated.Zone != old.Zone || updated.StoreAddress != old.StoreAddress
	g.shared.budget.SetOptions(budget.Options{Window: updated.Bounds.RetryWindow, Ratio: updated.Bounds.RetryRatio, Slack: updated.Bounds.RetrySlack})
	g.shared.log.Event(event.GatewayReloaded, "", zap.Bool("bounds_changed", updated.Bounds != g.bounds), zap.Bool("needs_restart", restart))
	g.bounds = updated.Bounds
}

// readAtStart returns the bounds that are read only when the process starts.
func readAtStart(bounds model.Bounds) model.Bounds {
	return model.Bounds{MaxGrantTTL: bounds.MaxGrantTTL, MinLeaseTTL: bounds.MinLeaseTTL, ConfigurationTime: bounds.ConfigurationTime}
}

// metricsHandler serves explanations of requests and, at every other path, the counters of
// this gateway and the runtime in the format of expvar. They are not published in expvar's global table, so that several gateways
// may run in one process.
func (g *Gateway) metricsHandler() http.Handler {
	vars := new(expvar.Map).Init()
	vars.Set("gateway", expvar.Func(g.stats))
	vars.Set("memstats", expvar.Get("memstats"))
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+ExplainPath, g.serveExplain)
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		if _, err := io.WriteString(w, vars.String()); err != nil {
			g.shared.log.Event(event.MetricsNotSent, err.Error(), zap.String("address", g.options.Settings.Listen.Metrics))
		}
	})
	return mux
}
