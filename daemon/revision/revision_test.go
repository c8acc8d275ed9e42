package revision_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/config"
	"guavacrank.example/daemon/revision"
	"guavacrank.example/kvstore"
	"guavacrank.example/kvstore/memstore"
)

func TestRevision(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "revision")
}

// text returns a small configuration whose queue limit is derived from number.
func text(number int) string {
	return fmt.Sprintf(`defaults: {queue_limit: %d}
services:
  - name: s
    classes: [{name: q, idempotent: true, priority: bulk, deadline: 1s}]
servers:
  - {name: a, service: s, address: "127.0.0.1:1", region: r, zone: z, slots: 1, connections: 1, checks_grants: true}
`, number+1)
}

// change returns a change made from the base revision.
func change(id string, base config.Revision, number int) revision.Change {
	return revision.Change{ChangeID: id, Base: base, Author: "an", Reason: "why " + id, File: "c.yaml", YAML: text(number)}
}

// newStore returns a store without rate limits.
func newStore() *memstore.Store {
	return memstore.New(memstore.Options{WritesPerSecond: -1, ReadsPerSecond: -1})
}

// newRepository returns a repository whose backoff takes no time and fails after
// 20 retries.
func newRepository(store kvstore.Store) *revision.Repository {
	var mu sync.Mutex
	pauses := 0
	return revision.New(revision.Options{
		Store: store,
		Now:   func() time.Time { return time.Unix(0, 0) },
		Wait: func(context.Context, time.Duration) error {
			mu.Lock()
			defer mu.Unlock()
			if pauses++; pauses > 20 {
				return context.DeadlineExceeded
			}
			return nil
		},
	})
}

// interceptingStore calls a function before the next compare-and-swap of the
// record in force.
type interceptingStore struct {
	kvstore.Store
	before func()
}

func (s *interceptingStore) CompareAndSwap(ctx context.Context, key string, expected kvstore.Version, value []byte, lease kvstore.LeaseID) (kvstore.Version, error) {
	if before := s.before; before != nil && key == kvstore.ConfigKey {
		s.before = nil
		before()
	}
	return s.Store.CompareAndSwap(ctx, key, expected, value, lease)
}

