package availability

import (
	"sync/atomic"
	"time"
)

// Notice is what one response of a server says of its availability.
type Notice struct {
	// Leaving says that the server is leaving.
	Leaving bool
	// Backoff is the time for which the server wants no requests, or zero.
	Backoff time.Duration
	// InvalidBackoff is the text of a time that is not valid, or empty.
	InvalidBackoff string
}

// Decision says whether a request may be sent to a server.
type Decision uint8

// Decisions.
const (
	// Available: the server takes requests.
	Available Decision = iota
	// LastResort: the server is leaving, but the request may still be sent to it if no
	// other server can take it.
	LastResort
	// BackingOff: the server wants no requests at present.
	BackingOff
	// Left: the server is leaving and gets no such request any more.
	Left
)

// Server is what one incarnation of a server has said. It is safe for concurrent use. A
// nil Server is available.
type Server struct {
	table *Table
	// said is nil until a response says anything.
	said atomic.Pointer[statement]
}

// statement is all that a server has said so far. It is not modified.
type statement struct {
	leaving      bool
	leavingSince time.Duration
	// backoffUntil is the latest end of the backoffs; zero if there was none.
	backoffUntil time.Duration
	// invalidBackoff is the first invalid text.
	invalidBackoff string
}

// Observe records what a response says whose headers were read at the given time.
func (s *Server) Observe(now time.Duration, notice Notice) {
	if notice == (Notice{}) {
		return
	}
	for {
		old := s.said.Load()
		updated := old.with(now, notice)
		if old != nil && updated == *old {
			return
		}
		if s.said.CompareAndSwap(old, &updated) {
			s.table.changed.Store(true)
			return
		}
	}
}

// with returns the statement with a notice added.
func (s *statement) with(now time.Duration, notice Notice) statement {
	var updated statement
	if s != nil {
		updated = *s
	}
	if notice.Leaving && !updated.leaving {
		updated.leaving, updated.leavingSince = true, now
	}
	if notice.Backoff > 0 {
		updated.backoffUntil = max(updated.backoffUntil, now+notice.Backoff)
	}
	if updated.invalidBackoff == "" {
		updated.invalidBackoff = notice.InvalidBackoff
	}
	return updated
}

// Decide decides on a request that arrived at this VM at the given time.
func (s *Server) Decide(now, arrived time.Duration) Decision {
	if s == nil {
		return Available
	}
	said := s.said.Load()
	switch {
	case said == nil:
		return Available
	case said.leaving && arrived > said.leavingSince+s.table.DrainTime():
		return Left
	case now < said.backoffUntil:
		return BackingOff
	case said.leaving:
		return LastResort
	default:
		return Available
	}
}

// BackoffEnd returns the end of the server's backoff, or zero if it had none.
func (s *Server) BackoffEnd() time.Duration {
	if s == nil {
		return 0
	}
	if said := s.said.Load(); said != nil {
		return said.backoffUntil
	}
	return 0
}
