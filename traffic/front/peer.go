package front

import (
	"sync/atomic"
	"time"

	"guavacrank.example/event"
	"guavacrank.example/traffic/route"
	"guavacrank.example/traffic/upstream"
)

// peer is this VM's state for one other VM.
type peer struct {
	name string
	pool *upstream.Pool
	// avoidUntil is the time on the handler's clock until which no request is
	// sent to the peer, because connecting to it failed or several requests
	// timed out.
	avoidUntil atomic.Int64
	// timeouts counts consecutive requests that timed out without a response.
	timeouts atomic.Int32
}

const (
	// peerConnectTimeout limits the time to connect to another VM. It covers
	// several round trips between regions.
	peerConnectTimeout = 150 * time.Millisecond
	// peerAvoidance is how long a peer is avoided after a failure.
	peerAvoidance = time.Second
	// maxTimeouts is the number of consecutive timeouts after which a peer is
	// avoided.
	maxTimeouts = 3
)

// peersOf returns the state of every other VM in the snapshot. It keeps
// existing state whose address is unchanged, and closes the rest.
func (h *Handler) peersOf(snapshot *route.Snapshot) map[string]*peer {
	peers := make(map[string]*peer, len(snapshot.Peers))
	for name, address := range snapshot.Peers {
		if name == snapshot.Self {
			continue
		}
		id := peerID{name, address}
		p := h.peers[id]
		if p == nil {
			p = &peer{name: name, pool: upstream.NewPool(upstream.Options{
				Address:        address,
				MaxConnections: h.options.Limits.PeerConnections,
				ConnectTimeout: peerConnectTimeout,
				Dial:           h.options.Dial,
			})}
			h.peers[id] = p
		}
		peers[name] = p
	}
	for id, p := range h.peers {
		if peers[id.name] != p {
			p.pool.Close()
			delete(h.peers, id)
		}
	}
	return peers
}

type peerID struct{ name, address string }

// avoided reports whether the peer is avoided after a failure.
func (p *peer) avoided(now time.Duration) bool {
	return int64(now) < p.avoidUntil.Load()
}

// avoid marks the peer as avoided for peerAvoidance, and emits an event if it
// was not marked before.
func (h *Handler) avoid(p *peer, cause string) {
	now := h.now()
	before := p.avoidUntil.Swap(int64(now + peerAvoidance))
	if before <= int64(now) {
		h.options.Events(event.New(event.HomeUnreachable, cause, "vm", p.name))
	}
}
