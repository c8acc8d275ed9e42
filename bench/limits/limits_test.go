package limits

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"
)

func TestLimitsKeepTheirTargets(t *testing.T) {
	g := NewWithT(t)
	result, err := Run(context.Background(), Options{Requests: 20_000})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Missed()).To(BeEmpty())
	again, err := Run(context.Background(), Options{Requests: 20_000})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(Equal(result), "the same verdict every time")
}
