package leader

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/kvstore"
)

func eraOfValue(value []byte) kvstore.Era {
	var era kvstore.Era
	if _, err := fmt.Sscanf(string(value), "%d/", &era); err != nil {
		panic(err)
	}
	return era
}

// newCore returns a core that claims without a delay.
func newCore(vm string) *core {
	return &core{
		value:  func(era kvstore.Era) []byte { return fmt.Appendf(nil, "%d/%s", era, vm) },
		eraOf:  eraOfValue,
		random: func(time.Duration) time.Duration { return 0 },
		ttl:    LeaseTTL,
	}
}

var (
	errRefused = &kvstore.Error{Kind: kvstore.KindUnavailable}
	errUnknown = &kvstore.Error{Kind: kvstore.KindUnavailable, Outcome: kvstore.OutcomeUnknown}
)

// script plays the results of a core's calls.
type script struct {
	g    Gomega
	core *core
	now  time.Duration
}

// calls expects the next call, after waits, and gives its result 10 ms later.
func (s *script) calls(kind callKind, r result) step {
	todo := s.core.next(s.now)
	for todo.call == callNone {
		s.now += todo.wait
		todo = s.core.next(s.now)
	}
	s.g.Expect(todo.call).To(Equal(kind))
	s.now += 10 * time.Millisecond
	s.core.done(s.now, r)
	return todo
}

// waits expects a wait.
func (s *script) waits(d time.Duration) {
	todo := s.core.next(s.now)
	s.g.Expect(todo.call).To(Equal(callNone))
	s.g.Expect(todo.wait).To(Equal(d))
	s.now += d
}

func at(era kvstore.Era, version kvstore.Version) kvstore.Position {
	return kvstore.Position{Era: era, Version: version}
}

func leaseOf(era kvstore.Era, id kvstore.LeaseID) result {
	return result{lease: kvstore.Lease{ID: id, TTL: 2 * LeaseTTL, Era: era}}
}

// newClaimant returns a script that has asked for a lease for the vacant key at 1 s.
func newClaimant(t *testing.T) *script {
	s := &script{g: NewWithT(t), core: newCore("a"), now: time.Second}
	s.core.observe(s.now, nil, at(1, 5))
	s.calls(callGrantLease, leaseOf(1, 7))
	return s
}

// newHolder returns a script that has won the leadership with lease 7 at version 9.
func newHolder(t *testing.T) *script {
	s := newClaimant(t)
	s.calls(callCompareAndSwap, result{position: at(1, 9)})
	s.g.Expect(s.core.state).To(Equal(State{Held: true, Term: at(1, 9), LastContact: time.Second, LeaseEnd: time.Second + 2*LeaseTTL}))
	return s
}

func entry(value string, era kvstore.Era, version kvstore.Version, lease kvstore.LeaseID) result {
	return result{entry: kvstore.Entry{Value: []byte(value), Era: era, Version: version, Lease: lease}}
}

func TestOutcomesOfALeaseCall(t *testing.T) {
	for name, err := range map[string]error{"refused": errRefused, "answer lost": errUnknown} {
		t.Run(name, func(t *testing.T) {
			s := &script{g: NewWithT(t), core: newCore("a")}
			s.core.observe(s.now, nil, at(1, 5))
			s.calls(callGrantLease, result{err: err})
			s.waits(retryDelay)
			s.calls(callGrantLease, leaseOf(1, 8))
			todo := s.calls(callCompareAndSwap, result{position: at(1, 9)})
			s.g.Expect(todo.lease).To(BeEquivalentTo(8), "the lost one expires")
			s.g.Expect(s.core.state.Held).To(BeTrue())
		})
	}
	t.Run("another era", func(t *testing.T) {
		s := &script{g: NewWithT(t), core: newCore("a")}
		s.core.observe(s.now, nil, at(1, 5))
		s.calls(callGrantLease, leaseOf(2, 7))
		todo := s.calls(callCompareAndSwap, result{position: at(2, 3)})
		s.g.Expect(string(todo.value)).To(Equal("2/a"))
		s.g.Expect(s.core.state.Term).To(Equal(at(2, 3)))
	})
}

