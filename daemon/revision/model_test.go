package revision_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"guavacrank.example/config"
	"guavacrank.example/daemon/revision"
	"guavacrank.example/kvstore"
	"guavacrank.example/kvstore/memstore"
)

// init fixes the seed, so that every run has the same result. With
// -rapid.seed=0 on the command line a run takes a random seed and prints it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// model records the results that operators received for their changes.
type model struct {
	store    *memstore.Store
	mutate   func(*revision.Repository)
	highest  config.Revision
	accepted map[string]config.Revision
	rejected map[string]bool
	changes  int
}

// step applies one operator's change under random faults and records the
// result. It returns an error that names the violated invariant, if any.
func (m *model) step(t *rapid.T) error {
	ctx := context.Background()
	repository := newRepository(&crashingStore{Store: m.store, callsLeft: rapid.IntRange(0, 12).Draw(t, "calls before the VM crashes")})
	if m.mutate != nil {
		m.mutate(repository)
	}
	current, _ := newRepository(m.store).Current(ctx)
	base := current.Revision - config.Revision(rapid.IntRange(0, min(1, int(current.Revision))).Draw(t, "behind"))
	m.store.SetFaults(memstore.Faults{
		LostRequests: lostCalls(t, "lost requests"),
		LostReplies:  lostCalls(t, "lost replies"),
	})
	m.changes++
	id := fmt.Sprint("change-", m.changes)
	record, err := repository.Apply(ctx, change(id, base, m.changes%100))
	m.store.SetFaults(memstore.Faults{})
	var unknown *revision.UnknownOutcomeError
	switch {
	case err == nil && record.Revision <= m.highest:
		return fmt.Errorf("the revision in force decreased: %d after %d", record.Revision, m.highest)
	case err == nil && base != current.Revision:
		return fmt.Errorf("two changes were accepted on one base: base %d accepted over %d", base, current.Revision)
	case err == nil:
		m.highest = record.Revision
		m.accepted[id] = record.Revision
	case !errors.As(err, &unknown):
		m.rejected[id] = true
	default:
		return m.resolve(ctx, id, base)
	}
	return m.verify(ctx)
}

// resolve repeats a change whose outcome is unknown, through another VM.
func (m *model) resolve(ctx context.Context, id string, base config.Revision) error {
	record, err := newRepository(m.store).Apply(ctx, change(id, base, m.changes%100))
	if err == nil {
		m.highest = max(m.highest, record.Revision)
		m.accepted[id] = record.Revision
	} else {
		m.rejected[id] = true
	}
	return m.verify(ctx)
}

// crashingStore is the store of a VM that crashes after a number of calls: later
// calls fail without reaching the store.
type crashingStore struct {
	kvstore.Store
	callsLeft int
}

var errCrashed = &kvstore.Error{Op: "any", Kind: kvstore.KindUnavailable, Outcome: kvstore.OutcomeUnknown}

// beginCall counts a call and reports whether the VM still runs.
func (s *crashingStore) beginCall() bool {
	s.callsLeft--
	return s.callsLeft >= 0
}

func (s *crashingStore) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	if !s.beginCall() {
		return kvstore.Entry{}, errCrashed
	}
	return s.Store.Get(ctx, key)
}

func (s *crashingStore) CompareAndSwap(ctx context.Context, key string, expected kvstore.Version, value []byte, lease kvstore.LeaseID) (kvstore.Version, error) {
	if !s.beginCall() {
		return 0, errCrashed
	}
	return s.Store.CompareAndSwap(ctx, key, expected, value, lease)
}

// lostCalls draws the number of calls that lose a message and the keys that
// they concern.
func lostCalls(t *rapid.T, label string) memstore.LostCalls {
	prefix := rapid.SampledFrom([]string{kvstore.ConfigKey, kvstore.HistoryPrefix}).Draw(t, label+" of")
	return memstore.LostCalls{Count: rapid.IntRange(0, 2).Draw(t, label), Prefix: prefix}
}

// verify compares the results that operators received with the history in the
// store.
func (m *model) verify(ctx context.Context) error {
	history, err := newRepository(m.store).History(ctx)
	if err != nil {
		return err
	}
	inHistory := make(map[string]config.Revision)
	for i, entry := range history {
		inHistory[entry.ChangeID] = entry.Revision
		if i > 0 && entry.Revision != history[i-1].Revision-1 {
			return fmt.Errorf("the history has a gap: revision %d below %d", entry.Revision, history[i-1].Revision)
		}
		if m.rejected[entry.ChangeID] {
			return fmt.Errorf("a rejected change was applied: %s is revision %d", entry.ChangeID, entry.Revision)
		}
	}
	for id, accepted := range m.accepted {
		if inHistory[id] != accepted {
			return fmt.Errorf("an accepted change was lost or renumbered: %s was accepted as %d and is %d", id, accepted, inHistory[id])
		}
	}
	return nil
}

// run runs random steps until an invariant is violated.
func run(t *rapid.T, mutate func(*revision.Repository)) error {
	m := &model{store: newStore(), mutate: mutate, accepted: map[string]config.Revision{}, rejected: map[string]bool{}}
	for range rapid.IntRange(1, 25).Draw(t, "steps") {
		if err := m.step(t); err != nil {
			return err
		}
	}
	return nil
}

func TestInvariantsUnderLostCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := run(t, nil); err != nil {
			t.Fatal(err)
		}
	})
}

func TestMutationsBreakInvariants(t *testing.T) {
	mutations := map[string]func(*revision.Repository){
		"base check": (*revision.Repository).DisableBaseCheck,
		"resolve":    (*revision.Repository).DisableResolve,
	}
	for name, mutate := range mutations {
		t.Run(name, func(t *testing.T) {
			broken := false
			rapid.Check(t, func(t *rapid.T) { broken = broken || run(t, mutate) != nil })
			if !broken {
				t.Fatalf("no invariant was violated with the rule %q disabled", name)
			}
		})
	}
}
