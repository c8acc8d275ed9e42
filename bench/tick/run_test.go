package tick_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/bench/tick"
)

func TestTick(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bench/tick")
}

var _ = Describe("the control plane's cost", func() {
	It("stays within the targets at today's size", func() {
		result, err := tick.Run(context.Background(), tick.Options{Sizes: tick.Sizes[:1]})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Rows).NotTo(BeEmpty())
		Expect(result.Missed()).To(BeEmpty())
	})
})
