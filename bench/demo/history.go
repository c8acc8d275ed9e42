package demo

import (
	"strings"
	"sync"

	"guavacrank.example/control/ownership"
	"guavacrank.example/kvstore"
	"guavacrank.example/traffic/route"
)

// ownedUnit is one unit of a service at one epoch.
type ownedUnit struct {
	service string
	unit    ownership.UnitID
	epoch   ownership.Epoch
}

// serviceKey is one key of a service.
type serviceKey struct{ service, key string }

// history is every state of every ownership page, as the store applied it.
type history struct {
	mu        sync.Mutex
	owners    map[ownedUnit]string
	shards    map[string]uint32
	overrides map[serviceKey]map[ownership.UnitID]bool // Every override that a key ever had.
	moves     int
	last      map[string]ownership.Page
	unsound   []string // Pages that break a rule.
}

func newHistory() *history {
	return &history{
		owners:    make(map[ownedUnit]string),
		shards:    make(map[string]uint32),
		overrides: make(map[serviceKey]map[ownership.UnitID]bool),
		last:      make(map[string]ownership.Page),
	}
}

// changed takes one change of the store.
func (h *history) changed(entry kvstore.Entry) {
	service, isPage := strings.CutPrefix(entry.Key, kvstore.PagePrefix)
	if !isPage || entry.Deleted {
		return
	}
	page, err := ownership.Decode(entry.Value)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.unsound = append(h.unsound, err.Error())
		return
	}
	h.shards[service] = page.Shards
	for _, unit := range page.Units {
		h.own(service, unit)
	}
	for _, override := range page.Overrides {
		key := serviceKey{service, override.Key}
		if h.overrides[key] == nil {
			h.overrides[key] = make(map[ownership.UnitID]bool)
		}
		h.overrides[key][override.Unit] = true
	}
	h.last[service] = page
}

// own records a unit's owner and counts a move.
func (h *history) own(service string, unit ownership.Unit) {
	at := ownedUnit{service, unit.ID, unit.Epoch}
	owner, known := h.owners[at]
	if known && owner != unit.Owner {
		h.unsound = append(h.unsound, "an epoch with two owners: "+owner+" and "+unit.Owner)
	}
	h.owners[at] = unit.Owner
	before, had := h.last[service]
	if !had {
		return
	}
	if old := before.Unit(unit.ID); old != nil && old.Owner != unit.Owner {
		h.moves++
	}
}

// belongs reports whether key may be served as this unit, by the hash or by an
// override of any time.
func (h *history) belongs(service, key string, unit ownership.UnitID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.overrides[serviceKey{service, key}][unit] {
		return true
	}
	return route.Shard(key, h.shards[service]) == uint32(unit)
}

// owner returns who owned a unit at an epoch, empty if nobody ever did.
func (h *history) owner(at ownedUnit) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.owners[at]
}

// ownerNow returns the owner of a key in the newest page.
func (h *history) ownerNow(service, key string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	page, ok := h.last[service]
	if !ok {
		return ""
	}
	if unit := page.UnitOf(key); unit != nil {
		return unit.Owner
	}
	return ""
}

// totals returns the number of moves and the rules that pages broke.
func (h *history) totals() (moves int, unsound []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.moves, append([]string(nil), h.unsound...)
}
