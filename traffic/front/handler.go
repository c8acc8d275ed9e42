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

// Handler serves callers' requests. Peer returns the handler for the requests
// that other VMs forward.
type Handler struct {
	options Options
	started time.Time
	ids     *ids
	view    atomic.Pointer[view]

	refreshing sync.Mutex // Guards the maps below, off the path of requests.
	states     map[string]*serviceState
	servers    map[serverID]*server
	groups     map[groupID]*groupState
	peers      map[peerID]*peer
	homes      *route.Homes
	metrics    metric.Table

	refusals    sync.Map     // verdict.Code to *atomic.Int64, of requests that were not taken.
	recordsTold atomic.Int64 // The second in which an event told of a failed record.

	inFlight atomic.Int64
	stopping atomic.Bool
	ended    chan struct{} // Receives when a request ends while stopping.
}

// New returns a handler.
func New(options Options) *Handler {
	return &Handler{
		options: options.withDefaults(),
		started: time.Now(),
		ids:     newIDs(),
		states:  make(map[string]*serviceState),
		servers: make(map[serverID]*server),
		groups:  make(map[groupID]*groupState),
		peers:   make(map[peerID]*peer),
		ended:   make(chan struct{}, 1),
	}
}

// now is the handler's clock for queues and deadlines. It is cheaper to read
// than the clock of elapsed time, which limits the right to send.
func (h *Handler) now() time.Duration { return time.Since(h.started) }

// ServeHTTP serves one caller's request.
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
	ctx, cancel := context.WithTimeout(r.Context(), c.remaining(h.now()))
	defer cancel()
	until, _ := ctx.Deadline()
	if c.body, refused = readBody(w, r, c.settings().MaxBodyBytes, until); refused != nil {
		h.refuse(w, refused)
		return
	}
	out := h.runOnce(ctx, c)
	defer h.record(c, began, out.verdict, out.code) // Also when the answer is cut off.
	h.writeOutcome(ctx, w, c, out)
}

// record counts what became of a request.
func (h *Handler) record(c *call, began time.Duration, v verdict.Verdict, code verdict.Code) {
	c.seen.Total = h.now() - began
	c.seen.Attempts = c.attempt
	c.seen.RequestBytes = int64(len(c.body.held))
	if c.body.stream != nil {
		c.seen.RequestBytes = c.body.stream.passed.Load()
	}
	c.service.metrics[c.class.Name].Record(v, code, c.seen)
}

// enter takes a request in, or refuses it.
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
		case h.ended <- struct{}{}:
		default:
		}
	}
}

// Stop refuses new requests, of callers and of other VMs, and waits for those
// in flight, and for the ends of records that are being written. It returns
// the context's error when it ends first. The daemon hands over its servers
// before it calls Stop.
func (h *Handler) Stop(ctx context.Context) error {
	h.stopping.Store(true)
	for h.inFlight.Load() > 0 {
		select {
		case <-h.ended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if h.options.IdempotencyRecords == nil {
		return nil
	}
	return h.options.IdempotencyRecords.Wait(ctx)
}

// Close closes every idle connection; others close as their requests end.
func (h *Handler) Close() {
	h.refreshing.Lock()
	defer h.refreshing.Unlock()
	for _, held := range h.servers {
		held.close()
	}
	for _, held := range h.peers {
		held.pool.Close()
	}
}

// InFlight returns the number of requests in this VM, its own and forwarded ones.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// Load is the work of one service since the last Take.
type Load struct {
	Units []load.UnitCount
	Keys  []load.KeyCount
}

// TakeLoad returns what was counted for a service since the last call, with at
// most keys frequent keys. Only requests that this VM sent to a server count.
func (h *Handler) TakeLoad(service string, keys int) Load {
	state := h.stateOf(service)
	if state == nil {
		return Load{}
	}
	return Load{Units: state.units.Take(), Keys: state.keys.Take(keys)}
}

// UnitsInFlight returns the units of a service with requests that this VM sent and
// that may still run. A server that does not check grants has stopped a unit
// once its home published a snapshot without the unit and does not list it here.
func (h *Handler) UnitsInFlight(service string) []uint32 {
	state := h.stateOf(service)
	if state == nil {
		return nil
	}
	return state.units.InFlight()
}

func (h *Handler) stateOf(service string) *serviceState {
	h.refreshing.Lock()
	defer h.refreshing.Unlock()
	return h.states[service]
}

// deadlineSlack is how long after a request's deadline a server may need to
// notice that it passed.
const deadlineSlack = 100 * time.Millisecond
