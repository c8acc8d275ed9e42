package once

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/traffic/once/oncetest"
)

var _ = Describe("records", func() {
	var (
		ctx   = context.Background()
		store *oncetest.Store
		a, b  *Records
	)

	BeforeEach(func() {
		store = oncetest.NewStore()
		a = New(Options{Store: store, VM: "a"})
		b = New(Options{Store: store, VM: "b"})
	})

	begin := func(r *Records) (*Claim, *Record, error) { return r.Begin(ctx, "cards", "k", "f") }

	It("give one claim among racing VMs", func() {
		var group sync.WaitGroup
		claims := make(chan *Claim, 20)
		for i := range 20 {
			records := []*Records{a, b}[i%2]
			group.Go(func() {
				defer GinkgoRecover()
				claim, earlier, err := begin(records)
				Expect(err).NotTo(HaveOccurred())
				Expect((claim == nil) != (earlier == nil)).To(BeTrue())
				if claim != nil {
					claims <- claim
				}
			})
		}
		group.Wait()
		Expect(claims).To(HaveLen(1))
	})

	It("return the response to a retry through another VM", func() {
		claim, _, _ := begin(a)
		claim.Finish(NewResponse(201, "text/plain", []byte("done"), true))
		Expect(a.Wait(context.Background())).To(Succeed())
		_, earlier, err := begin(b)
		Expect(err).NotTo(HaveOccurred())
		Expect(earlier.State).To(Equal(Finished))
		Expect(*earlier.Response).To(Equal(Response{Status: 201, ContentType: "text/plain", HasBody: true, Body: []byte("done")}))
	})

	It("prevent another run while the first is running, or its VM was lost", func() {
		begin(a)
		claim, earlier, _ := begin(b)
		Expect(claim).To(BeNil())
		Expect(earlier.State).To(Equal(Begun))
	})

	It("keep an unknown outcome", func() {
		claim, _, _ := begin(a)
		claim.MarkUnknown()
		Expect(a.Wait(context.Background())).To(Succeed())
		_, earlier, _ := begin(b)
		Expect(earlier.State).To(Equal(Unknown))
	})

	It("let a retry run after a release", func() {
		claim, _, _ := begin(a)
		Expect(claim.Release(ctx)).To(Succeed())
		claim, _, err := begin(b)
		Expect(err).NotTo(HaveOccurred())
		Expect(claim).NotTo(BeNil())
	})

	It("resolve a lost reply by reading back", func() {
		store.LoseReplies(1)
		claim, earlier, err := begin(a)
		Expect(err).NotTo(HaveOccurred())
		Expect(earlier).To(BeNil())
		claim.Finish(NewResponse(200, "", nil, true))
		Expect(a.Wait(context.Background())).To(Succeed())
		_, earlier, _ = begin(b)
		Expect(earlier.State).To(Equal(Finished))
	})

	It("prevent the run and every retry when a lost reply can't be resolved", func() {
		store.LoseReplies(1)
		store.SetReadsFailing(true)
		claim, earlier, err := begin(a)
		Expect(claim).To(BeNil())
		Expect(earlier).To(BeNil())
		Expect(err).To(MatchError(ErrUnconfirmed))
		store.SetReadsFailing(false)
		_, earlier, _ = begin(b)
		Expect(earlier.State).To(Equal(Begun))
	})

	It("prevent the run while the store is down", func() {
		store.SetDown(true)
		claim, _, err := begin(a)
		Expect(claim).To(BeNil())
		Expect(err).To(MatchError(ErrUnconfirmed))
	})

	It("leave a record begun when the outcome can't be written", func() {
		claim, _, _ := begin(a)
		store.SetDown(true)
		claim.Finish(NewResponse(200, "", nil, true))
		Expect(a.Wait(context.Background())).To(Succeed())
		store.SetDown(false)
		_, earlier, _ := begin(b)
		Expect(earlier.State).To(Equal(Begun))
	})

	It("limit the outcomes written per second, but not the creations", func() {
		now := 1000 * time.Second
		r := New(Options{Store: store, VM: "a", OutcomeWritesPerSecond: 1, Elapsed: func() time.Duration { return now }})
		for _, key := range []string{"1", "2"} {
			claim, _, err := r.Begin(ctx, "cards", key, "f")
			Expect(err).NotTo(HaveOccurred())
			claim.Finish(NewResponse(200, "", nil, true))
		}
		Expect(r.Wait(context.Background())).To(Succeed())
		_, first, _ := b.Begin(ctx, "cards", "1", "f")
		_, second, _ := b.Begin(ctx, "cards", "2", "f")
		Expect([]State{first.State, second.State}).To(Equal([]State{Finished, Begun}))
	})

	It("use one lease for all records within leaseUseTime", func() {
		now := 1000 * time.Second
		r := New(Options{Store: store, VM: "a", Elapsed: func() time.Duration { return now }})
		r.Begin(ctx, "cards", "1", "f")
		r.Begin(ctx, "cards", "2", "f")
		Expect(store.Leases()).To(Equal(1))
		now += leaseUseTime // Suspend counts.
		r.Begin(ctx, "cards", "3", "f")
		Expect(store.Leases()).To(Equal(2))
	})

	It("leave out a large body", func() {
		Expect(NewResponse(200, "", make([]byte, MaxBodyBytes+1), true).HasBody).To(BeFalse())
		Expect(NewResponse(200, "", nil, false).HasBody).To(BeFalse())
	})
})
