package run

import (
	"net/http"
	"slices"
	"sort"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/availability"
	"guavacrank.example/gateway/balance"
	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/logbook"
	"guavacrank.example/gateway/memory"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/port"
	"guavacrank.example/traffic/upstream"
)

const (
	// connectTimeout limits connection establishment to a backend server.
	connectTimeout = 250 * time.Millisecond
	// idleTimeout is the maximum time that an idle connection to a backend server
	// is kept open. The longer one is idle, the more often it turns out to be dead.
	idleTimeout = 2 * time.Second
	// keptIdleTimeout is that of the connection to each server that was used last, if the
	// server says that it keeps it for longer.
	keptIdleTimeout = 9 * time.Second
	// unackedTimeout is how long sent bytes may stay unacknowledged before a
	// connection to a backend server is closed.
	unackedTimeout = 800 * time.Millisecond
	// settleTime is the time within which a server closes a new connection that
	// exceeds its connection limit.
	settleTime = 3 * time.Millisecond
	// maxReadGap is the maximum time between two lists that count as uninterrupted,
	// unless the later one is settled. After a longer gap, absent servers are kept for
	// reappearTime.
	maxReadGap = 2500 * time.Millisecond
	// reappearTime is how long an absent server is kept after a gap, since its
	// record may reappear.
	reappearTime = 2100 * time.Millisecond
	// defaultVMs is the assumed number of VMs until the leader reports it.
	defaultVMs = 16
	// minConnections is the minimum connection limit per server by the process's descriptors.
	minConnections = 4
)

// serverTable holds the backend servers listed in the store.
type serverTable struct {
	settings *model.Settings
	headers  port.HeaderCodec
	log      *logbook.Logger
	memory   *memory.Account
	dial     upstream.Dial // Nil means TCP.

	known bool // Whether the list has been read.
	// knownSince is when it was read for the first time.
	knownSince time.Duration
	// uninterrupted says that servers which the list lacks have left, apart from those that
	// are kept.
	uninterrupted   bool
	readAt          time.Duration
	keepAbsentUntil time.Duration
	rows            map[model.Incarnation]*serverRow
	departures      departures
	availability    *availability.Table
	services        map[string]model.Service // As configured; nil if unknown.
	restored        bool                     // The store was restored since the last read.
	trust           upstream.IdleLimit       // Safe for all goroutines.
	opened          upstream.Opened          // Safe for all goroutines.
	// evacuated holds the evacuated zones; evacuatedZones names them, for all goroutines.
	evacuated      map[string]bool
	evacuatedZones atomic.Pointer[[]string]
	// bounded holds the logged MaxConnections of services with a lower limit here.
	bounded map[string]int
}

// serverRow is one incarnation of a server.
type serverRow struct {
	model.Server
	listed bool
	gone   bool            // Not listed any more; kept until its requests have ended.
	target *balance.Server // Created on demand.
	cold   coldSpell
	// limited says whether the server's limit was logged and has not ended.
	limited bool
	// saidLeaving says that a VM reported to this leader that the server is leaving. Its
	// keys move as if its record said so; its record does not change for request handling.
	saidLeaving bool
}

// takesRequests reports whether the server may get new requests.
func (r *serverRow) takesRequests() bool { return !r.gone && !r.Draining && !r.Evacuated }

func newServerTable(settings *model.Settings, codec port.HeaderCodec, log *logbook.Logger) *serverTable {
	t := &serverTable{
		settings:     settings,
		headers:      codec,
		log:          log,
		rows:         make(map[model.Incarnation]*serverRow),
		availability: availability.NewTable(settings.Bounds.DrainTime),
		bounded:      make(map[string]int),
		evacuated:    make(map[string]bool),
	}
	t.storeEvacuatedZones()
	return t
}

// update processes a complete server list. Settled says that servers which it lacks have
// left, however long ago the previous one was read. It says whether anything changed that
// affects request handling.
func (t *serverTable) update(now time.Duration, listed []model.Server, settled bool) bool {
	changed := !t.known
	t.noteList(now, settled)
	for _, row := range t.rows {
		row.listed = false
	}
	for _, server := range listed {
		if row := t.rows[server.Incarnation()]; (row == nil || row.gone) && t.departures.doubted(now, server.Incarnation()) {
			continue
		}
		changed = t.upsert(now, server) || changed
	}
	changed = t.noteEvacuations(listed) || changed
	return t.removeAbsent(now) || changed
}

