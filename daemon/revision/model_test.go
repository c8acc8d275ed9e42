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

// init fixes the seed, so that every run has the same verdict. With
// -rapid.seed=0 on the command line a run takes a fresh seed and prints it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// model is what operators were told.
type model struct {
	store    *memstore.Store
	mutate   func(*revision.Repository)
	highest  config.Revision
	accepted map[string]config.Revision
	refused  map[string]bool
	changes  int
}

// step lets one operator apply a change under random faults and records what
// the operator is told. It returns the invariant that was broken.
func (m *model) step(t *rapid.T) error {
	ctx := context.Background()
	keeper := newKeeper(&dying{Store: m.store, left: rapid.IntRange(0, 12).Draw(t, "calls before its VM is lost")})
	if m.mutate != nil {
		m.mutate(keeper)
	}
	current, _ := newKeeper(m.store).Current(ctx)
	base := current.Revision - config.Revision(rapid.IntRange(0, min(1, int(current.Revision))).Draw(t, "behind"))
	m.store.SetFaults(memstore.Faults{
		LostRequests: lostCalls(t, "lost requests"),
		LostReplies:  lostCalls(t, "lost replies"),
	})
	m.changes++
	id := fmt.Sprint("change-", m.changes)
	record, err := keeper.Apply(ctx, change(id, base, m.changes%100))
	m.store.SetFaults(memstore.Faults{})
	var unknown *revision.UnknownOutcomeError
	switch {
	case err == nil && record.Revision <= m.highest:
		return fmt.Errorf("in force never decreases: %d after %d", record.Revision, m.highest)
	case err == nil && base != current.Revision:
		return fmt.Errorf("exactly one of the racers wins: base %d accepted over %d", base, current.Revision)
	case err == nil:
		m.highest = record.Revision
		m.accepted[id] = record.Revision
	case !errors.As(err, &unknown):
		m.refused[id] = true
	default:
		return m.settle(ctx, id, base)
	}
	return m.verify(ctx)
}

// settle sends a change of unknown outcome again, through another VM.
func (m *model) settle(ctx context.Context, id string, base config.Revision) error {
	record, err := newKeeper(m.store).Apply(ctx, change(id, base, m.changes%100))
	if err == nil {
		m.highest = max(m.highest, record.Revision)
		m.accepted[id] = record.Revision
	} else {
		m.refused[id] = true
	}
	return m.verify(ctx)
}

// dying is the store as a VM sees it that is lost after some calls: no later
// call goes out.
type dying struct {
	kvstore.Store
	left int
}

var errLost = &kvstore.Error{Op: "any", Kind: kvstore.KindUnavailable, Outcome: kvstore.OutcomeUnknown}

func (s *dying) alive() bool {
	s.left--
	return s.left >= 0
}

func (s *dying) Get(ctx context.Context, key string) (kvstore.Entry, error) {
	if !s.alive() {
		return kvstore.Entry{}, errLost
	}
	return s.Store.Get(ctx, key)
}

func (s *dying) CompareAndSwap(ctx context.Context, key string, expected kvstore.Version, value []byte, lease kvstore.LeaseID) (kvstore.Version, error) {
	if !s.alive() {
		return 0, errLost
	}
	return s.Store.CompareAndSwap(ctx, key, expected, value, lease)
}

// lostCalls draws which calls lose a message.
func lostCalls(t *rapid.T, label string) memstore.LostCalls {
	prefix := rapid.SampledFrom([]string{kvstore.ConfigKey, kvstore.HistoryPrefix}).Draw(t, label+" of")
	return memstore.LostCalls{Count: rapid.IntRange(0, 2).Draw(t, label), Prefix: prefix}
}

// verify compares what operators were told with what the store holds.
func (m *model) verify(ctx context.Context) error {
	history, err := newKeeper(m.store).History(ctx)
	if err != nil {
		return err
	}
	held := make(map[string]config.Revision)
	for i, entry := range history {
		held[entry.ChangeID] = entry.Revision
		if i > 0 && entry.Revision != history[i-1].Revision-1 {
			return fmt.Errorf("revisions are dense: %d below %d", entry.Revision, history[i-1].Revision)
		}
		if m.refused[entry.ChangeID] {
			return fmt.Errorf("refused means not applied: %s is revision %d", entry.ChangeID, entry.Revision)
		}
	}
	for id, accepted := range m.accepted {
		if held[id] != accepted {
			return fmt.Errorf("accepted survives: %s was accepted as %d and is %d", id, accepted, held[id])
		}
	}
	return nil
}

// run takes steps until an invariant breaks.
func run(t *rapid.T, mutate func(*revision.Repository)) error {
	m := &model{store: newStore(), mutate: mutate, accepted: map[string]config.Revision{}, refused: map[string]bool{}}
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
		"base":   (*revision.Repository).DisableBaseCheck,
		"settle": (*revision.Repository).DisableResolve,
	}
	for name, mutate := range mutations {
		t.Run(name, func(t *testing.T) {
			broken := false
			rapid.Check(t, func(t *rapid.T) { broken = broken || run(t, mutate) != nil })
			if !broken {
				t.Fatalf("no invariant noticed that the rule %q is off", name)
			}
		})
	}
}
