package front

import (
	"sync/atomic"
	"time"

	"guavacrank.example/event"
	"guavacrank.example/traffic/route"
	"guavacrank.example/traffic/upstream"
)

// peer is this VM's own state of another VM.
type peer struct {
	name string
	pool *upstream.Pool
	// avoidUntil is the reading of the handler's clock until which the peer is
	// passed over, because connecting to it failed.
	avoidUntil atomic.Int64
	// silences counts the requests in a row that got no answer in time.
	silences atomic.Int32
}

const (
	// peerConnectTimeout bounds a connect to another VM: several round trips
	// between regions.
	peerConnectTimeout = 150 * time.Millisecond
	// peerAvoidance is how long a VM that did not accept a connection is passed over.
	peerAvoidance = time.Second
	// mostSilences is how many requests in a row a VM may leave without any answer.
	mostSilences = 3
)

// peersOf returns the state of every other VM, keeping what is still valid.
func (h *Handler) peersOf(snapshot *route.Snapshot) map[string]*peer {
	peers := make(map[string]*peer, len(snapshot.Peers))
	for name, address := range snapshot.Peers {
		if name == snapshot.Self {
			continue
		}
		id := peerID{name, address}
		held := h.peers[id]
		if held == nil {
			held = &peer{name: name, pool: upstream.NewPool(upstream.Options{
				Address:        address,
				MaxConnections: h.options.Limits.PeerConnections,
				ConnectTimeout: peerConnectTimeout,
			})}
			h.peers[id] = held
		}
		peers[name] = held
	}
	for id, held := range h.peers {
		if peers[id.name] != held {
			held.pool.Close()
			delete(h.peers, id)
		}
	}
	return peers
}

type peerID struct{ name, address string }

// avoided says whether connecting to the peer failed just now.
func (p *peer) avoided(now time.Duration) bool {
	return int64(now) < p.avoidUntil.Load()
}

// avoid passes the peer over for a while, and tells so when it begins.
func (h *Handler) avoid(p *peer, cause string) {
	now := h.now()
	before := p.avoidUntil.Swap(int64(now + peerAvoidance))
	if before <= int64(now) {
		h.options.Events(event.New(event.HomeUnreachable, cause, "vm", p.name))
	}
}