// confirm processes a list without changes since the last one, as update does.
func (t *serverTable) confirm(now time.Duration, settled bool) bool {
	t.noteList(now, settled)
	return t.removeAbsent(now)
}

// noteList records that there is another list.
func (t *serverTable) noteList(now time.Duration, settled bool) {
	t.uninterrupted = t.known && !t.restored && (settled || !t.interrupted(now))
	t.restored = false
	switch {
	case !t.known:
		t.knownSince = now
	case !t.uninterrupted:
		t.keepAbsentUntil = now + reappearTime
	case settled:
		t.keepAbsentUntil = 0 // The sender of the list keeps those that may reappear.
	}
	t.known, t.readAt = true, now
}

// interrupted says whether the last list is so old that servers may be missing from the
// next one only for a time.
func (t *serverTable) interrupted(now time.Duration) bool {
	return t.known && now-t.readAt >= maxReadGap
}

// settled says whether servers which the table lacks have left: it was known for long
// enough for those that may reappear to be kept.
func (t *serverTable) settled(now time.Duration) bool {
	return t.known && now-t.knownSince >= reappearTime
}

// present returns the servers that are not gone.
func (t *serverTable) present() []model.Server {
	servers := make([]model.Server, 0, len(t.rows))
	for _, row := range t.rows {
		if !row.gone {
			servers = append(servers, row.Server)
		}
	}
	return servers
}

// upsert adds or updates a listed server. A server that was draining stays
// draining. It says whether anything changed that affects request handling.
func (t *serverTable) upsert(now time.Duration, server model.Server) bool {
	row := t.rows[server.Incarnation()]
	if row == nil {
		row = &serverRow{}
		t.rows[server.Incarnation()] = row
	}
	isNew := row.ID == "" || row.gone || row.Address != server.Address
	if row.Address != server.Address {
		row.closeTarget()
	}
	wasDraining, turned := row.Draining, t.setCold(now, row, server)
	server.Draining = server.Draining || wasDraining
	row.Server, row.listed, row.gone = server, true, false
	if isNew {
		t.log.Event(event.BackendSeen, "", t.logFields(server)...)
	}
	if server.Draining && !wasDraining {
		t.log.Event(event.BackendLeaving, "", t.logFields(server)...)
	}
	return isNew || turned || server.Draining != wasDraining
}

// removeAbsent marks unlisted servers as gone, and removes those that were already
// gone and have no requests in flight. After a gap between reads, unlisted servers
// that have not been replaced are kept until keepAbsentUntil.
func (t *serverTable) removeAbsent(now time.Duration) bool {
	changed := false
	for incarnation, row := range t.rows {
		if row.listed || now < t.keepAbsentUntil && !t.replaced(incarnation) {
			continue
		}
		if row.gone {
			if row.target == nil || row.target.InFlight() == 0 {
				t.forget(now, incarnation, row)
			}
			continue
		}
		row.gone = true
		changed = true
		t.departures.add(now, incarnation)
		t.log.Event(event.BackendGone, "", t.logFields(row.Server)...)
	}
	return changed
}

// replaced says whether a later incarnation with the same ID is listed.
func (t *serverTable) replaced(incarnation model.Incarnation) bool {
	for other, row := range t.rows {
		if other.ID == incarnation.ID && other.Born > incarnation.Born && row.listed {
			return true
		}
	}
	return false
}

func (t *serverTable) forget(now time.Duration, incarnation model.Incarnation, row *serverRow) {
	row.closeTarget()
	t.availability.Release(now, incarnation)
	delete(t.rows, incarnation)
}

// closeTarget ends the use of the server at the address of its record until now. Requests
// in flight go on.
func (r *serverRow) closeTarget() {
	if r.target != nil {
		r.target.Pool.Close()
		r.target = nil
	}
}

