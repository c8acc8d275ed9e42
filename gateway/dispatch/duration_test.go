package dispatch

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestExpectedDuration(t *testing.T) {
	of := func(samples ...time.Duration) time.Duration {
		var d duration
		for range 20 {
			for _, sample := range samples {
				d.add(sample)
			}
		}
		return d.upperBound()
	}
	g := NewWithT(t)
	g.Expect((&duration{}).upperBound()).To(BeZero())
	g.Expect(of(time.Second)).To(BeNumerically("~", time.Second, 10*time.Millisecond))
	g.Expect(of(100*time.Millisecond, 3*time.Second)).To(BeNumerically(">", 3*time.Second), "some requests take that long")
}

func TestDurationsOfManyRoutesTakeLimitedMemory(t *testing.T) {
	g := NewWithT(t)
	var d durations
	for route := range 3 * maxRoutes {
		d.add(routeKey{fmt.Sprint(route), "s"}, time.Second)
		g.Expect(len(d.routes)).To(BeNumerically("<=", maxRoutes))
	}
	g.Expect(d.upperBound(routeKey{fmt.Sprint(3*maxRoutes - 1), "s"})).NotTo(BeZero())
	g.Expect(d.upperBound(routeKey{"unheard of", "s"})).To(BeZero())
}
