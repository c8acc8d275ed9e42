package explore

import (
	"guavacrank.example/gateway/keys"
)

// holdRelevance is how long after its end a hold has an effect: not at all.
const holdRelevance = 0

// fingerprint returns the fingerprint of a world.
func (w *world) fingerprint(e *keys.StateEncoder) keys.Fingerprint {
	e.Reset(w.now)
	for at := range w.vms {
		w.vms[at].encode(e, w.storeAway)
	}
	if w.fleet.total > 0 {
		w.fleet.encode(e)
		e.Time(w.vms[w.elected].electedAt, predecessorTimeout)
	}
	e.Bools(w.storeAway)
	e.Int(w.elected)
	e.Time(w.electionAt, 0)
	e.Int(len(w.servers))
	for at := range w.servers {
		w.servers[at].encode(e)
	}
	w.encodeStore(e)
	e.Int(len(w.connections))
	for _, c := range w.connections {
		e.Name(keys.ConnectionScope, uint64(c.id))
		e.Int(c.vm<<16 | c.server)
		e.Bools(c.busy)
	}
	e.Int(len(w.calls))
	for i := range w.calls {
		w.encodeCall(e, &w.calls[i])
	}
	for key := range w.highest {
		e.Fence(w.highest[key].fence)
		e.Int(w.highest[key].server)
	}
	return e.Sum()
}

func (v *vm) encode(e *keys.StateEncoder, storeAway bool) {
	e.Int(v.starts)
	e.Int(int(v.condition))
	e.Bools(v.cut)
	e.Time(v.startedAt, keys.CallTimeout+transitTime)
	if v.cut || storeAway || v.condition == frozen {
		e.Time(v.lastContact, predecessorTimeout)
	}
	e.Time(v.learnsAt, 0)
	e.Int(v.term)
	e.Word(uint64(v.era))
	v.machine.Encode(e)
}

func (s *server) encode(e *keys.StateEncoder) {
	e.Text(s.id)
	e.Text(s.address)
	e.Word(uint64(s.born))
	e.Bools(s.up, s.dark, s.draining, s.listed, s.cut, s.full)
	e.Time(s.healAt, 0)
	e.Time(s.healedAt, reachTime)
	e.Time(s.resetUntil, reachTime)
	e.Time(s.listAt, 0)
	e.Time(s.unlistAt, 0)
	e.Time(s.endAt, 0)
	if !s.up {
		return
	}
	for key := range samples {
		e.Fence(s.seen[key])
		if s.holds[key].until <= e.Now() {
			e.Word(0)
			continue
		}
		e.Fence(s.holds[key].fence)
		e.Time(s.holds[key].until, holdRelevance)
		e.Text(string(s.holds[key].rule))
	}
}

func (w *world) encodeStore(e *keys.StateEncoder) {
	e.Word(uint64(w.store.era))
	e.Version(uint64(w.store.version))
	w.store.page.AddTo(e)
	for _, copied := range w.store.copies {
		e.Version(uint64(copied.version))
		copied.page.AddTo(e)
	}
	w.known.AddTo(e)
	w.spreading.AddTo(e)
	e.Due(w.spreadAt)
	w.lost.AddTo(e, predecessorTimeout)
	w.prior.AddTo(e, predecessorTimeout)
	e.Text(w.formerLeader.Incarnation)
}

func (w *world) encodeCall(e *keys.StateEncoder, c *call) {
	e.Int(int(c.kind)<<24 | c.vm<<16 | int(c.phase)<<8 | int(c.outcome))
	e.Bools(c.awaited, c.reset)
	e.Time(c.decided, maxWriteDelay)
	e.Time(c.arrived, maxTakingDelay)
	e.Time(c.workUntil, 0)
	e.Bools(c.works[:]...)
	e.Time(c.until, 0)
	e.Int(c.server)
	e.Int(c.term)
	e.Text(c.leader.Incarnation)
	e.Name(keys.ConnectionScope, uint64(c.connection))
	switch c.kind {
	case grantCall:
		g := c.grant
		e.Name(keys.CallScope(w.vms[c.vm].self().Incarnation), g.ID)
		e.Text(g.Address)
		e.Text(g.Incarnation.ID)
		e.Word(uint64(g.Incarnation.Born)<<32 | uint64(g.From)<<16 | uint64(g.To))
		e.Fence(g.Fence)
		e.Name(keys.ConnectionScope, uint64(g.Connection))
		e.Word(uint64(g.TTL))
	case releaseCall:
		r := c.release
		e.Text(r.Address)
		e.Text(r.Incarnation.ID)
		e.Word(uint64(r.Incarnation.Born)<<32 | uint64(r.From)<<16 | uint64(r.To))
		e.Fence(r.Fence)
		e.Fence(r.Held)
		e.Bools(r.Fencing)
		e.Word(uint64(r.Timeout))
	case probeCall:
		e.Text(c.probe.Incarnation.ID)
		e.Word(uint64(c.probe.Incarnation.Born))
	case readCall:
		c.page.AddTo(e)
		e.Version(uint64(c.position.Version))
		e.Word(uint64(c.position.Era))
	case writeCall:
		e.Version(uint64(c.write.Expected))
		c.write.Page.AddTo(e)
	}
}
