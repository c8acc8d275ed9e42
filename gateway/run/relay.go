package run

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/peer"
	"guavacrank.example/kvstore"
)

const (
	// relistInterval is the minimum time between two relists by one watcher.
	relistInterval = time.Second
	// staleThreshold is the number of consecutive responses with a newer version
	// after which a watch counts as failed. It is also the number of consecutive
	// failed reports after which the leader counts as lost.
	staleThreshold = 2
	// maxListedChanges is the number of changes of the server list up to which the
	// leader of a large fleet sends them in its responses.
	maxListedChanges = 100
	// maxRemoved is the number of removed servers that are remembered for daemons with
	// an older list. A daemon that lacks an earlier change gets the complete list.
	maxRemoved = 1000
)

// relay distributes the leader's server list to the other daemons, so that only the
// leader reads it from the store.
type relay struct {
	// revision counts the changes of this daemon's own list. rows and removed hold
	// the revision of each server's last change.
	revision uint64
	rows     map[model.Incarnation]relayRow
	removed  map[model.Incarnation]uint64
	// forgotten is the revision up to which removals are not known any more.
	forgotten uint64
	// tableReadAt identifies the read of the server table that was processed last.
	// compressed is the complete list at some revision, created on demand.
	tableReadAt time.Duration
	compressed  *peer.ServerList
	position    kvstore.Position // The table's.

	// source, seenRevision, readFrom and servers are the list received from a leader.
	source       string
	seenRevision uint64
	readFrom     kvstore.Position
	servers      map[model.Incarnation]model.Server
	received     *peer.ServerList // The list received, compressed on demand.

	// reportFailures counts consecutive reports without a response from a leader.
	// unansweredReports counts those without any response.
	// staleResponses counts consecutive responses with a newer configuration.
	reportFailures          int
	unansweredReports       int
	staleResponses          int
	configurationRelistedAt time.Duration
	leaderRelistedAt        time.Duration
}

// relayRow is a server with the revision of its last change.
type relayRow struct {
	model.Server
	revision uint64
}

func newRelay() relay {
	return relay{rows: make(map[model.Incarnation]relayRow), removed: make(map[model.Incarnation]uint64), servers: make(map[model.Incarnation]model.Server)}
}

// update records the changes of this daemon's server table as new revisions.
func (r *relay) update(table *serverTable) {
	r.position = table.position
	if r.tableReadAt == table.readAt && r.revision > 0 {
		return
	}
	r.tableReadAt = table.readAt
	listed := make(map[model.Incarnation]bool, len(table.rows))
	for incarnation, row := range table.rows {
		if row.gone {
			continue
		}
		listed[incarnation] = true
		server := row.Server
		server.WarmUp = 0 // It decreases with every read.
		if previous, known := r.rows[incarnation]; known && previous.Server == server {
			continue
		}
		r.revision++
		r.rows[incarnation] = relayRow{server, r.revision}
		delete(r.removed, incarnation)
	}
	for incarnation := range r.rows {
		if !listed[incarnation] {
			r.revision++
			delete(r.rows, incarnation)
			r.removed[incarnation] = r.revision
		}
	}
	r.forgetRemoved()
}

// forgetRemoved forgets the earlier half of the removed servers if there are more than
// maxRemoved.
func (r *relay) forgetRemoved() {
	if len(r.removed) <= maxRemoved {
		return
	}
	revisions := slices.Sorted(maps.Values(r.removed))
	r.forgotten = revisions[len(revisions)/2]
	maps.DeleteFunc(r.removed, func(_ model.Incarnation, revision uint64) bool { return revision <= r.forgotten })
}

// needsFullList says whether the sender of a report needs the complete list.
func (r *relay) needsFullList(source string, report *peer.Report) bool {
	return report.Source != source || report.Revision > r.revision || report.Revision < r.forgotten
}

