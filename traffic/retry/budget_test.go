package retry

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestBudget(t *testing.T) {
	g := NewWithT(t)
	b := NewBudget()
	spent := 0
	for b.Spend() {
		spent++
	}
	g.Expect(spent).To(Equal(10), "the initial budget")
	for range 100 {
		b.RecordSuccess(10)
	}
	for spent = 0; b.Spend(); spent++ {
	}
	g.Expect(spent).To(Equal(10), "a tenth of the successes")
	for range 100_000 {
		b.RecordSuccess(10)
	}
	for spent = 0; b.Spend(); spent++ {
	}
	g.Expect(spent).To(Equal(100), "no more than the bucket holds")
}