func TestOutcomesOfAClaim(t *testing.T) {
	for name, answered := range map[string]struct {
		err    error
		vacant bool // Afterwards.
	}{
		"refused":           {errRefused, true},
		"taken":             {&kvstore.Error{Kind: kvstore.KindConflict, Era: 1}, false},
		"taken, next era":   {&kvstore.Error{Kind: kvstore.KindConflict, Era: 2}, false},
		"lease has expired": {&kvstore.Error{Kind: kvstore.KindNotFound, Era: 1}, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newClaimant(t)
			s.calls(callCompareAndSwap, result{err: answered.err})
			s.g.Expect(s.core.state.Held).To(BeFalse())
			s.waits(retryDelay)
			s.g.Expect(s.core.vacant).To(Equal(answered.vacant))
		})
	}
	t.Run("applied in another era than the lease's", func(t *testing.T) {
		s := newClaimant(t)
		s.calls(callCompareAndSwap, result{position: at(2, 3)})
		s.g.Expect(s.core.state.Held).To(BeFalse(), "the lease is another one's, if any")
		s.g.Expect(s.core.era).To(BeEquivalentTo(2))
	})
	t.Run("applied, answer lost, found", func(t *testing.T) {
		s := newClaimant(t)
		s.calls(callCompareAndSwap, result{err: errUnknown})
		s.calls(callGet, entry("1/a", 1, 9, 7))
		s.g.Expect(s.core.state.Term).To(Equal(at(1, 9)))
		s.g.Expect(s.core.state.LastContact).To(Equal(time.Second), "the lease runs from the call that took it")
	})
	t.Run("answer lost, another one's value found", func(t *testing.T) {
		s := newClaimant(t)
		s.calls(callCompareAndSwap, result{err: errUnknown})
		s.calls(callGet, entry("1/b", 1, 9, 8))
		s.g.Expect(s.core.state.Held).To(BeFalse())
		s.waits(retryDelay)
	})
	t.Run("answer lost, own value with another lease found", func(t *testing.T) {
		s := newClaimant(t)
		s.calls(callCompareAndSwap, result{err: errUnknown})
		s.calls(callGet, entry("1/a", 1, 9, 8))
		s.g.Expect(s.core.state.Held).To(BeFalse())
	})
	t.Run("executed late", func(t *testing.T) {
		s := newClaimant(t)
		s.calls(callCompareAndSwap, result{err: errUnknown})
		s.calls(callGet, result{err: &kvstore.Error{Kind: kvstore.KindNotFound, Era: 1}})
		s.core.observe(s.now, []byte("1/a"), at(1, 9))
		s.g.Expect(s.core.state.Held).To(BeFalse(), "no lease is known to be renewed")
		s.waits(retryDelay)
		s.g.Expect(s.core.nextAction(s.now)).To(Equal(actionWait), "its lease expires")
	})
	t.Run("won after a permanent resignation", func(t *testing.T) {
		s := newClaimant(t)
		s.core.resign(true)
		s.calls(callCompareAndSwap, result{position: at(1, 9)})
		s.g.Expect(s.core.state.Held).To(BeFalse())
	})
}

func TestOutcomesOfARenewal(t *testing.T) {
	t.Run("applied and answered", func(t *testing.T) {
		s := newHolder(t)
		s.now += time.Second
		sent := s.now
		s.calls(callKeepAlive, result{era: 1})
		s.g.Expect(s.core.state).To(Equal(State{Held: true, Term: at(1, 9), LastContact: sent, LeaseEnd: sent + 2*LeaseTTL}))
		s.waits(2 * LeaseTTL / renewalsPerTTL)
	})
	for name, err := range map[string]error{"refused": errRefused, "answer lost": errUnknown} {
		t.Run(name, func(t *testing.T) {
			s := newHolder(t)
			before := s.core.state
			s.calls(callKeepAlive, result{err: err})
			s.g.Expect(s.core.state).To(Equal(before))
			s.waits(2 * LeaseTTL / renewalsPerTTL)
		})
	}
	t.Run("lease has expired", func(t *testing.T) {
		s := newHolder(t)
		s.calls(callKeepAlive, result{era: 1, err: &kvstore.Error{Kind: kvstore.KindNotFound, Era: 1}})
		s.g.Expect(s.core.state.Held).To(BeFalse())
		s.g.Expect(s.core.vacant).To(BeTrue())
	})
	for name, r := range map[string]result{
		"another era, the lease ID is another one's": {era: 2},
		"another era, the lease is lost":             {era: 2, err: &kvstore.Error{Kind: kvstore.KindNotFound, Era: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newHolder(t)
			before := s.core.state
			s.calls(callKeepAlive, r)
			s.g.Expect(s.core.state).To(Equal(before), "no contact in its era")
			s.g.Expect(s.core.nextAction(s.now)).To(Equal(actionReclaim))
		})
	}
}

