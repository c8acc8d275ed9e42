package memstore_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"guavacrank.example/kvstore"
	"guavacrank.example/kvstore/clock"
	"guavacrank.example/kvstore/memstore"
)

func TestMemstore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "memstore")
}

// keptTombstones is the number of deletions that the store keeps for watches.
const keptTombstones = 1 << 16

// watchResult is the result of a Watch call in the background.
type watchResult struct {
	entries []kvstore.Entry
	err     error
}

var _ = Describe("Store", func() {
	var (
		ctx     context.Context
		virtual *clock.Virtual
		store   *memstore.Store
	)

	BeforeEach(func() {
		running := goleak.IgnoreCurrent()
		DeferCleanup(func() { Eventually(func() error { return goleak.Find(running) }).Should(Succeed()) })
		ctx = context.Background()
		virtual = &clock.Virtual{}
		store = memstore.New(memstore.Options{Clock: virtual})
	})

	put := func(key, value string) kvstore.Version {
		GinkgoHelper()
		version, err := store.CompareAndSwap(ctx, key, 0, []byte(value), 0)
		Expect(err).NotTo(HaveOccurred())
		return version
	}
	watchInBackground := func(prefix string, after kvstore.Version, wait time.Duration) <-chan watchResult {
		results := make(chan watchResult, 1)
		waiting := virtual.Waiting()
		go func() {
			entries, err := store.Watch(ctx, prefix, after, wait)
			results <- watchResult{entries, err}
		}()
		Eventually(virtual.Waiting).Should(Equal(waiting + 1))
		return results
	}

	It("reports a watch from before the kept history as history gone, not as invalid", func() {
		store = memstore.New(memstore.Options{Clock: virtual, WritesPerSecond: 4 * keptTombstones})
		first := put("role/0", "v")
		for at := range keptTombstones + 1 {
			key := fmt.Sprintf("role/gone-%d", at)
			Expect(store.Delete(ctx, key, put(key, "v"))).To(Succeed())
		}
		_, err := store.Watch(ctx, "role/", first, time.Minute)
		Expect(kvstore.IsKind(err, kvstore.KindHistoryGone)).To(BeTrue(), "%v", err)
	})

	It("accepts only the first of two writes with the same expected version", func() {
		first := put("page/a", "1")
		_, err := store.CompareAndSwap(ctx, "page/a", first, []byte("2"), 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.CompareAndSwap(ctx, "page/a", first, []byte("3"), 0)
		Expect(kvstore.IsKind(err, kvstore.KindConflict)).To(BeTrue())
		Expect(err.(*kvstore.Error).Current).To(Equal(first + 1))
		entry, err := store.Get(ctx, "page/a")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(entry.Value)).To(Equal("2"))
	})

	It("rejects values above the size limit", func() {
		_, err := store.CompareAndSwap(ctx, "k", 0, make([]byte, kvstore.MaxValueBytes+1), 0)
		Expect(kvstore.IsKind(err, kvstore.KindTooLarge)).To(BeTrue())
		_, err = store.CompareAndSwap(ctx, "k", 0, make([]byte, kvstore.MaxValueBytes), 0)
		Expect(err).NotTo(HaveOccurred())
	})

	It("applies a write whose reply is lost, but not one whose request is lost", func() {
		store.SetFaults(memstore.Faults{
			LostRequests: memstore.LostCalls{Count: 1, Prefix: "page/"},
			LostReplies:  memstore.LostCalls{Count: 1, Prefix: "page/"},
		})
		put("config/current", "untouched by the faults")
		_, err := store.CompareAndSwap(ctx, "page/a", 0, []byte("lost request"), 0)
		Expect(kvstore.IsUnknown(err)).To(BeTrue())
		_, err = store.Get(ctx, "page/a")
		Expect(kvstore.IsKind(err, kvstore.KindNotFound)).To(BeTrue())
		_, err = store.CompareAndSwap(ctx, "page/a", 0, []byte("lost reply"), 0)
		Expect(kvstore.IsUnknown(err)).To(BeTrue())
		entry, err := store.Get(ctx, "page/a")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(entry.Value)).To(Equal("lost reply"))
	})

	It("fails all calls during an outage as not applied, including waiting watches", func() {
		waiting := watchInBackground("", 0, time.Hour)
		store.SetFaults(memstore.Faults{Outage: true})
		var result watchResult
		Eventually(waiting).Should(Receive(&result))
		Expect(kvstore.IsKind(result.err, kvstore.KindUnavailable)).To(BeTrue())
		_, err := store.CompareAndSwap(ctx, "k", 0, nil, 0)
		Expect(kvstore.IsKind(err, kvstore.KindUnavailable)).To(BeTrue())
		Expect(kvstore.IsUnknown(err)).To(BeFalse())
		Expect(store.Counts().Refused).To(BeEquivalentTo(1))
		store.SetFaults(memstore.Faults{})
		put("k", "v")
	})

	It("reports an unknown outcome when a slow write is canceled", func() {
		store.SetFaults(memstore.Faults{ReplyDelay: time.Second})
		writeCtx, cancel := context.WithCancel(ctx)
		failed := make(chan error, 1)
		go func() {
			_, err := store.CompareAndSwap(writeCtx, "k", 0, []byte("v"), 0)
			failed <- err
		}()
		Eventually(virtual.Waiting).Should(Equal(1))
		cancel()
		var err error
		Eventually(failed).Should(Receive(&err))
		Expect(kvstore.IsUnknown(err)).To(BeTrue())
		store.SetFaults(memstore.Faults{})
		_, err = store.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
	})

	It("deletes the keys of an expired lease and notifies watches", func() {
		lease, err := store.GrantLease(ctx, time.Second)
		Expect(err).NotTo(HaveOccurred())
		version, err := store.CompareAndSwap(ctx, "role/planner", 0, []byte("vm1"), lease)
		Expect(err).NotTo(HaveOccurred())
		virtual.Advance(900 * time.Millisecond)
		Expect(store.KeepAlive(ctx, lease)).To(Succeed())
		virtual.Advance(900 * time.Millisecond)
		waiting := watchInBackground("role/", version, time.Minute)
		virtual.Advance(100 * time.Millisecond)
		var result watchResult
		Eventually(waiting).Should(Receive(&result))
		Expect(result.entries).To(HaveLen(1))
		Expect(result.entries[0].Deleted).To(BeTrue())
		Expect(kvstore.IsKind(store.KeepAlive(ctx, lease), kvstore.KindNotFound)).To(BeTrue())
		_, err = store.CompareAndSwap(ctx, "role/planner", 0, []byte("vm1"), lease)
		Expect(kvstore.IsKind(err, kvstore.KindNotFound)).To(BeTrue())
	})

	It("expires a lease on demand, but keeps a key that was rewritten without the lease", func() {
		lease, err := store.GrantLease(ctx, time.Hour)
		Expect(err).NotTo(HaveOccurred())
		version, err := store.CompareAndSwap(ctx, "a", 0, nil, lease)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.CompareAndSwap(ctx, "b", 0, nil, lease)
		Expect(err).NotTo(HaveOccurred())
		_, err = store.CompareAndSwap(ctx, "a", version, []byte("kept"), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(store.LapseKey("b")).To(BeTrue())
		Expect(store.LapseLease(lease)).To(BeFalse())
		entries, err := store.List(ctx, "")
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(HaveLen(1))
		Expect(entries[0].Key).To(Equal("a"))
	})

	It("returns the same changes to repeated watches from the same version", func() {
		start := put("page/a", "1")
		put("config/x", "other prefix")
		second := put("page/b", "2")
		Expect(store.Delete(ctx, "page/a", start)).To(Succeed())
		for range 2 {
			entries, err := store.Watch(ctx, "page/", start, time.Minute)
			Expect(err).NotTo(HaveOccurred())
			Expect(entries).To(HaveLen(2))
			Expect(entries[0].Version).To(Equal(second))
			Expect(entries[1].Key).To(Equal("page/a"))
			Expect(entries[1].Deleted).To(BeTrue())
		}
	})

	It("wakes a watch only for its prefix and ends it when its wait has passed", func() {
		waiting := watchInBackground("page/", 0, time.Minute)
		put("config/x", "")
		Consistently(waiting, "20ms").ShouldNot(Receive())
		put("page/a", "")
		var result watchResult
		Eventually(waiting).Should(Receive(&result))
		Expect(result.entries).To(HaveLen(1))
		waiting = watchInBackground("page/", result.entries[0].Version, time.Minute)
		virtual.Advance(time.Minute)
		Eventually(waiting).Should(Receive(&result))
		Expect(result.entries).To(BeEmpty())
		Expect(result.err).NotTo(HaveOccurred())
	})

	It("hides changes from faulty watches but not from reads", func() {
		store.SetFaults(memstore.Faults{Watch: memstore.WatchMisses})
		put("page/a", "missed")
		store.SetFaults(memstore.Faults{})
		entries, err := store.Watch(ctx, "page/", 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(BeEmpty())
		entries, err = store.List(ctx, "page/")
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(HaveLen(1))
		store.SetFaults(memstore.Faults{Watch: memstore.WatchSilent})
		put("page/b", "late")
		entries, err = store.Watch(ctx, "page/", 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(BeEmpty())
		store.SetFaults(memstore.Faults{})
		entries, err = store.Watch(ctx, "page/", 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(HaveLen(1))
	})

	It("limits writes and reads separately and counts a waiting watch once", func() {
		store = memstore.New(memstore.Options{Clock: virtual, WritesPerSecond: 2, ReadsPerSecond: 3})
		put("a", "")
		put("b", "")
		_, err := store.CompareAndSwap(ctx, "c", 0, nil, 0)
		Expect(kvstore.IsKind(err, kvstore.KindThrottled)).To(BeTrue())
		Expect(kvstore.IsUnknown(err)).To(BeFalse())
		waiting := watchInBackground("", 2, time.Hour)
		virtual.Advance(time.Second)
		put("c", "")
		Eventually(waiting).Should(Receive())
		counts := store.Counts()
		Expect(counts.Watches).To(BeEquivalentTo(1))
		Expect(counts.Writes()).To(BeEquivalentTo(4))
		Expect(counts.Throttled).To(BeEquivalentTo(1))
		for range 3 {
			_, err = store.Get(ctx, "a")
			Expect(err).NotTo(HaveOccurred())
		}
		_, err = store.Get(ctx, "a")
		Expect(kvstore.IsKind(err, kvstore.KindThrottled)).To(BeTrue())
	})

	It("returns the VM list with a lag", func() {
		store.SetVMs([]kvstore.VM{{Name: "vm2"}, {Name: "vm1"}})
		store.SetFaults(memstore.Faults{VMListLag: 10 * time.Second})
		virtual.Advance(5 * time.Second)
		store.SetVMs([]kvstore.VM{{Name: "vm1", Leaving: true}})
		virtual.Advance(9 * time.Second)
		vms, err := store.VMs(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(vms).To(Equal([]kvstore.VM{{Name: "vm1"}, {Name: "vm2"}}))
		virtual.Advance(time.Second)
		vms, err = store.VMs(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(vms).To(Equal([]kvstore.VM{{Name: "vm1", Leaving: true}}))
	})
})
