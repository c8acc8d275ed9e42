package run

import (
	"time"

	"guavacrank.example/gateway/model"
)

const (
	// departureTTL is how long a server is remembered after it left the list.
	departureTTL = 2 * time.Minute
	// expiryHeartbeats is the number of heartbeats without which a server's record
	// expires, and one for the list to be read.
	expiryHeartbeats = 3 + 1
	// defaultHeartbeatInterval is assumed if the settings name none.
	defaultHeartbeatInterval = time.Second
)

// departures are the servers that have left the list. A store that was restored from an
// earlier copy lists them again until their records expire.
type departures struct {
	at map[model.Incarnation]time.Duration // When each left the list.
	// doubtedUntil is until when a departed server that is listed again is ignored.
	doubtedUntil time.Duration
}

// add records that a server has left the list.
func (d *departures) add(now time.Duration, incarnation model.Incarnation) {
	if d.at == nil {
		d.at = make(map[model.Incarnation]time.Duration)
	}
	for other, at := range d.at {
		if now >= at+departureTTL {
			delete(d.at, other)
		}
	}
	d.at[incarnation] = now
}

// doubted says whether a listed server is likely to be one of a restored list that has
// left since.
func (d *departures) doubted(now time.Duration, incarnation model.Incarnation) bool {
	_, departed := d.at[incarnation]
	return departed && now < d.doubtedUntil
}

// storeRestored prepares the table for lists of a store that was restored from an
// earlier copy.
func (t *serverTable) storeRestored(now time.Duration) {
	interval := t.settings.HeartbeatInterval
	if interval == 0 {
		interval = defaultHeartbeatInterval
	}
	t.departures.doubtedUntil = now + expiryHeartbeats*interval
	t.restored = true
}

// returned records that a server was heard of since it left the list.
func (t *serverTable) returned(incarnation model.Incarnation) { delete(t.departures.at, incarnation) }
