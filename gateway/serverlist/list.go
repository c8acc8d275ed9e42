package serverlist

import (
	"maps"
	"slices"

	"guavacrank.example/gateway/model"
	"guavacrank.example/kvstore"
)

// maxRemoved is the number of removed servers that are remembered. Who lacks an earlier
// change gets the complete list.
const maxRemoved = 1000

// List is the server list as of a position of the store. It is not safe for concurrent use.
type List struct {
	known    bool
	position kvstore.Position
	// begin is the position since which all changes are known.
	begin   kvstore.Position
	rows    map[model.Incarnation]row
	removed map[model.Incarnation]kvstore.Position // By server: where it was found removed.
	digest  uint64
	// differs says that the list is not the one that its latest changes lead to.
	differs bool
}

// row is a server with the position at which its last change was found.
type row struct {
	model.Server
	changedAt kvstore.Position
	digest    uint64
}

// New returns a list that is not known yet.
func New() *List {
	return &List{rows: make(map[model.Incarnation]row), removed: make(map[model.Incarnation]kvstore.Position)}
}

// Known reports whether the list holds anything.
func (l *List) Known() bool { return l.known }

// Position returns the state of the store from which the list was read.
func (l *List) Position() kvstore.Position { return l.position }

// Begin returns the earliest position since which all changes are known.
func (l *List) Begin() kvstore.Position { return l.begin }

// Digest identifies the contents.
func (l *List) Digest() uint64 { return l.digest }

// Base returns the position from which on this list needs changes; zero if it needs a
// complete list.
func (l *List) Base() kvstore.Position {
	if !l.known || l.differs {
		return kvstore.Position{}
	}
	return l.position
}

// Servers returns the servers in no particular order.
func (l *List) Servers() []model.Server {
	servers := make([]model.Server, 0, len(l.rows))
	for _, r := range l.rows {
		servers = append(servers, r.Server)
	}
	return servers
}

// Replace replaces the contents by the complete list at a position, which must not be before
// that of this list.
func (l *List) Replace(position kvstore.Position, servers []model.Server) {
	if !l.known || position.Era != l.position.Era {
		l.begin = position
		clear(l.removed)
	}
	l.known, l.position, l.differs = true, position, false
	listed := make(map[model.Incarnation]bool, len(servers))
	for _, server := range servers {
		listed[server.Incarnation()] = true
		l.put(server)
	}
	for incarnation := range l.rows {
		if !listed[incarnation] {
			l.remove(incarnation)
		}
	}
	l.forgetRemoved()
}

// put adds or updates a server at the present position.
func (l *List) put(server model.Server) {
	server.WarmUp = 0 // It decreases with every read.
	incarnation := server.Incarnation()
	previous, found := l.rows[incarnation]
	if found && previous.Server == server {
		return
	}
	next := row{Server: server, changedAt: l.position, digest: digestOf(server)}
	l.digest += next.digest - previous.digest
	l.rows[incarnation] = next
	delete(l.removed, incarnation)
}

// remove removes a server at the present position.
func (l *List) remove(incarnation model.Incarnation) {
	previous, found := l.rows[incarnation]
	if !found {
		return
	}
	l.digest -= previous.digest
	delete(l.rows, incarnation)
	l.removed[incarnation] = l.position
}

// forgetRemoved forgets the earlier half of the removed servers if there are more than
// maxRemoved.
func (l *List) forgetRemoved() {
	if len(l.removed) <= maxRemoved {
		return
	}
	positions := slices.SortedFunc(maps.Values(l.removed), compare)
	l.begin = positions[len(positions)/2]
	maps.DeleteFunc(l.removed, func(_ model.Incarnation, at kvstore.Position) bool { return !l.begin.Before(at) })
}

func compare(x, y kvstore.Position) int {
	switch {
	case x.Before(y):
		return -1
	case y.Before(x):
		return 1
	default:
		return 0
	}
}