// needsListSpread says whether the sender of a report lacks so many changes that it
// gets the complete list along the forwarding tree in a large fleet.
func (r *relay) needsListSpread(source string, report *peer.Report) bool {
	return r.needsFullList(source, report) || r.revision-report.Revision > maxListedChanges
}

// fullList returns the complete list in the form sent to peers.
func (r *relay) fullList(source string) (*peer.ServerList, error) {
	if r.compressed != nil && r.compressed.Revision == r.revision {
		r.compressed = readFrom(r.compressed, r.position)
		return r.compressed, nil
	}
	servers := make([]model.Server, 0, len(r.rows))
	for _, row := range r.rows {
		servers = append(servers, row.Server)
	}
	var err error
	r.compressed, err = compressList(source, r.revision, r.position, servers)
	return r.compressed, err
}

// readFrom returns a list with the given state of the store, from which it was read again
// without a change.
func readFrom(list *peer.ServerList, position kvstore.Position) *peer.ServerList {
	if list.ReadFrom == position {
		return list
	}
	again := *list // The list may be being sent.
	again.ReadFrom = position
	return &again
}

// receivedList returns the list received from a leader in the form sent to peers.
func (r *relay) receivedList() (*peer.ServerList, error) {
	if r.received != nil && r.received.Source == r.source && r.received.Revision == r.seenRevision {
		r.received = readFrom(r.received, r.readFrom)
		return r.received, nil
	}
	var err error
	r.received, err = compressList(r.source, r.seenRevision, r.readFrom, slices.Collect(maps.Values(r.servers)))
	return r.received, err
}

func compressList(source string, revision uint64, position kvstore.Position, servers []model.Server) (*peer.ServerList, error) {
	text, err := json.Marshal(servers)
	if err != nil {
		return nil, err
	}
	return &peer.ServerList{Source: source, Revision: revision, ReadFrom: position, Compressed: compress(text)}, nil
}

// addChanges adds the changes that the sender of a report lacks to the response.
func (r *relay) addChanges(response *peer.ReportResponse, source string, report *peer.Report) {
	response.Source, response.Revision, response.ReadFrom = source, r.revision, r.position
	if r.needsFullList(source, report) {
		response.Full = true
		response.Servers, _ = r.changesSince(0)
	} else if report.Revision < r.revision {
		response.Servers, response.Removed = r.changesSince(report.Revision)
	}
	if !response.Full {
		response.Base = report.Revision
	}
}

// changesSince returns the servers that were added or changed, and those that were
// removed, after a revision.
func (r *relay) changesSince(revision uint64) ([]model.Server, []model.Incarnation) {
	var changed []model.Server
	for _, row := range r.rows {
		if row.revision > revision {
			changed = append(changed, row.Server)
		}
	}
	var removed []model.Incarnation
	for incarnation, change := range r.removed {
		if change > revision {
			removed = append(removed, incarnation)
		}
	}
	return changed, removed
}

// accepts says whether the list or the changes in a response are newer than the received
// list, and apply to it. They may have been overtaken by others.
func (r *relay) accepts(response *peer.ReportResponse) bool {
	switch {
	case response.Source != r.source:
		return response.Full
	case response.Full:
		return response.Revision >= r.seenRevision
	default:
		return response.Base <= r.seenRevision && response.Revision >= r.seenRevision
	}
}

// apply applies the changes in a response and returns the complete list.
func (r *relay) apply(response *peer.ReportResponse) []model.Server {
	if response.Full {
		clear(r.servers)
	}
	r.source, r.seenRevision, r.readFrom = response.Source, response.Revision, response.ReadFrom
	for _, server := range response.Servers {
		r.servers[server.Incarnation()] = server
	}
	for _, incarnation := range response.Removed {
		delete(r.servers, incarnation)
	}
	listed := make([]model.Server, 0, len(r.servers))
	for _, server := range r.servers {
		listed = append(listed, server)
	}
	return listed
}
