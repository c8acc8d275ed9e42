package run

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/model"
	"guavacrank.example/kvstore"
)

// Operators evacuate an availability zone by a record in the store. Whoever reads the servers'
// records reads these too and marks the zone's servers, so that a VM knows of an evacuation as
// soon and as surely as of a departure: by the age of its list. The design is described in
// docs/design/evacuation.md.

// evacuationReuseShare is the share of the time by which the evacuation time exceeds the drain
// time for which a reader goes on with the evacuations that it has read.
const evacuationReuseShare = 0.4

// evacuationReader reads which zones are evacuated. It belongs to one goroutine; the sets that
// it returns are not modified any more.
type evacuationReader struct {
	loop   *loop
	zones  map[string]bool // Nil before the first read.
	era    kvstore.Era
	readAt time.Duration
}

// evacuationReuse returns for how long a reader goes on with the evacuations that it has read.
func (l *loop) evacuationReuse() time.Duration {
	return time.Duration(evacuationReuseShare * float64(l.settings.Bounds.EvacuationTime-l.newsTime()))
}

// zonesFor returns the zones that were evacuated when a list of servers was read from the store
// in an era, or evacuationReuse before that. After an error they are unknown, and so is
// which of the list's servers may get requests.
func (r *evacuationReader) zonesFor(ctx context.Context, era kvstore.Era) (map[string]bool, error) {
	if r.loop.settings.Bounds.EvacuationTime == 0 {
		return nil, nil // Operators evacuate no zones.
	}
	now := r.loop.clock()
	if r.zones != nil && r.era == era && now-r.readAt < r.loop.evacuationReuse() {
		return r.zones, nil
	}
	entries, position, err := r.loop.store.List(ctx, r.loop.records.EvacuationPrefix())
	if err != nil {
		return nil, err
	}
	r.zones, r.era, r.readAt = make(map[string]bool, len(entries)), position.Era, now
	for _, entry := range entries {
		r.zones[r.loop.records.EvacuatedZone(entry)] = true
	}
	return r.zones, nil
}

// markEvacuated marks the servers of evacuated zones.
func markEvacuated(servers []model.Server, zones map[string]bool) {
	for at := range servers {
		servers[at].Evacuated = zones[servers[at].Zone]
	}
}

// noteEvacuations learns from a complete list which zones are evacuated. A list that names no
// server of a zone says nothing of it. It says whether anything changed.
func (t *serverTable) noteEvacuations(listed []model.Server) bool {
	zones := make(map[string]bool)
	for _, server := range listed {
		zones[server.Zone] = zones[server.Zone] || server.Evacuated
	}
	changed := false
	for zone, evacuated := range zones {
		changed = t.setEvacuated(zone, evacuated) || changed
	}
	for _, row := range t.rows {
		row.Evacuated = t.evacuated[row.Zone] // Also of those that the list lacks and that are kept.
	}
	t.storeEvacuatedZones()
	return changed
}

// setEvacuated records whether a zone is evacuated, and says whether that is a change.
func (t *serverTable) setEvacuated(zone string, evacuated bool) bool {
	switch {
	case t.evacuated[zone] == evacuated:
		return false
	case evacuated:
		t.evacuated[zone] = true
		t.log.Event(event.EvacuationBegun, "", zap.String("zone", zone))
	default:
		delete(t.evacuated, zone)
		t.log.Event(event.EvacuationEnded, "", zap.String("zone", zone))
	}
	return true
}

// storeEvacuatedZones makes the names of the evacuated zones known to all goroutines.
func (t *serverTable) storeEvacuatedZones() {
	zones := make([]string, 0, len(t.evacuated))
	for zone := range t.evacuated {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	t.evacuatedZones.Store(&zones)
}

// evacuatedNow returns the names of the evacuated zones. It is safe for all goroutines.
func (t *serverTable) evacuatedNow() []string { return *t.evacuatedZones.Load() }
