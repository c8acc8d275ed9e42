package load

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/control/ownership"
)

func TestUnitsThatAreNotRetainedCountNoMore(t *testing.T) {
	g := NewWithT(t)
	r := NewUnitRates(0)
	for window := time.Duration(1); window <= 3; window++ {
		for _, unit := range []ownership.UnitID{900, 3, 40} {
			r.Add(unit, 500)
		}
		r.Advance(window * Window)
	}
	g.Expect(r.Total()).To(BeNumerically("~", 300, 0.001))
	r.Retain(func(unit ownership.UnitID) bool { return unit != 40 })
	g.Expect(r.Units()).To(Equal(2))
	g.Expect([]float64{r.Rate(3), r.Rate(40), r.Rate(900)}).To(Equal([]float64{100, 0, 100}))
	g.Expect(r.Total()).To(BeNumerically("~", 200, 0.001))
}
