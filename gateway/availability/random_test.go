package availability

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavacrank.example/gateway/model"
)

// response is a response of an incarnation, as the test remembers it.
type response struct {
	at     time.Duration
	notice Notice
}

// run is a random sequence of responses, restarts, list updates and requests. It keeps
// all responses, so that each decision can be checked against them.
type run struct {
	t     *rapid.T
	now   time.Duration
	table *Table
	// lives are the incarnations of each server, the newest last.
	lives     map[string][]model.Incarnation
	released  map[model.Incarnation]time.Duration
	responses map[model.Incarnation][]response
	backingOn map[model.Incarnation]bool // Backoffs whose end has not been news.
}

func (r *run) draw(label string, values ...time.Duration) time.Duration {
	return rapid.SampledFrom(values).Draw(r.t, label)
}

// incarnation draws an earlier or the present incarnation of a server.
func (r *run) incarnation() model.Incarnation {
	id := rapid.SampledFrom([]string{"a", "b"}).Draw(r.t, "server")
	return rapid.SampledFrom(r.lives[id]).Draw(r.t, "incarnation")
}

// remembered reports whether what the incarnation said has to be remembered.
func (r *run) remembered(incarnation model.Incarnation) bool {
	at, released := r.released[incarnation]
	end := at + MemoryTime
	for _, said := range r.responses[incarnation] {
		end = max(end, said.at+said.notice.Backoff)
	}
	return !released || r.now < end
}

// use returns an incarnation's server as for a list that names it.
func (r *run) use(incarnation model.Incarnation) *Server {
	if !r.remembered(incarnation) {
		r.takeNews()
		delete(r.responses, incarnation)
	}
	delete(r.released, incarnation)
	return r.table.Server(incarnation)
}

func (r *run) respond() {
	incarnation := r.incarnation()
	notice := Notice{Leaving: rapid.Bool().Draw(r.t, "leaving")}
	if rapid.Bool().Draw(r.t, "turned away") {
		notice.Backoff = r.draw("backoff", 0, time.Millisecond, time.Second, 5*time.Second, time.Hour)
	}
	r.use(incarnation).Observe(r.now, notice)
	r.responses[incarnation] = append(r.responses[incarnation], response{r.now, notice})
}

func (r *run) restart() {
	id := rapid.SampledFrom([]string{"a", "b"}).Draw(r.t, "server")
	next := model.Incarnation{ID: id, Born: int64(len(r.lives[id])) + 1}
	r.lives[id] = append(r.lives[id], next)
	if decision := r.table.Server(next).Decide(r.now, r.now); decision != Available {
		r.t.Fatalf("a new incarnation of %s is bound by an earlier one: %d", id, decision)
	}
}

func (r *run) leaveList() {
	incarnation := r.incarnation()
	if _, released := r.released[incarnation]; !released {
		r.table.Release(r.now, incarnation)
		r.released[incarnation] = r.now
	}
}

func (r *run) request() {
	incarnation := r.incarnation()
	arrived := max(r.now-r.draw("waited", 0, time.Second, 3*time.Second), 0)
	got := r.use(incarnation).Decide(r.now, arrived)
	if want := r.expected(incarnation, arrived); got != want {
		r.t.Fatalf("%v at %v, arrived at %v: decision %d, want %d after %v", incarnation, r.now, arrived, got, want, r.responses[incarnation])
	}
}

// expected decides on a request by all responses of the incarnation.
func (r *run) expected(incarnation model.Incarnation, arrived time.Duration) Decision {
	decision := Available
	for _, said := range r.responses[incarnation] {
		switch {
		case said.notice.Leaving && arrived > said.at+testDrainTime:
			return Left
		case r.now < said.at+said.notice.Backoff:
			decision = BackingOff
		case said.notice.Leaving && decision == Available:
			decision = LastResort
		}
	}
	return decision
}

// takeNews checks that the begin and the end of each backoff are news in turn.
func (r *run) takeNews() {
	for _, news := range r.table.TakeNews(r.now) {
		switch news.Kind {
		case BackoffBegun, BackoffEnded:
			if begun := news.Kind == BackoffBegun; r.backingOn[news.Incarnation] == begun {
				r.t.Fatalf("%v: %d twice", news.Incarnation, news.Kind)
			}
			r.backingOn[news.Incarnation] = news.Kind == BackoffBegun
		}
	}
	backingOff := int64(0)
	for _, on := range r.backingOn {
		backingOff += count(on)
	}
	if counts := r.table.Counts(); counts.BackingOff != backingOff {
		r.t.Fatalf("%d servers are counted as backing off, not %d", counts.BackingOff, backingOff)
	}
}

func TestRandomOrdersOfResponsesRestartsAndLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &run{
			t:         t,
			now:       time.Second,
			table:     NewTable(testDrainTime),
			lives:     make(map[string][]model.Incarnation),
			released:  make(map[model.Incarnation]time.Duration),
			responses: make(map[model.Incarnation][]response),
			backingOn: make(map[model.Incarnation]bool),
		}
		for _, id := range []string{"a", "b"} {
			r.lives[id] = []model.Incarnation{{ID: id, Born: 1}}
		}
		t.Repeat(map[string]func(*rapid.T){
			"respond":    func(*rapid.T) { r.respond() },
			"restart":    func(*rapid.T) { r.restart() },
			"leave list": func(*rapid.T) { r.leaveList() },
			"request":    func(*rapid.T) { r.request() },
			"take news":  func(*rapid.T) { r.takeNews() },
			"wait": func(*rapid.T) {
				r.now += r.draw("time", time.Millisecond, 500*time.Millisecond, 2*time.Second, MemoryTime/2, MemoryTime)
			},
		})
		r.now += 2 * time.Hour
		r.takeNews()
		for incarnation, on := range r.backingOn {
			if on {
				t.Fatal(fmt.Sprint(incarnation, ": the end of its backoff is no news"))
			}
		}
	})
}
