package front

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"guavacrank.example/traffic/load"
	"guavacrank.example/traffic/metric"
	"guavacrank.example/traffic/route"
	"guavacrank.example/traffic/verdict"
)

// Handler serves callers' requests. PeerHandler returns the handler for the
// requests that other VMs forward.
type Handler struct {
	options Options
	started time.Time
	ids     *ids
	view    atomic.Pointer[view]

	refreshMu sync.Mutex // Guards the maps below; requests take it only when the snapshot has changed.
	states    map[string]*serviceState
	servers   map[serverID]*server
	groups    map[groupID]*groupState
	peers     map[peerID]*peer
	homes     *route.Homes
	metrics   metric.Table

	refusals        sync.Map     // verdict.Code to *atomic.Int64: refused requests by code.
	lastRecordEvent atomic.Int64 // The second of the last RecordsUnavailable event.

	inFlight     atomic.Int64
	stopping     atomic.Bool
	requestEnded chan struct{} // Receives a value when a request ends during Stop.
}

// New returns a Handler with the given options.
func New(options Options) *Handler {
	return &Handler{
		options:      options.withDefaults(),
		started:      time.Now(),
		ids:          newIDs(),
		states:       make(map[string]*serviceState),
		servers:      make(map[serverID]*server),
		groups:       make(map[groupID]*groupState),
		peers:        make(map[peerID]*peer),
		requestEnded: make(chan struct{}, 1),
	}
}

// now is the clock for queues and deadlines. It is cheaper to read than the
// Elapsed clock, which limits the right to send to a server.
func (h *Handler) now() time.Duration { return time.Since(h.started) }

// ServeHTTP implements http.Handler for a caller's request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if refused := h.enter(); refused != nil {
		h.refuse(w, refused)
		return
	}
	defer h.leave()
	began := h.now()
	c, refused := h.parseCaller(r)
	if refused != nil {
		h.refuse(w, refused)
		return
	}
	ctx, cancel, refused := h.receiveBody(w, r, c)
	defer cancel()
	if refused != nil {
		h.refuse(w, refused)
		return
	}
	out := h.runAtMostOnce(ctx, c)
	defer h.record(c, began, out.verdict, out.code) // Runs also if writeOutcome panics because the response was cut short.
	h.writeOutcome(ctx, w, c, out)
}

// receiveBody reads the body of a request and returns the context that ends with its
// deadline or its connection.
func (h *Handler) receiveBody(w http.ResponseWriter, r *http.Request, c *call) (context.Context, context.CancelFunc, *refusal) {
	ctx, cancel := context.WithTimeout(r.Context(), c.remaining(h.now()))
	until, _ := ctx.Deadline()
	var refused *refusal
	c.body, refused = readBody(w, r, c.settings().MaxBodyBytes, until)
	return ctx, cancel, refused
}

// record adds the request to the metrics of its class.
func (h *Handler) record(c *call, began time.Duration, v verdict.Verdict, code verdict.Code) {
	c.observation.Total = h.now() - began
	c.observation.Attempts = c.attempt
	c.observation.RequestBytes = int64(len(c.body.buffered))
	if c.body.stream != nil {
		c.observation.RequestBytes = c.body.stream.bytesRead.Load()
	}
	c.service.metrics[c.class.Name].Record(v, code, c.observation)
}

// enter counts a request as in flight, or refuses it.
func (h *Handler) enter() *refusal {
	if h.inFlight.Add(1) > int64(h.options.Limits.Concurrent) {
		h.leave()
		return &refusal{verdict.CodeTooMany, "too many requests at once"}
	}
	if h.stopping.Load() {
		h.leave()
		return &refusal{verdict.CodeStopping, "this VM is stopping"}
	}
	return nil
}

func (h *Handler) leave() {
	h.inFlight.Add(-1)
	if h.stopping.Load() {
		select {
		case h.requestEnded <- struct{}{}:
		default:
		}
	}
}

// Stop refuses new requests of callers and other VMs. It waits for the
// requests in flight and for pending writes of idempotency records, and
// returns the context's error if the context ends first. The daemon hands over
// its servers before it calls Stop.
func (h *Handler) Stop(ctx context.Context) error {
	h.stopping.Store(true)
	for h.inFlight.Load() > 0 {
		select {
		case <-h.requestEnded:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if h.options.IdempotencyRecords == nil {
		return nil
	}
	return h.options.IdempotencyRecords.Wait(ctx)
}

// Close closes all idle connections; the others close when their requests end.
func (h *Handler) Close() {
	h.refreshMu.Lock()
	defer h.refreshMu.Unlock()
	for _, s := range h.servers {
		s.close()
	}
	for _, p := range h.peers {
		p.pool.Close()
	}
}

// InFlight returns the number of requests that this VM is handling, including
// forwarded ones.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// Load is the load of one service since the last call of TakeLoad.
type Load struct {
	Units []load.UnitCount
	Keys  []load.KeyCount
}

// TakeLoad returns the requests counted for a service since the last call,
// with at most keys of the most frequent keys. It counts only requests that
// this VM sent to a server.
func (h *Handler) TakeLoad(service string, keys int) Load {
	state := h.stateOf(service)
	if state == nil {
		return Load{}
	}
	return Load{Units: state.units.Take(), Keys: state.keys.Take(keys)}
}

// UnitsInFlight returns the units of a service with requests that this VM sent
// and that may still run. A server that does not check grants has stopped
// serving a unit once its home has published a snapshot without the unit and
// the home's list here no longer contains it.
func (h *Handler) UnitsInFlight(service string) []uint32 {
	state := h.stateOf(service)
	if state == nil {
		return nil
	}
	return state.units.InFlight()
}

func (h *Handler) stateOf(service string) *serviceState {
	h.refreshMu.Lock()
	defer h.refreshMu.Unlock()
	return h.states[service]
}

// deadlineSlack is how long after a request's deadline a server may take to
// stop running it.
const deadlineSlack = 100 * time.Millisecond
