package leader

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/kvstore"
)

// plan is an action at a later time.
type plan struct {
	at time.Duration
	do func()
}

// election runs cores and a store with one key on a virtual clock.
type election struct {
	now      time.Duration
	random   *rand.Rand
	plans    []plan
	store    modelStore
	voters   []*voter
	faults   float64 // The share of calls that are refused, lost or executed late.
	terms    map[kvstore.Position]*voter
	findings []string
}

// modelStore holds one key.
type modelStore struct {
	era      kvstore.Era
	revision kvstore.Version
	value    []byte // nil without the key.
	version  kvstore.Version
	holder   kvstore.LeaseID
	next     kvstore.LeaseID
	leases   map[kvstore.LeaseID]time.Duration // Until when they are valid.
}

// voter is a core in an election.
type voter struct {
	core    *core
	waits   int // Numbers its waits.
	waiting bool
}

func newElection(seed uint64, voters int) *election {
	e := &election{random: rand.New(rand.NewPCG(seed, 2)), terms: make(map[kvstore.Position]*voter)}
	e.store = modelStore{era: 1, leases: make(map[kvstore.LeaseID]time.Duration)}
	for i := range voters {
		v := &voter{core: newCore(string(rune('a' + i)))}
		v.core.random = func(d time.Duration) time.Duration { return time.Duration(e.random.Int64N(int64(d))) }
		e.voters = append(e.voters, v)
		e.proceed(v)
	}
	e.tell()
	return e
}

func (e *election) after(d time.Duration, do func()) {
	e.plans = append(e.plans, plan{e.now + d, do})
	sort.SliceStable(e.plans, func(i, j int) bool { return e.plans[i].at < e.plans[j].at })
}

func (e *election) delay(most time.Duration) time.Duration {
	return time.Millisecond + time.Duration(e.random.Int64N(int64(most)))
}

// proceed has a voter do what is next.
func (e *election) proceed(v *voter) {
	v.core.changed = false
	todo := v.core.next(e.now)
	if todo.call != callNone {
		v.waiting = false
		e.call(v, todo)
		return
	}
	v.waiting = true
	v.waits++
	number := v.waits
	e.after(todo.wait, func() {
		if v.waiting && v.waits == number {
			e.proceed(v)
		}
	})
}

func (e *election) call(v *voter, todo step) {
	done := func(r result) func() {
		return func() {
			v.core.done(e.now, r)
			e.proceed(v)
		}
	}
	unanswered := result{err: errRefused}
	if todo.call == callCompareAndSwap {
		unanswered.err = errUnknown
	}
	if e.random.Float64() >= e.faults {
		e.after(e.delay(20*time.Millisecond), func() { e.after(e.delay(20*time.Millisecond), done(e.store.execute(e, todo))) })
		return
	}
	switch e.random.IntN(3) {
	case 0:
		e.after(e.delay(20*time.Millisecond), done(result{err: errRefused}))
	case 1:
		e.after(e.delay(20*time.Millisecond), func() { e.store.execute(e, todo) })
		e.after(todo.timeout, done(unanswered))
	default:
		e.after(todo.timeout+e.delay(3*time.Second), func() { e.store.execute(e, todo) })
		e.after(todo.timeout, done(unanswered))
	}
}

// execute executes a call on its arrival.
func (s *modelStore) execute(e *election, todo step) result {
	missing := result{era: s.era, err: &kvstore.Error{Kind: kvstore.KindNotFound, Era: s.era}}
	_, valid := s.leases[todo.lease]
	switch {
	case todo.call == callGrantLease:
		s.next++
		s.leases[s.next] = e.now + todo.ttl
		return result{lease: kvstore.Lease{ID: s.next, TTL: todo.ttl, Era: s.era}}
	case todo.call == callGet && s.value == nil:
		return missing
	case todo.call == callGet:
		return result{entry: kvstore.Entry{Value: s.value, Version: s.version, Lease: s.holder, Era: s.era}}
	case todo.call == callCompareAndSwap && s.version != todo.expected:
		return result{err: &kvstore.Error{Kind: kvstore.KindConflict, Era: s.era}}
	case todo.lease != 0 && !valid:
		return missing
	case todo.call == callKeepAlive:
		s.leases[todo.lease] = e.now + LeaseTTL
		return result{era: s.era}
	}
	s.revision++
	s.value, s.version, s.holder = todo.value, s.revision, todo.lease
	e.tell()
	return result{position: kvstore.Position{Era: s.era, Version: s.version}}
}

