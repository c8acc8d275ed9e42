package serverlist

import (
	"guavacrank.example/gateway/model"
	"guavacrank.example/kvstore"
)

// Changes turn a list that was read from the store at Base, or between Base and Position,
// into the list at Position.
type Changes struct {
	Base     kvstore.Position `json:"base"`
	Position kvstore.Position `json:"position"`
	// Digest is that of the list at Position.
	Digest uint64 `json:"digest"`
	// Servers were added or changed, Removed are not listed any more.
	Servers []model.Server      `json:"servers,omitempty"`
	Removed []model.Incarnation `json:"removed,omitempty"`
}

// Empty reports whether nothing has changed but the position.
func (c Changes) Empty() bool { return len(c.Servers)+len(c.Removed) == 0 }

// Since returns the changes since base. It reports false if they are not known, if base is
// not a position of the present era up to now, or if they are more than most.
func (l *List) Since(base kvstore.Position, most int) (Changes, bool) {
	changes := Changes{Base: base, Position: l.position, Digest: l.digest}
	if !l.known || l.differs || base.Era != l.position.Era || base.Before(l.begin) || l.position.Before(base) {
		return changes, false
	}
	for _, r := range l.rows {
		if r.changed.after(base) {
			changes.Servers = append(changes.Servers, r.Server)
		}
	}
	for incarnation, removed := range l.removed {
		if removed.after(base) {
			changes.Removed = append(changes.Removed, incarnation)
		}
	}
	return changes, len(changes.Servers)+len(changes.Removed) <= most
}

// Outcome says what became of changes, as named in the log.
type Outcome string

// Outcomes.
const (
	// InForce: the list is now the one at the position of the changes.
	InForce Outcome = "in_force"
	// SamePosition: the list is the same, and has this position already.
	SamePosition Outcome = "same_position"
	// Older: the list is newer.
	Older Outcome = "older"
	// Gap: changes before these are missing.
	Gap Outcome = "earlier_changes_missing"
	// Different: the changes are in force, but the list that they lead to has other contents.
	// Base is zero from now on, until a complete list has replaced this one.
	Different Outcome = "other_contents"
)

// Current reports whether the list is now at least as new as the changes.
func (o Outcome) Current() bool { return o != Gap }

// Apply applies changes if they continue the list.
func (l *List) Apply(changes Changes) Outcome {
	switch {
	case !l.known || changes.Position.Era != l.position.Era && l.position.Before(changes.Position):
		return Gap
	case changes.Position.Before(l.position):
		return Older
	case changes.Position == l.position && changes.Digest == l.digest:
		l.differs = false
		return SamePosition
	case l.position.Before(changes.Base):
		return Gap
	}
	found := mark{at: changes.Position, again: changes.Position == l.position}
	l.position = changes.Position
	for _, server := range changes.Servers {
		l.put(server, found)
	}
	for _, incarnation := range changes.Removed {
		l.remove(incarnation, found)
	}
	l.forgetRemoved()
	l.differs = l.digest != changes.Digest
	if l.differs {
		return Different
	}
	return InForce
}