func (t *serverTable) logFields(server model.Server) []zap.Field {
	return []zap.Field{zap.String("server", server.ID), zap.Int64("born", server.Born), zap.String("service", server.Service),
		zap.String("address", server.Address), zap.String("zone", server.Zone), zap.Int("slots", server.Slots)}
}

// ofService returns the listed servers of a service, for the state machine of its keys.
// Those in evacuated zones and outside ownerRegions, unless it is empty, count as leaving:
// their keys move.
func (t *serverTable) ofService(service string, ownerRegions ...string) []model.Server {
	var found []model.Server
	for _, row := range t.rows {
		if row.listed && row.Service == service {
			server := row.Server
			server.Draining = server.Draining || row.saidLeaving || server.Evacuated
			away := len(ownerRegions) > 0 && !slices.Contains(ownerRegions, t.settings.Region(server.Zone))
			server.Draining = server.Draining || away
			found = append(found, server)
		}
	}
	return found
}

// available returns the servers of a service that accept new requests, sorted by
// ID.
func (t *serverTable) available(service string, configured model.Service, vms int) []*balance.Server {
	var found []*balance.Server
	for _, row := range t.rows {
		if row.takesRequests() && row.Service == service {
			found = append(found, t.target(row, configured, vms))
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].ID < found[j].ID })
	return found
}

// owners returns the owners of keys in a page that are listed and accept requests.
func (t *serverTable) owners(page *keys.Page, service string, configured model.Service, vms int) map[model.Incarnation]*balance.Server {
	found := make(map[model.Incarnation]*balance.Server)
	for _, r := range page.Ranges {
		incarnation := r.Owner.Incarnation
		if incarnation.ID == "" || found[incarnation] != nil {
			continue
		}
		row := t.rows[incarnation]
		if row == nil || row.Service != service || !row.takesRequests() {
			continue
		}
		found[incarnation] = t.target(row, configured, vms)
	}
	return found
}

// target returns the server as used by request handling, with its connection limit
// updated.
func (t *serverTable) target(row *serverRow, configured model.Service, vms int) *balance.Server {
	if vms <= 0 {
		vms = defaultVMs
	}
	limit := t.connectionLimit(row.Service, configured, vms)
	if row.target == nil {
		row.target = &balance.Server{
			Server:       row.Server,
			Region:       t.settings.Region(row.Zone),
			Distance:     t.distance(row.Zone),
			Pool:         upstream.NewPool(t.poolOptions(row.Address, limit)),
			Availability: t.availability.Server(row.Incarnation()),
		}
	}
	row.target.Pool.SetLimit(limit)
	t.limitCold(row, configured)
	return row.target
}

func (t *serverTable) distance(zone string) balance.Distance {
	switch {
	case zone == t.settings.Zone:
		return balance.SameZone
	case t.settings.Region(zone) == t.settings.Region(t.settings.Zone):
		return balance.SameRegion
	default:
		return balance.OtherRegion
	}
}

func (t *serverTable) poolOptions(address string, limit int) upstream.Options {
	return upstream.Options{
		Address:         address,
		MaxConnections:  limit,
		ConnectTimeout:  connectTimeout,
		IdleTimeout:     idleTimeout,
		KeptIdleTimeout: keptIdleTimeout,
		Opened:          &t.opened,
		AcceptUnframed:  true,
		RefusalDelay:    settleTime,
		IdleLimit:       &t.trust,
		HeaderMemory:    func() upstream.HeaderMemory { return t.memory.Hold(memory.ResponseHeaders) },
		MatchesRequest: func(request *http.Request, response *http.Response) bool {
			sent, _ := t.headers.ReadRequest(request.Header) // Invalid headers were rejected before.
			return t.headers.ReadResponse(response.StatusCode, response.Header).RequestID == sent.ID
		},
		KeepAliveTimeout: func(response *http.Response) time.Duration {
			return t.headers.ReadResponse(response.StatusCode, response.Header).KeepAlive
		},
		Control: upstream.UserTimeout(unackedTimeout),
		Dial:    t.dial,
	}
}

// closeIdle closes connections that have exceeded their idle timeout.
func (t *serverTable) closeIdle(now time.Time) {
	for _, row := range t.rows {
		if row.target != nil {
			row.target.Pool.CloseIdle(now)
		}
	}
}
