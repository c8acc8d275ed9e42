package fence_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"guavacrank.example/backend"
	"guavacrank.example/backend/fence"
)

func TestFence(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fence")
}

const boot = "s1-1"

// full returns an order for a whole set.
func full(term, page, sequence uint64, expires int64, units ...backend.UnitGrant) backend.GrantOrder {
	return backend.GrantOrder{
		Grantor: "vm1", Term: term, PageVersion: page, Sequence: sequence,
		Boot: boot, ExpiresAt: expires, Full: true, Units: units,
	}
}

var _ = Describe("Fence", func() {
	var (
		server *fence.Fence
		unit   = backend.UnitGrant{Unit: 7, Epoch: 3}
		other  = backend.UnitGrant{Unit: 8, Epoch: 1}
	)

	BeforeEach(func() { server = fence.New(boot) })

	It("serves a granted unit at its epoch until the grant runs out", func() {
		Expect(server.Serve(7, 3, 100)).To(BeFalse())
		Expect(server.Step(full(1, 1, 1, 1500, unit), 100).Result).To(Equal(backend.GrantAccepted))
		Expect(server.Serve(7, 3, 1499)).To(BeTrue())
		Expect(server.Serve(7, 2, 1499)).To(BeFalse())
		Expect(server.Serve(7, 4, 1499)).To(BeFalse())
		Expect(server.Serve(8, 3, 1499)).To(BeFalse())
		Expect(server.Serve(7, 3, 1500)).To(BeFalse())
	})

	It("answers a greeting with boot and clock and grants nothing", func() {
		order := full(9, 9, 9, 5000, unit)
		order.Boot = ""
		Expect(server.Step(order, 42)).To(Equal(backend.GrantAnswer{Result: backend.GrantHello, Boot: boot, Clock: 42}))
		Expect(server.Serve(7, 3, 43)).To(BeFalse())
	})

	It("refuses lower terms, page versions and sequences, and takes repeats", func() {
		Expect(server.Step(full(5, 5, 5, 1000, unit), 0).Result).To(Equal(backend.GrantAccepted))
		Expect(server.Step(full(5, 5, 5, 1000, unit), 1).Result).To(Equal(backend.GrantAccepted))
		Expect(server.Step(full(4, 9, 9, 1000), 1).Result).To(Equal(backend.GrantStaleTerm))
		Expect(server.Step(full(5, 4, 9, 1000), 1).Result).To(Equal(backend.GrantStale))
		Expect(server.Step(full(5, 5, 4, 1000), 1).Result).To(Equal(backend.GrantStale))
		Expect(server.Serve(7, 3, 2)).To(BeTrue())
		answer := server.Step(full(6, 1, 1, 1000, unit), 1)
		Expect(answer.Result).To(Equal(backend.GrantAccepted))
		Expect(answer.HighestTerm).To(BeEquivalentTo(6))
	})

	It("refuses an order that waited while the server was frozen", func() {
		Expect(server.Step(full(1, 1, 1, 1000, unit), 0).Result).To(Equal(backend.GrantAccepted))
		Expect(server.Step(full(1, 1, 2, 1400, unit), 5000).Result).To(Equal(backend.GrantExpired))
		Expect(server.Serve(7, 3, 5000)).To(BeFalse())
	})

	It("ends a grant that ran out, also if another one follows", func() {
		server.Step(full(1, 1, 1, 1000, unit), 0)
		begun := server.Grant()
		server.Step(full(1, 1, 2, 1400, unit), 999)
		Expect(begun.Valid(1399)).To(BeTrue())
		server.Step(full(1, 1, 3, 2400, unit), 1400)
		Expect(server.Valid(1500)).To(BeTrue())
		Expect(begun.Valid(1500)).To(BeFalse())
		Expect(begun.ExpiresAt()).To(BeEquivalentTo(1400))
	})

	It("refuses an order for an earlier boot", func() {
		order := full(1, 1, 1, 1000, unit)
		order.Boot = "s1-0"
		Expect(server.Step(order, 0).Result).To(Equal(backend.GrantWrongBoot))
		Expect(server.Serve(7, 3, 1)).To(BeFalse())
	})

	It("renews by digest only the set that it holds", func() {
		server.Step(full(1, 1, 1, 1000, unit, other), 0)
		renewal := full(1, 1, 2, 2000)
		renewal.Full, renewal.Digest = false, backend.Digest([]backend.UnitGrant{unit})
		Expect(server.Step(renewal, 500).Result).To(Equal(backend.GrantNeedFull))
		Expect(server.Valid(1000)).To(BeFalse())
		renewal.Digest = backend.Digest([]backend.UnitGrant{other, unit})
		Expect(server.Step(renewal, 500).Result).To(Equal(backend.GrantAccepted))
		Expect(server.Serve(8, 1, 1999)).To(BeTrue())
	})

	It("lists a unit as finishing until its last run ends", func() {
		server.Step(full(1, 1, 1, 1000, unit, other), 0)
		Expect(server.Begin(7, 3, 1)).To(BeTrue())
		Expect(server.Begin(7, 3, 1)).To(BeTrue())
		Expect(server.Step(full(1, 2, 2, 1000, other), 2).Finishing).To(Equal([]uint32{7}))
		Expect(server.Begin(7, 3, 3)).To(BeFalse())
		server.End(7, 3)
		Expect(server.Step(full(1, 2, 3, 1000, other), 4).Finishing).To(Equal([]uint32{7}))
		server.End(7, 3)
		Expect(server.Step(full(1, 2, 4, 1000, other), 5).Finishing).To(BeEmpty())
	})

	It("lists a unit that is granted at a higher epoch than a run began at", func() {
		server.Step(full(1, 1, 1, 1000, unit), 0)
		Expect(server.Begin(7, 3, 1)).To(BeTrue())
		higher := backend.UnitGrant{Unit: 7, Epoch: 4}
		Expect(server.Step(full(1, 2, 2, 1000, higher), 2).Finishing).To(Equal([]uint32{7}))
		Expect(server.Begin(7, 4, 3)).To(BeTrue())
		server.End(7, 3)
		Expect(server.Step(full(1, 2, 3, 1000, higher), 4).Finishing).To(BeEmpty())
	})
})

// TestOrderOfArrival checks that whatever order repeated and reordered orders
// arrive in, the server holds the set of the highest one that it was sent in
// time, and never serves past that order's expiry.
func TestOrderOfArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		server := fence.New(boot)
		var clock, highestTerm int64
		for range rapid.IntRange(1, 30).Draw(t, "orders") {
			clock += rapid.Int64Range(0, 50).Draw(t, "elapsed")
			term := rapid.Int64Range(1, 5).Draw(t, "term")
			expires := rapid.Int64Range(0, 2000).Draw(t, "expires")
			granted := backend.UnitGrant{Unit: uint32(term), Epoch: uint64(term)}
			answer := server.Step(full(uint64(term), 1, uint64(expires), expires, granted), clock)
			if answer.Result != backend.GrantAccepted {
				continue
			}
			if term < highestTerm {
				t.Fatalf("term %d accepted after %d", term, highestTerm)
			}
			highestTerm = term
			if server.Serve(granted.Unit, granted.Epoch, expires) {
				t.Fatalf("serves at %d, when the grant runs out", expires)
			}
			for lower := int64(1); lower < term; lower++ {
				if server.Serve(uint32(lower), uint64(lower), clock) {
					t.Fatalf("serves the set of term %d under term %d", lower, term)
				}
			}
		}
	})
}
