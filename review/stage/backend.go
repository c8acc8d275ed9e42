package stage

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"guavacrank.example/platform/standin"
)

// Backend is a backend server that can end and start again at its address, each time as
// a new incarnation.
type Backend struct {
	ID, Service, Address string
	Slots                int
	Sharded              bool
	ServiceTime          time.Duration
	Heartbeat            time.Duration
	// OnGrant is called for each grant that a life accepts, OnRun when a request begins.
	OnGrant func(life *Life, from, to int, fence uint64)
	OnRun   func(life *Life, id string, key int)

	stage *Stage
	mu    sync.Mutex
	life  *Life
	lives int
	cut   bool      // From the store.
	wrote time.Time // When its entry was written last.
}

// CutFromStore cuts the server off from the store, or ends that. Its entry is removed
// three heartbeats after the last one that arrived.
func (b *Backend) CutFromStore(cut bool) {
	b.mu.Lock()
	b.cut = cut
	life := b.life
	b.mu.Unlock()
	b.stage.Note("%s is cut off from the store: %v", b.ID, cut)
	if life != nil {
		life.write() // It had tried all the while.
	}
}

// expire removes the entry of a server of which the store has not heard.
func (b *Backend) expire() {
	for {
		time.Sleep(20 * time.Millisecond)
		b.mu.Lock()
		silent := !b.wrote.IsZero() && time.Since(b.wrote) > 3*b.Heartbeat
		if silent {
			b.wrote = time.Time{}
		}
		b.mu.Unlock()
		if silent {
			b.stage.Note("store: the entry of %s expires", b.ID)
			b.stage.Store.Delete(Wire.ServersPrefix + b.ID)
		}
	}
}

// Life is one incarnation.
type Life struct {
	Backend *Backend
	Number  int
	Born    int64

	server *http.Server
	stop   chan struct{}

	mu      sync.Mutex
	idle    *sync.Cond
	holds   []hold
	fences  [65536]uint64
	running map[int]int
	total   int
}

type hold struct {
	from, to int
	until    time.Time
}

// Name names the incarnation in the record.
func (l *Life) Name() string { return fmt.Sprintf("%s(life %d)", l.Backend.ID, l.Number) }

// StartBackend starts the first incarnation.
func (s *Stage) StartBackend(b *Backend) error {
	b.stage = s
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.Address = listener.Addr().String()
	s.AtEnd(b.Kill)
	go b.expire()
	b.begin(listener)
	return nil
}

// Start starts the next incarnation at the same address.
func (b *Backend) Start() error {
	listener, err := net.Listen("tcp4", b.Address)
	if err != nil {
		return err
	}
	b.begin(listener)
	return nil
}

func (b *Backend) begin(listener net.Listener) {
	b.mu.Lock()
	b.lives++
	l := &Life{Backend: b, Number: b.lives, Born: time.Now().UnixMilli(), stop: make(chan struct{}), running: make(map[int]int)}
	l.idle = sync.NewCond(&l.mu)
	b.life = l
	b.mu.Unlock()
	l.server = &http.Server{Handler: l}
	go func() { _ = l.server.Serve(listener) }() // Returns when the life ends.
	b.stage.Note("%s starts at %s", l.Name(), b.Address)
	l.write()
	go func() {
		ticker := time.NewTicker(b.Heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-l.stop:
				return
			case <-ticker.C:
				l.write()
			}
		}
	}()
}

func (l *Life) write() {
	b := l.Backend
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cut || b.life != l {
		return
	}
	b.wrote = time.Now()
	b.stage.Store.Put(Wire.ServersPrefix+b.ID, map[string]any{"service": b.Service, "address": b.Address, "zone": "za", "version": "v1",
		"capacity": b.Slots, "state": "ready", "warmup_ms": 0, "seq": time.Since(b.stage.start).Milliseconds(), "born": l.Born})
}

// Kill ends the process at once: its connections and its listener are closed. Its entry
// stays in the store, as that of a server that crashes.
func (b *Backend) Kill() {
	b.mu.Lock()
	l := b.life
	b.life = nil
	b.mu.Unlock()
	if l == nil {
		return
	}
	b.stage.Note("%s ends", l.Name())
	close(l.stop)
	_ = l.server.Close()
}

// Current returns the incarnation that is up, or nil.
func (b *Backend) Current() *Life {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.life
}

// Holds says whether the life holds a key.
func (l *Life) Holds(key int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holdsLocked(key)
}

