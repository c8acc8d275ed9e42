package run

import (
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/kvstore"
)

// maxListedChanges is the number of changes of the server list up to which they are sent
// as such. More take as many bytes as the complete, compressed list.
const maxListedChanges = 100

// configurationTransit is the time that a large configuration may take to reach all daemons.
const configurationTransit = 1500 * time.Millisecond

// announcements are what this leader has sent of its server list to a large fleet.
type announcements struct {
	// earlier and last are the positions of the last two. Each contains the changes since
	// the one before the last, so that the loss of one does no harm.
	earlier, last kvstore.Position
	// next is when the next one is due although nothing has changed.
	next time.Duration
}

// beginAnnouncements prepares the announcements of a term. Who follows the previous leader
// has a list that this daemon had too.
func (l *loop) beginAnnouncements() {
	l.announced = announcements{earlier: l.list.Begin(), last: l.list.Position()}
}

// announceServers sends the changes of the leader's server list to a large fleet, whose
// reports are too far apart to wait for them, or says that there are none.
func (l *loop) announceServers(now time.Duration) {
	if l.fleetSize() <= maxDirectRecipients {
		return
	}
	changes, few := l.list.Since(l.announced.earlier, maxListedChanges)
	if !few {
		changes, few = l.list.Since(l.announced.last, maxListedChanges)
	}
	if few && changes.Empty() && (now < l.announced.next || !l.needsHeartbeats()) {
		return
	}
	l.announced = announcements{earlier: l.announced.last, last: l.list.Position(), next: now + l.heartbeatInterval()}
	if few {
		l.broadcast(peer.SpreadRequest{Changes: &peer.ServerChanges{ListOrigin: l.listOrigin(), Changes: changes}, Held: l.heldVersions(now)})
		return
	}
	l.announced.earlier = l.announced.last
	if list := l.completeList(); list != nil {
		l.broadcast(peer.SpreadRequest{Servers: list})
	}
}

// heldVersions returns what should have reached every daemon by now.
func (l *loop) heldVersions(now time.Duration) *peer.HeldVersions {
	held := &peer.HeldVersions{Pages: make(map[string]keys.Stamp)}
	if l.configuration != nil && now-l.origin.At >= configurationTransit {
		held.Configuration = l.configuration.Version
	}
	for service, page := range l.pages {
		if now-page.since >= updateTransit {
			held.Pages[service] = page.page.Stamp
		}
	}
	return held
}

// checkHeld makes this daemon report soon if it lacks what the leader has had for a while: the
// update was lost.
func (l *loop) checkHeld(held *peer.HeldVersions) {
	lacking := l.lacks(held.Configuration)
	for service, stamp := range held.Pages {
		known := l.pages[service]
		lacking = lacking || known == nil || known.page.Stamp.Before(stamp)
	}
	if lacking && !l.leading {
		l.scheduleReport()
	}
}

// listOrigin describes the list in force.
func (l *loop) listOrigin() peer.ListOrigin {
	return peer.ListOrigin{AgeMS: (l.clock() - l.listedAt).Milliseconds(), Settled: l.listSettled}
}

// packedList is the complete list in compressed form.
type packedList struct {
	digest     uint64
	compressed []byte
}

// completeList returns the list in force in the form sent to peers, or nil if it can't be
// encoded. It is compressed once for the same contents.
func (l *loop) completeList() *peer.ServerList {
	if l.packed == nil || l.packed.digest != l.list.Digest() {
		text, err := json.Marshal(l.list.Servers())
		if err != nil {
			l.log.Event(event.UpdateNotSent, err.Error(), zap.String("news", "servers"))
			return nil
		}
		l.packed = &packedList{l.list.Digest(), compress(text)}
	}
	return &peer.ServerList{ListOrigin: l.listOrigin(), Position: l.list.Position(), Digest: l.list.Digest(), Compressed: l.packed.compressed}
}

// addListChanges adds to a response the changes that the sender of a report lacks. It
// reports false if the sender needs the complete list.
func (l *loop) addListChanges(response *peer.ReportResponse, report *peer.Report) bool {
	if !l.list.Known() || l.list.Position().Before(report.ListBase) {
		return true
	}
	changes, few := l.list.Since(report.ListBase, maxListedChanges)
	if few {
		response.Changes = &peer.ServerChanges{ListOrigin: l.listOrigin(), Changes: changes}
	}
	return few
}
