package change_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"guavacrank.example/bench/change"
)

func TestChangeKeepsItsTargets(t *testing.T) {
	g := NewWithT(t)
	result, err := change.Run(context.Background(), change.Options{Servers: []int{40}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Rows).To(HaveLen(6))
	g.Expect(result.Missed()).To(BeEmpty())
}
