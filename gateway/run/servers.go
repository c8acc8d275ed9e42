package run

import (
	"net/http"
	"sort"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/balance"
	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/logbook"
	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/port"
	"guavacrank.example/traffic/upstream"
)

const (
	// connectTimeout bounds the making of a connection to a backend server.
	connectTimeout = 250 * time.Millisecond
	// idleTimeout is the longest time that an unused connection to a backend
	// server is kept.
	idleTimeout = 6 * time.Second
	// unackedTimeout is how long sent bytes may stay unacknowledged before a
	// connection to a backend server is given up.
	unackedTimeout = 800 * time.Millisecond
	// settleTime is what a server takes to end a new connection that it has no
	// room for.
	settleTime = 3 * time.Millisecond
	// interruption is the time without a reading of the servers after which an
	// absent server may still return.
	maxReadGap = 2500 * time.Millisecond
	// reappearTime is how long an absent server may then return.
	reappearTime = 2100 * time.Millisecond
	// defaultVMs is the number of VMs assumed until the leader says.
	defaultVMs = 16
	// minConnections is the least number of connections to one server.
	minConnections = 4
)

// serverTable holds the backend servers that the store lists.
type serverTable struct {
	settings *model.Settings
	dialect  port.HeaderCodec
	log      *logbook.Logger

	known bool
	// uninterrupted says that the last reading followed soon on another one.
	uninterrupted   bool
	readAt          time.Duration
	keepAbsentUntil time.Duration
	rows            map[model.Incarnation]*serverRow
	trust           upstream.IdleTrust // For all goroutines.
}

// serverRow is one life of a server.
type serverRow struct {
	model.Server
	listed bool
	gone   bool
	target *balance.Server
}

func newServerTable(settings *model.Settings, dialect port.HeaderCodec, log *logbook.Logger) *serverTable {
	return &serverTable{settings: settings, dialect: dialect, log: log, rows: make(map[model.Incarnation]*serverRow)}
}

// update takes a reading of all servers and says whether anything changed that
// traffic needs to know.
func (t *serverTable) update(now time.Duration, listed []model.Server) bool {
	t.uninterrupted = t.known && now-t.readAt < maxReadGap
	if t.known && !t.uninterrupted {
		t.keepAbsentUntil = now + reappearTime
	}
	changed := !t.known
	t.known, t.readAt = true, now
	for _, row := range t.rows {
		row.listed = false
	}
	for _, server := range listed {
		changed = t.upsert(server) || changed
	}
	return t.removeAbsent(now) || changed
}

// upsert takes one listed server. A server that was seen leaving stays so.
func (t *serverTable) upsert(server model.Server) bool {
	row := t.rows[server.Incarnation()]
	if row == nil || row.Address != server.Address {
		row = &serverRow{}
		t.rows[server.Incarnation()] = row
	}
	isNew := row.ID == "" || row.gone
	wasDraining := row.Draining
	server.Draining = server.Draining || wasDraining
	row.Server, row.listed, row.gone = server, true, false
	if isNew {
		t.log.Event(event.BackendSeen, "", t.logFields(server)...)
	}
	if server.Draining && !wasDraining {
		t.log.Event(event.BackendLeaving, "", t.logFields(server)...)
	}
	return isNew || server.Draining != wasDraining
}

// removeAbsent marks the servers that are gone and forgets those long gone.
func (t *serverTable) removeAbsent(now time.Duration) bool {
	changed := false
	for incarnation, row := range t.rows {
		if row.listed || now < t.keepAbsentUntil && !t.replaced(incarnation) {
			continue
		}
		if row.gone {
			if row.target == nil || row.target.InFlight() == 0 {
				t.forget(incarnation, row)
			}
			continue
		}
		row.gone = true
		changed = true
		t.log.Event(event.BackendGone, "", t.logFields(row.Server)...)
	}
	return changed
}

// replaced says whether a later life under the same ID is listed.
func (t *serverTable) replaced(incarnation model.Incarnation) bool {
	for other, row := range t.rows {
		if other.ID == incarnation.ID && other.Born > incarnation.Born && row.listed {
			return true
		}
	}
	return false
}

func (t *serverTable) forget(incarnation model.Incarnation, row *serverRow) {
	if row.target != nil {
		row.target.Pool.Close()
	}
	delete(t.rows, incarnation)
}

func (t *serverTable) logFields(server model.Server) []zap.Field {
	return []zap.Field{zap.String("server", server.ID), zap.Int64("born", server.Born), zap.String("service", server.Service),
		zap.String("address", server.Address), zap.String("zone", server.Zone), zap.Int("slots", server.Slots)}
}

// ofService returns the listed servers ofService a service.
func (t *serverTable) ofService(service string) []model.Server {
	var found []model.Server
	for _, row := range t.rows {
		if row.listed && row.Service == service {
			found = append(found, row.Server)
		}
	}
	return found
}

// available returns the servers of a service that take new requests.
func (t *serverTable) available(service string, configured model.Service, vms int) []*balance.Server {
	var found []*balance.Server
	for _, row := range t.rows {
		if !row.gone && !row.Draining && row.Service == service {
			found = append(found, t.target(row, configured, vms))
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].ID < found[j].ID })
	return found
}

// owners returns the servers that a page names and that take requests. A
// server that the page names before this VM has seen its record is taken too.
func (t *serverTable) owners(page *keys.Page, service string, configured model.Service, vms int) map[model.Incarnation]*balance.Server {
	found := make(map[model.Incarnation]*balance.Server)
	for _, r := range page.Ranges {
		incarnation := r.Owner.Incarnation
		if incarnation.ID == "" || found[incarnation] != nil {
			continue
		}
		row := t.rows[incarnation]
		if row == nil || row.Service != service || row.gone || row.Draining {
			continue
		}
		found[incarnation] = t.target(row, configured, vms)
	}
	return found
}

// target returns what traffic knows of a server.
func (t *serverTable) target(row *serverRow, configured model.Service, vms int) *balance.Server {
	if vms <= 0 {
		vms = defaultVMs
	}
	limit := t.settings.MaxDescriptors / 8
	if configured.MaxConnections > 0 {
		limit = max(configured.MaxConnections/(vms+1), minConnections)
	}
	if row.target == nil {
		row.target = &balance.Server{
			Server:   row.Server,
			Distance: t.distance(row.Zone),
			Pool:     upstream.NewPool(t.poolOptions(row.Address, limit)),
		}
	}
	row.target.Pool.SetLimit(limit)
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
		Address:        address,
		Connections:    limit,
		ConnectTimeout: connectTimeout,
		IdleTimeout:    idleTimeout,
		AcceptUnframed: true,
		Settle:         settleTime,
		Trust:          &t.trust,
		Belongs: func(request *http.Request, response *http.Response) bool {
			sent, _ := t.dialect.ReadRequest(request.Header) // A bad header was refused before.
			return t.dialect.ReadResponse(response.StatusCode, response.Header).RequestID == sent.ID
		},
		KeepAlive: func(response *http.Response) time.Duration {
			return t.dialect.ReadResponse(response.StatusCode, response.Header).KeepAlive
		},
		Control: upstream.GiveUpUnacknowledged(unackedTimeout),
	}
}

// closeIdle closes connections that were unused for long.
func (t *serverTable) closeIdle(now time.Time) {
	for _, row := range t.rows {
		if row.target != nil {
			row.target.Pool.CloseIdle(now)
		}
	}
}