// expire ends expired leases.
func (s *modelStore) expire(e *election) {
	for id, until := range s.leases {
		if until > e.now {
			continue
		}
		delete(s.leases, id)
		if s.value != nil && s.holder == id {
			s.revision++
			s.value, s.version = nil, 0
			e.tell()
		}
	}
}

// tell has the voters observe the key.
func (e *election) tell() {
	value, position := e.store.value, kvstore.Position{Era: e.store.era, Version: e.store.revision}
	if value != nil {
		position.Version = e.store.version
	}
	for _, v := range e.voters {
		e.after(e.delay(50*time.Millisecond), func() { v.core.observe(e.now, value, position) })
	}
}

func (s *modelStore) copy() modelStore {
	copied := *s
	copied.leases = maps.Clone(s.leases)
	return copied
}

// restore replaces the contents of the store by an earlier copy, whose leases run anew.
func (e *election) restore(copied modelStore) {
	copied.era = e.store.era + 1
	for id := range copied.leases {
		copied.leases[id] = e.now + LeaseTTL
	}
	e.store = copied
	e.tell()
}

func (e *election) run(d time.Duration) {
	for end := e.now + d; e.now < end; {
		next := e.now + 5*time.Millisecond
		for len(e.plans) > 0 && e.plans[0].at <= next {
			p := e.plans[0]
			e.plans = e.plans[1:]
			e.now = max(e.now, p.at)
			p.do()
			e.check()
		}
		e.now = next
		e.store.expire(e)
		if e.now%(2*time.Second) == 0 {
			e.tell() // A watch lists again at times.
		}
		for _, v := range e.voters {
			if v.waiting && v.core.changed {
				e.proceed(v)
			}
		}
	}
}

// check notes a leader whose lease has not ended and that does not hold the key.
func (e *election) check() {
	for _, v := range e.voters {
		state := v.core.state
		if !state.Held {
			continue
		}
		if known := e.terms[state.Term]; known != nil && known != v {
			e.findings = append(e.findings, "two leaders have one term")
		}
		e.terms[state.Term] = v
		if state.Term.Era != e.store.era || e.now >= state.LeaseEnd {
			continue
		}
		if e.store.version != state.Term.Version || !bytes.Equal(e.store.value, v.core.written) {
			e.findings = append(e.findings, "another one is elected while a lease is valid")
		}
	}
}

func (e *election) leaders() int {
	count := 0
	for _, v := range e.voters {
		if v.core.state.Held {
			count++
		}
	}
	return count
}

func TestRandomFaultsOfTheStoreNeverElectTwoLeadersAtOnce(t *testing.T) {
	for seed := range uint64(300) {
		g := NewWithT(t)
		e := newElection(seed, 3)
		e.faults = 0.3 * e.random.Float64()
		copied := e.store.copy()
		for range 10 {
			e.run(time.Duration(200+e.random.IntN(2500)) * time.Millisecond)
			switch e.random.IntN(4) {
			case 0:
				copied = e.store.copy()
			case 1:
				e.restore(copied)
				copied = e.store.copy()
			case 2:
				e.voters[e.random.IntN(len(e.voters))].core.resign(false) // The write is lost.
			}
		}
		e.faults = 0
		e.run(12 * time.Second)
		g.Expect(e.findings).To(BeEmpty(), "seed %d", seed)
		g.Expect(e.leaders()).To(Equal(1), "seed %d", seed)
		g.Expect(e.terms).NotTo(BeEmpty())
	}
}
