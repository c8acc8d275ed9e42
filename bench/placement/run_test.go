package placement_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/bench/placement"
	policies "guavacrank.example/control/placement"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bench/placement")
}

var _ = Describe("the policy in use", func() {
	DescribeTable("meets every target", func(seed uint64) {
		options := placement.Options{Seed: seed, Policies: []policies.Policy{policies.Balanced{}}}
		result, err := placement.Run(context.Background(), options)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Rows).NotTo(BeEmpty())
		Expect(result.Missed()).To(BeEmpty())
	},
		Entry("seed 1", uint64(1)),
		Entry("seed 2", uint64(2)),
		Entry("seed 3", uint64(3)),
	)
})
