package link

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/config"
)

func TestPacer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := NewPacer()
		start := time.Now()
		g.Expect(p.Wait(context.Background(), config.Bulk, 1<<20)).To(Succeed())
		g.Expect(time.Since(start)).To(BeZero(), "no limit without a rate")

		p.SetRate(100 << 10)
		g.Expect(p.Wait(context.Background(), config.Bulk, 200<<10)).To(Succeed())
		g.Expect(time.Since(start)).To(BeNumerically("~", 2*time.Second, 50*time.Millisecond))
		start = time.Now()
		g.Expect(p.Wait(context.Background(), config.Interactive, 1<<20)).To(Succeed())
		g.Expect(time.Since(start)).To(BeZero(), "only bulk is delayed")

		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		g.Expect(p.Wait(ctx, config.Bulk, 1<<20)).NotTo(Succeed())
		g.Expect(p.Bytes()).To(HaveKeyWithValue("interactive", int64(1<<20)))
	})
}
