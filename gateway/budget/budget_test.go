package budget_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/budget"
)

func spendAll(b *budget.Budget, now time.Duration) int {
	spent := 0
	for b.Spend(now, "s", 0) {
		spent++
	}
	return spent
}

func TestBudget(t *testing.T) {
	options := budget.Options{Window: 10 * time.Second, Ratio: 0.2, Slack: 64}

	t.Run("allows a ratio of the requests and a share of the slack", func(t *testing.T) {
		g := NewWithT(t)
		b := budget.New(options)
		g.Expect(spendAll(b, 0)).To(BeZero(), "no requests yet, and the number of VMs is unknown")
		for range 100 {
			b.CountRequest(time.Second, "s")
		}
		g.Expect(spendAll(b, time.Second)).To(BeNumerically("<=", 20))
		b.SetVMs(8)
		g.Expect(spendAll(b, time.Second)).To(BeNumerically(">", 0))
	})

	t.Run("keeps the total of all VMs within the limit in every window", func(t *testing.T) {
		g := NewWithT(t)
		const vms = 12
		var all []*budget.Budget
		for range vms {
			b := budget.New(options)
			b.SetVMs(vms)
			all = append(all, b)
		}
		requests, retries := map[int]int{}, map[int]int{}
		for tick := range 400 {
			now := time.Duration(tick) * 100 * time.Millisecond
			for i, b := range all {
				if (tick+i)%3 == 0 {
					b.CountRequest(now, "s")
					requests[tick]++
				}
				for b.Spend(now, "s", 0) {
					retries[tick]++
				}
			}
		}
		for from := 0; from+100 <= 400; from++ {
			r, s := 0, 0
			for tick := from; tick < from+100; tick++ {
				r += requests[tick]
				s += retries[tick]
			}
			g.Expect(float64(s)).To(BeNumerically("<=", 0.2*float64(r)+64))
		}
	})

	t.Run("resets after the window and counts each service separately", func(t *testing.T) {
		g := NewWithT(t)
		b := budget.New(options)
		b.SetVMs(1)
		first := spendAll(b, 0)
		g.Expect(first).To(BeNumerically(">", 0))
		g.Expect(b.Spend(0, "other", 0)).To(BeTrue())
		g.Expect(spendAll(b, 5*time.Second)).To(BeZero())
		g.Expect(spendAll(b, 11*time.Second)).To(Equal(first))
	})

	t.Run("applies new options", func(t *testing.T) {
		g := NewWithT(t)
		b := budget.New(options)
		b.SetVMs(1)
		b.SetOptions(budget.Options{Window: 10 * time.Second})
		g.Expect(spendAll(b, 0)).To(BeZero())
	})
}
