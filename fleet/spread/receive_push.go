package spread

import (
	"slices"
	"time"

	"guavacrank.example/fleet/document"
	fleetv1 "guavacrank.example/fleet/gen/fleet/v1"
)

// receivePush acknowledges a push, accepts its documents, requests the full
// form of those whose delta can't be applied, and forwards the rest.
func (m *Machine) receivePush(now time.Duration, from string, push *fleetv1.Push) {
	if push.GetId() != 0 {
		m.send(from, &fleetv1.ExchangeRequest{Body: &fleetv1.ExchangeRequest_Ack{Ack: &fleetv1.Ack{Id: push.GetId()}}})
	}
	var accepted, keys, needFull []string
	for _, wire := range push.GetDocuments() {
		switch m.applyPushed(now, push, wire) {
		case pushNeedsFull:
			needFull = append(needFull, wire.GetKey())
		case pushAccepted:
			accepted = append(accepted, wire.GetKey())
			keys = append(keys, wire.GetKey())
		case pushKnown:
			keys = append(keys, wire.GetKey())
		}
	}
	if len(needFull) > 0 {
		m.send(from, &fleetv1.ExchangeRequest{Body: &fleetv1.ExchangeRequest_Want{Want: &fleetv1.Want{Keys: needFull}}})
	}
	m.forward(now, from, push.GetScope(), keys, accepted)
}

// pushResult is the outcome of handling one pushed document.
type pushResult uint8

const (
	pushKnown     pushResult = iota // This version or a higher one was already known.
	pushAccepted                    // The document was accepted.
	pushNeedsFull                   // The delta can't be applied; the full document is needed.
)

func (m *Machine) applyPushed(now time.Duration, push *fleetv1.Push, wire *fleetv1.Document) pushResult {
	key := wire.GetKey()
	known := m.table.get(key)
	if wire.GetVersion() <= known.Version && !m.options.Mutations.IgnoreVersions {
		m.cancelDelayed(push, key)
		return pushKnown
	}
	decoded, err := document.Decode(wire, known)
	if err != nil {
		m.deferForward(key, push.GetScope())
		return pushNeedsFull
	}
	if !m.accept(now, decoded) {
		return pushKnown
	}
	if scope, deferredScopes := m.deferredScopes[key]; deferredScopes && push.GetId() == 0 {
		delete(m.deferredScopes, key)
		m.forward(now, "", scope, []string{key}, nil)
	}
	return pushAccepted
}

// deferForward stores the scope in which a document is forwarded once its full
// version has arrived.
func (m *Machine) deferForward(key string, scope *fleetv1.Scope) {
	if scope != nil && len(m.deferredScopes) < maxDeferredForwards {
		m.deferredScopes[key] = scope
	}
}

// cancelDelayed drops the delayed push of a document read from the store once
// the writer's own push has arrived.
func (m *Machine) cancelDelayed(push *fleetv1.Push, key string) {
	if push.GetId() == 0 {
		return
	}
	if delayed, present := m.delayed[key]; present && delayed.regionOnly {
		delete(m.delayed, key)
	}
}

func (m *Machine) forward(now time.Duration, from string, scope *fleetv1.Scope, keys, accepted []string) {
	if m.options.Policy == Gossip {
		m.gossip(now, accepted, from)
		return
	}
	if len(keys) == 0 {
		return
	}
	switch {
	case scope.GetFleet():
		m.pushAll(now, keys, false, from)
	case scope.GetRegion():
		m.pushRegion(now, keys, from)
	case scope.GetZone():
		m.pushZone(now, keys, from)
	default:
		m.pushNames(now, keys, scope.GetNames())
	}
}

// gossip pushes documents to random VMs.
func (m *Machine) gossip(now time.Duration, keys []string, from string) {
	names := m.reachable(from, func(Peer) bool { return true })
	for range min(gossipFanOut, len(names)) {
		if len(keys) == 0 {
			return
		}
		i := int(m.nextRandom(uint64(len(names))))
		m.sendPush(names[i], 0, m.encode(keys), nil)
		names = slices.Delete(names, i, i+1)
	}
}
