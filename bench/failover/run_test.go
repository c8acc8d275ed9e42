package failover_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/bench/failover"
)

func TestFailover(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bench/failover")
}

var _ = Describe("failover", func() {
	It("meets every target", func() {
		result, err := failover.Run(context.Background(), failover.Options{Seed: 1, Trials: 1})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Rows).NotTo(BeEmpty())
		Expect(result.Missed()).To(BeEmpty())
	})
})
