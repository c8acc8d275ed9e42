package availability

import (
	"cmp"
	"slices"
	"time"

	"guavacrank.example/gateway/model"
)

// Kind is a kind of news of a server.
type Kind uint8

// Kinds.
const (
	// LeavingBegun: the server said for the first time that it is leaving.
	LeavingBegun Kind = iota
	// LeavingForgotten: a server that was leaving is not remembered any more.
	LeavingForgotten
	// BackoffBegun: the server wants no requests until a time.
	BackoffBegun
	// BackoffEnded: that time has passed.
	BackoffEnded
	// BackoffInvalid: the server named a time that is not valid, for the first time.
	BackoffInvalid
)

// News is a change of what is known of a server.
type News struct {
	Kind        Kind
	Incarnation model.Incarnation
	// Until is the end of a backoff that has begun.
	Until time.Duration
	// Text is a time that is not valid.
	Text string
}

// TakeNews returns the changes since the last call, sorted by server, and forgets the
// servers whose time to be remembered has passed.
func (t *Table) TakeNews(now time.Duration) []News {
	if !t.changed.Swap(false) && now < t.nextAt {
		return nil
	}
	var news []News
	leaving, backingOff := int64(0), int64(0)
	t.nextAt = never
	for incarnation, e := range t.entries {
		news = append(news, e.takeNews(now, incarnation)...)
		if e.released && now >= e.forgetAt() {
			news = append(news, e.forget(incarnation)...)
			delete(t.entries, incarnation)
			continue
		}
		t.nextAt = min(t.nextAt, e.nextAt())
		leaving += count(e.leaving)
		backingOff += count(e.backingOff)
	}
	t.leaving.Store(leaving)
	t.backingOff.Store(backingOff)
	slices.SortFunc(news, func(x, y News) int {
		return cmp.Or(compare(x.Incarnation, y.Incarnation), cmp.Compare(x.Kind, y.Kind))
	})
	return news
}

func count(counted bool) int64 {
	if counted {
		return 1
	}
	return 0
}

// takeNews returns the changes of one server since the last call.
func (e *entry) takeNews(now time.Duration, incarnation model.Incarnation) []News {
	said := e.server.said.Load()
	if said == nil {
		return nil
	}
	var news []News
	if said.leaving && !e.leaving {
		news = append(news, News{Kind: LeavingBegun, Incarnation: incarnation})
	}
	if said.backoffUntil > e.backoffUntil && !e.backingOff {
		e.backingOff = true
		news = append(news, News{Kind: BackoffBegun, Incarnation: incarnation, Until: said.backoffUntil})
	}
	if e.backingOff && now >= said.backoffUntil {
		e.backingOff = false
		news = append(news, News{Kind: BackoffEnded, Incarnation: incarnation})
	}
	if said.invalidBackoff != "" && !e.invalid {
		news = append(news, News{Kind: BackoffInvalid, Incarnation: incarnation, Text: said.invalidBackoff})
	}
	e.leaving, e.backoffUntil, e.invalid = said.leaving, said.backoffUntil, said.invalidBackoff != ""
	return news
}

// forget returns the news that the server is not remembered any more.
func (e *entry) forget(incarnation model.Incarnation) []News {
	var news []News
	if e.leaving {
		news = append(news, News{Kind: LeavingForgotten, Incarnation: incarnation})
	}
	if e.backingOff {
		news = append(news, News{Kind: BackoffEnded, Incarnation: incarnation})
	}
	return news
}

// nextAt returns when the time alone changes what is known of the server.
func (e *entry) nextAt() time.Duration {
	next := never
	if e.released {
		next = e.forgetAt()
	}
	if e.backingOff {
		next = min(next, e.backoffUntil)
	}
	return next
}