func (l *Life) holdsLocked(key int) bool {
	now := time.Now()
	for _, h := range l.holds {
		if h.from <= key && key <= h.to && now.Before(h.until) {
			return true
		}
	}
	return false
}

func (l *Life) cut(from, to int) {
	var kept []hold
	for _, h := range l.holds {
		if h.to < from || h.from > to {
			kept = append(kept, h)
			continue
		}
		if h.from < from {
			kept = append(kept, hold{h.from, from - 1, h.until})
		}
		if h.to > to {
			kept = append(kept, hold{to + 1, h.to, h.until})
		}
	}
	l.holds = kept
}

// order is a grant or a release.
type order struct {
	From, Target int
	Fence        uint64
	HoldMS       int64 // Zero in a release.
}

func readOrder(r *http.Request) (order, error) {
	var fields map[string]json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&fields); err != nil {
		return order{}, err
	}
	var o order
	for name, field := range map[string]any{Wire.GrantFirstKey: &o.From, Wire.GrantLastKey: &o.Target, Wire.GrantFence: &o.Fence, Wire.GrantTTLMS: &o.HoldMS} {
		if text, given := fields[name]; given {
			if err := json.Unmarshal(text, field); err != nil {
				return order{}, err
			}
		}
	}
	return o, nil
}

// ServeHTTP implements http.Handler.
func (l *Life) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case Wire.GrantPath:
		l.grant(w, r)
	case Wire.ReleasePath:
		l.release(w, r)
	case standin.HealthPath:
		w.Header().Set(Wire.Server, l.Backend.ID)
	default:
		l.serve(w, r)
	}
}

func (l *Life) grant(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	o, err := readOrder(r)
	if err != nil || !l.Backend.Sharded {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	for key := o.From; key <= o.Target; key++ {
		if l.fences[key] > o.Fence {
			l.mu.Unlock()
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	for key := o.From; key <= o.Target; key++ {
		l.fences[key] = o.Fence
	}
	l.cut(o.From, o.Target)
	l.holds = append(l.holds, hold{o.From, o.Target, arrived.Add(time.Duration(o.HoldMS) * time.Millisecond)})
	l.mu.Unlock()
	if l.Backend.OnGrant != nil {
		l.Backend.OnGrant(l, o.From, o.Target, o.Fence)
	}
}

func (l *Life) release(w http.ResponseWriter, r *http.Request) {
	o, err := readOrder(r)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut(o.From, o.Target)
	for busy := true; busy; {
		busy = false
		for key, n := range l.running {
			busy = busy || n > 0 && o.From <= key && key <= o.Target
		}
		if busy {
			l.idle.Wait()
		}
	}
	w.Header().Set(Wire.Handover, rand.Text())
}

func (l *Life) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(Wire.RequestID)
	w.Header().Set(Wire.RequestID, id)
	reject := func(status int) {
		w.Header().Set(Wire.NotRun, "1")
		w.Header().Set(Wire.Server, l.Backend.ID)
		w.WriteHeader(status)
	}
	if expected := r.Header.Get(Wire.ExpectedServer); expected != "" && expected != l.Backend.ID {
		reject(http.StatusMisdirectedRequest)
		return
	}
	length, err := io.Copy(io.Discard, r.Body)
	if err != nil || id == "" {
		reject(http.StatusBadRequest)
		return
	}
	key, _ := strconv.Atoi(r.Header.Get(Wire.Key)) // Zero without the header.
	l.mu.Lock()
	switch {
	case l.Backend.Sharded && !l.holdsLocked(key):
		l.mu.Unlock()
		reject(http.StatusMisdirectedRequest)
		return
	case l.total >= l.Backend.Slots:
		l.mu.Unlock()
		reject(http.StatusServiceUnavailable)
		return
	}
	l.total++
	l.running[key]++
	l.mu.Unlock()
	if l.Backend.OnRun != nil {
		l.Backend.OnRun(l, id, key)
	}
	select {
	case <-time.After(l.Backend.ServiceTime):
	case <-r.Context().Done():
	}
	l.mu.Lock()
	l.total--
	l.running[key]--
	l.idle.Broadcast()
	l.mu.Unlock()
	w.Header().Set(Wire.Signature, l.Backend.ID+"."+id)
	fmt.Fprintf(w, "answer of %s to %s, %d bytes", l.Backend.ID, id, length)
}
