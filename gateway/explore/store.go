package explore

import (
	"time"

	"guavacrank.example/gateway/keys"
	"guavacrank.example/kvstore"
)

const (
	// storeTimeout is how long a call to the store waits for a response.
	storeTimeout = time.Second
	// maxWriteDelay bounds how long after it was sent the store executes a write.
	maxWriteDelay = 6 * time.Second
	// spreadDelay is how long after its writing the other VMs know a page. The first grants by
	// it may be sent before.
	spreadDelay = 2 * quantum
	// maxStepsBack is the number of earlier states to which the store can be restored.
	maxStepsBack = 2
)

// store holds the page of one service.
type store struct {
	era     kvstore.Era
	version kvstore.Version
	page    *keys.Page
	// copies are earlier states, the latest first.
	copies [maxStepsBack]storeCopy
}

// storeCopy is an earlier state of the store.
type storeCopy struct {
	page    *keys.Page
	version kvstore.Version
}

// write executes a write if its condition holds.
func (s *store) write(write *keys.PageWrite) bool {
	if write.Expected != s.version {
		return false
	}
	copy(s.copies[1:], s.copies[:])
	s.copies[0] = storeCopy{s.page, s.version}
	s.page, s.version = write.Page, s.version+1
	return true
}

// restore replaces the state by an earlier one. Versions are given out again.
func (s *store) restore(copied storeCopy) {
	s.page, s.version = copied.page, copied.version
	s.copies = [maxStepsBack]storeCopy{}
	s.era++
}

// callStore answers a call to the store, if it is there.
func (w *world) callStore(c *call) {
	switch {
	case w.storeAway:
		w.wait(c, gone)
	case c.kind == readCall:
		w.readPage(c)
	default:
		w.writePage(c)
	}
}

// readPage answers the read of a page.
func (w *world) readPage(c *call) {
	w.machine(c.vm).StepRead(w.now, w.store.page, w.position())
}

// writePage executes a write and answers it.
func (w *world) writePage(c *call) {
	if !w.store.write(c.write) {
		err := &kvstore.Error{Kind: kvstore.KindConflict, Era: w.store.era}
		w.machine(c.vm).StepWritten(w.now, c.write.Page.WriteID, kvstore.Position{}, err)
		return
	}
	w.machine(c.vm).StepWritten(w.now, c.write.Page.WriteID, w.position(), nil)
	w.lost = w.lost.See(w.now, c.write.Page)
	w.prior = w.prior.See(w.now, c.write.Page)
	w.spreading, w.spreadAt = c.write.Page, w.now+spreadDelay
}

// startOutage begins an outage of the store.
func (w *world) startOutage() {
	w.note("the store is away")
	w.storeAway = true
	for at := range w.vms {
		if v := &w.vms[at]; v.reachable() {
			v.lastContact = w.now
		}
	}
}

// endOutage ends an outage of the store. A leader that goes on keeps its lease.
func (w *world) endOutage() {
	w.note("the store is back")
	w.storeAway = false
	for at := range w.vms {
		w.rejoin(at)
	}
	if v := &w.vms[w.elected]; v.reachable() && !v.machine.Leading() && w.electionAt == 0 {
		w.electionAt = w.now + reclaimDelay
	}
}

// spread tells the VMs a committed page.
func (w *world) spread(page *keys.Page) {
	if w.known == nil || w.known.Stamp.Before(page.Stamp) {
		w.known = page
		w.lost = w.lost.See(w.now, page)
		w.prior = w.prior.See(w.now, page)
	}
}

// runSpreading spreads a page when its time has come. It is lost if its writer is.
func (w *world) runSpreading() {
	if w.spreading == nil || w.now < w.spreadAt {
		return
	}
	at := w.vmNamed(w.spreading.Writer.VM)
	if v := &w.vms[at]; v.reachable() && v.self() == w.spreading.Writer {
		w.spread(w.spreading)
	}
	w.spreading = nil
}

// restoreStore restores the store to the state before some writes. The leader notices it at
// once and claims the leadership again.
func (w *world) restoreStore(stepsBack int) {
	w.formerLeader = w.vms[w.elected].self()
	w.store.restore(w.store.copies[stepsBack])
	if v := &w.vms[w.elected]; v.reachable() {
		w.machine(w.elected).SetRenewOnly(true)
	}
	w.electionAt = w.now + reclaimDelay
}