func TestOutcomesOfTheReadBeforeAClaimInTheNextEra(t *testing.T) {
	for name, r := range map[string]result{
		"no key":         {err: &kvstore.Error{Kind: kvstore.KindNotFound, Era: 2}},
		"resigned":       entry(string(resigned), 2, 4, 0),
		"earlier leader": entry("1/b", 2, 4, 3),
		"own record":     entry("1/a", 2, 4, 7),
	} {
		t.Run(name, func(t *testing.T) {
			s := newHolder(t)
			s.core.enterEra(2)
			s.calls(callGet, r)
			s.calls(callGrantLease, leaseOf(2, 3))
			todo := s.calls(callCompareAndSwap, result{position: at(2, 6)})
			s.g.Expect(todo.expected).To(Equal(r.entry.Version))
			s.g.Expect(s.core.state.Term).To(Equal(at(2, 6)))
		})
	}
	t.Run("refused", func(t *testing.T) {
		s := newHolder(t)
		s.core.enterEra(2)
		s.calls(callGet, result{err: errRefused})
		s.g.Expect(s.core.state.Held).To(BeTrue(), "it goes on claiming")
		s.waits(retryDelay)
		s.calls(callGet, entry("1/b", 2, 4, 3))
	})
	t.Run("leader of the new era", func(t *testing.T) {
		s := newHolder(t)
		s.core.enterEra(2)
		s.calls(callGet, entry("2/b", 2, 4, 3))
		s.g.Expect(s.core.state.Held).To(BeFalse())
		s.waits(leftoverTTLs * s.core.ttl)
	})
	t.Run("own claim whose answer was lost", func(t *testing.T) {
		s := newHolder(t)
		s.core.enterEra(2)
		s.calls(callGet, result{err: &kvstore.Error{Kind: kvstore.KindNotFound, Era: 2}})
		s.calls(callGrantLease, leaseOf(2, 3))
		s.calls(callCompareAndSwap, result{err: errUnknown})
		s.calls(callGet, result{err: errRefused})
		s.calls(callGet, entry("2/a", 2, 6, 3))
		s.g.Expect(s.core.state.Term).To(Equal(at(2, 6)))
	})
}

func TestWaitEndsWhenTheStateChanges(t *testing.T) {
	g := NewWithT(t)
	c := newCore("a")
	c.enterEra(1)
	g.Expect(c.changed).To(BeTrue())
	c.changed = false
	c.observe(0, []byte("0/late"), at(0, 9))
	g.Expect(c.changed).To(BeFalse(), "of an earlier era")
	c.observe(0, nil, at(1, 9))
	g.Expect(c.changed).To(BeTrue())
}

func TestClaimIsDroppedIfAnotherVMHoldsTheKeyAfterItsDelay(t *testing.T) {
	s := &script{g: NewWithT(t), core: newCore("a")}
	s.core.priority = PriorityLow
	s.core.observe(s.now, nil, at(1, 5))
	s.waits(priorityDelay)
	s.core.observe(s.now, []byte("1/b"), at(1, 6))
	s.waits(leftoverTTLs * LeaseTTL)
}

func TestLowerPrioritiesClaimAfterHigherOnes(t *testing.T) {
	g := NewWithT(t)
	latest := time.Duration(-1)
	for _, priority := range []Priority{PriorityNormal, PriorityLow, PriorityLast} {
		core := newCore("a")
		core.priority = priority
		g.Expect(core.claimDelay()).To(BeNumerically(">", latest))
		latest = core.claimDelay() + claimJitter
	}
}