var _ = Describe("Repository", func() {
	ctx := context.Background()
	var store *memstore.Store
	var repository *revision.Repository
	BeforeEach(func() {
		store = newStore()
		repository = newRepository(store)
	})
	apply := func(id string, base config.Revision) {
		GinkgoHelper()
		record, err := repository.Apply(ctx, change(id, base, int(base)+1))
		Expect(err).NotTo(HaveOccurred())
		Expect(record.Revision).To(Equal(base + 1))
	}

	It("numbers revisions from one and keeps replaced records in the history", func() {
		apply("a", 0)
		apply("b", 1)
		apply("c", 2)
		history, err := repository.History(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(history).To(HaveLen(3))
		Expect(history[0].ChangeID).To(Equal("c"))
		earlier, err := repository.Revision(ctx, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(earlier.YAML).To(Equal(text(1)))
		_, err = repository.Revision(ctx, 9)
		Expect(err).To(MatchError(&revision.NotFoundError{Revision: 9}))
	})

	It("returns a conflict that describes the change that won the race", func() {
		apply("a", 0)
		racing := &interceptingStore{Store: store, before: func() { apply("b", 1) }}
		_, err := newRepository(racing).Apply(ctx, change("c", 1, 7))
		var conflict *revision.ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue(), "%v", err)
		Expect(conflict.InForce.ChangeID).To(Equal("b"))
		Expect(err.Error()).To(ContainSubstring("revision 2 is in force instead of 1: applied by an at 1970-01-01T00:00:00Z (why b)"))
		Expect(err.Error()).To(ContainSubstring("~ defaults: queue_limit: 2 -> 3"))
		current, _ := repository.Current(ctx)
		Expect(current.ChangeID).To(Equal("b"))
	})

	It("rejects an invalid file, a missing reason, an outdated base and a reused identifier, and leaves the record in force unchanged", func() {
		apply("a", 0)
		invalid := change("b", 1, 2)
		invalid.YAML = strings.Replace(invalid.YAML, "deadline: 1s", "deadline: 1", 1)
		_, err := repository.Apply(ctx, invalid)
		Expect(err).To(MatchError(ContainSubstring("c.yaml:4: services[0].classes[0].deadline")))
		noReason := change("c", 1, 2)
		noReason.Reason = " "
		_, err = repository.Apply(ctx, noReason)
		Expect(err).To(MatchError("request:0: reason: is missing"))
		_, err = repository.Apply(ctx, change("d", 0, 2))
		Expect(err).To(BeAssignableToTypeOf(&revision.ConflictError{}))
		_, err = repository.Apply(ctx, change("a", 1, 2))
		Expect(err).To(MatchError(ContainSubstring(`"a" is revision 1 already, with another text`)))
		current, _ := repository.Current(ctx)
		Expect(current.ChangeID).To(Equal("a"))
	})

	It("resolves a lost reply and a lost request", func() {
		for _, faults := range []memstore.Faults{
			{LostReplies: memstore.LostCalls{Count: 1, Prefix: kvstore.ConfigKey}},
			{LostRequests: memstore.LostCalls{Count: 3, Prefix: kvstore.ConfigKey}},
			{LostReplies: memstore.LostCalls{Count: 2, Prefix: kvstore.HistoryPrefix}},
		} {
			current, _ := repository.Current(ctx)
			store.SetFaults(faults)
			apply(fmt.Sprint("lost", current.Revision), current.Revision)
		}
		history, _ := repository.History(ctx)
		Expect(history).To(HaveLen(3))
	})

	It("resolves a lost reply after another operator has applied a newer revision", func() {
		apply("a", 0)
		store.SetFaults(memstore.Faults{LostReplies: memstore.LostCalls{Count: 1, Prefix: kvstore.ConfigKey}})
		other := newRepository(store)
		retried := revision.New(revision.Options{Store: store, Wait: func(context.Context, time.Duration) error {
			_, err := other.Apply(ctx, change("c", 2, 9))
			return err
		}})
		record, err := retried.Apply(ctx, change("b", 1, 5))
		Expect(err).NotTo(HaveOccurred())
		Expect(record.Revision).To(Equal(config.Revision(2)))
		current, _ := repository.Current(ctx)
		Expect(current.ChangeID).To(Equal("c"))
	})

	It("reports an unknown outcome while the store is unavailable, and resolves it later", func() {
		apply("a", 0)
		store.SetFaults(memstore.Faults{LostReplies: memstore.LostCalls{Count: 1, Prefix: kvstore.ConfigKey}})
		interrupted := revision.New(revision.Options{Store: store, Wait: func(context.Context, time.Duration) error {
			store.SetFaults(memstore.Faults{Outage: true})
			return context.DeadlineExceeded
		}})
		_, err := interrupted.Apply(ctx, change("b", 1, 5))
		Expect(err).To(BeAssignableToTypeOf(&revision.UnknownOutcomeError{}))
		store.SetFaults(memstore.Faults{})
		record, err := repository.Apply(ctx, change("b", 1, 5))
		Expect(err).NotTo(HaveOccurred())
		Expect(record.Revision).To(Equal(config.Revision(2)))
	})

	It("applies nothing during an outage", func() {
		apply("a", 0)
		store.SetFaults(memstore.Faults{Outage: true})
		_, err := repository.Apply(ctx, change("b", 1, 5))
		Expect(kvstore.IsKind(err, kvstore.KindUnavailable)).To(BeTrue())
		Expect(kvstore.IsUnknown(err)).To(BeFalse())
	})

	It("bounds the history by count and by bytes", func() {
		bounded := map[string]revision.Options{
			"count": {Store: newStore(), MaxHistory: 3},
			"bytes": {Store: newStore(), MaxHistoryBytes: 3*len(text(10)) + 1},
		}
		for name, options := range bounded {
			options.Now = func() time.Time { return time.Unix(0, 0) }
			repository := revision.New(options)
			for base := range config.Revision(8) {
				_, err := repository.Apply(ctx, change(fmt.Sprint(base), base, 10+int(base)))
				Expect(err).NotTo(HaveOccurred(), name)
			}
			entries, err := options.Store.List(ctx, kvstore.HistoryPrefix)
			Expect(err).NotTo(HaveOccurred())
			Expect(entries).To(HaveLen(4), name) // Three records and the index.
			_, err = repository.Revision(ctx, 5)
			Expect(err).NotTo(HaveOccurred(), name)
			_, err = repository.Revision(ctx, 4)
			Expect(err).To(BeAssignableToTypeOf(&revision.NotFoundError{}), name)
		}
	})

	It("needs at most four writes and four reads per change, also when it prunes the history", func() {
		repository := revision.New(revision.Options{Store: store, MaxHistory: 2, Now: func() time.Time { return time.Unix(0, 0) }})
		for base := range config.Revision(6) {
			before := store.Counts()
			_, err := repository.Apply(ctx, change(fmt.Sprint(base), base, int(base)))
			Expect(err).NotTo(HaveOccurred())
			counts := store.Counts()
			Expect(counts.Writes() - before.Writes()).To(BeNumerically("<=", 4))
			Expect(counts.Reads() - before.Reads()).To(BeNumerically("<=", 4))
		}
	})

	It("keeps one revision per hour beyond the most recent ones", func() {
		now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
		repository := revision.New(revision.Options{Store: store, MaxHistory: 2, MaxHourly: 3, Now: func() time.Time { return now }})
		for base := range config.Revision(36) {
			_, err := repository.Apply(ctx, change(fmt.Sprint(base), base, int(base)))
			Expect(err).NotTo(HaveOccurred())
			now = now.Add(10 * time.Minute)
		}
		history, err := repository.History(ctx)
		Expect(err).NotTo(HaveOccurred())
		var kept []config.Revision
		for _, entry := range history {
			kept = append(kept, entry.Revision)
		}
		Expect(kept).To(Equal([]config.Revision{36, 35, 34, 30, 24, 18}))
	})

	It("rolls back as a new revision", func() {
		apply("a", 0)
		apply("b", 1)
		record, err := repository.Rollback(ctx, 1, revision.Change{ChangeID: "r", Base: 2, Author: "an", Reason: "late stock checks"})
		Expect(err).NotTo(HaveOccurred())
		Expect(record.Revision).To(Equal(config.Revision(3)))
		Expect(record.YAML).To(Equal(text(1)))
		Expect(record.Reason).To(Equal("rollback to revision 1: late stock checks"))
	})

	It("repeats an edit on top of the change that won the race", func() {
		apply("a", 0)
		racing := &interceptingStore{Store: store, before: func() { apply("b", 1) }}
		edited, err := newRepository(racing).Edit(ctx, change("e", 0, 0), func(text string) (string, error) {
			return "# edited\n" + text, nil
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(edited.Revision).To(Equal(config.Revision(3)))
		Expect(edited.YAML).To(Equal("# edited\n" + text(2)))
	})

	It("accepts exactly one of many concurrent changes for each revision", func() {
		const operators = 8
		for base := range config.Revision(5) {
			var group sync.WaitGroup
			results := make([]error, operators)
			for i := range operators {
				group.Go(func() {
					_, results[i] = newRepository(store).Apply(ctx, change(fmt.Sprint(base, "-", i), base, i))
				})
			}
			group.Wait()
			winners := 0
			for _, err := range results {
				if err == nil {
					winners++
				}
			}
			Expect(winners).To(Equal(1))
		}
	})
})
