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
	removed map[model.Incarnation]mark // When each was found removed.
	digest  uint64
	// differs says that the list is not the one that its latest changes lead to.
	differs bool
}

// row is a server with its last change.
type row struct {
	model.Server
	changed mark
	digest  uint64
}

// mark says when a change was found.
type mark struct {
	at kvstore.Position
	// again says that an earlier list at the same position did not have the change: its
	// reader kept a server that might have reappeared, or read the pages at other times.
	again bool
}

// after reports whether a list at a position may lack the change.
func (m mark) after(position kvstore.Position) bool {
	return position.Before(m.at) || m.again && position == m.at
}

// New returns a list that is not known yet.
func New() *List {
	return &List{rows: make(map[model.Incarnation]row), removed: make(map[model.Incarnation]mark)}
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
	found := mark{at: position, again: l.known && position == l.position}
	l.known, l.position, l.differs = true, position, false
	listed := make(map[model.Incarnation]bool, len(servers))
	for _, server := range servers {
		listed[server.Incarnation()] = true
		l.put(server, found)
	}
	for incarnation := range l.rows {
		if !listed[incarnation] {
			l.remove(incarnation, found)
		}
	}
	l.forgetRemoved()
}

// put adds or updates a server.
func (l *List) put(server model.Server, found mark) {
	incarnation := server.Incarnation()
	previous, known := l.rows[incarnation]
	if known && previous.Server == server {
		return
	}
	next := row{Server: server, changed: found, digest: digestOf(server)}
	l.digest += next.digest - previous.digest
	l.rows[incarnation] = next
	delete(l.removed, incarnation)
}

// remove removes a server.
func (l *List) remove(incarnation model.Incarnation, found mark) {
	previous, known := l.rows[incarnation]
	if !known {
		return
	}
	l.digest -= previous.digest
	delete(l.rows, incarnation)
	l.removed[incarnation] = found
}

// forgetRemoved forgets the earlier half of the removed servers if there are more than
// maxRemoved.
func (l *List) forgetRemoved() {
	if len(l.removed) <= maxRemoved {
		return
	}
	marks := slices.SortedFunc(maps.Values(l.removed), func(x, y mark) int { return compare(x.at, y.at) })
	l.begin = marks[len(marks)/2].at
	maps.DeleteFunc(l.removed, func(_ model.Incarnation, m mark) bool { return !m.after(l.begin) })
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
