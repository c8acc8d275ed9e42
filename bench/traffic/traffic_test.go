package traffic

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestTrafficRuns checks that every way answers. The times of a busy machine
// are no verdict: guavacrankctl bench traffic compares them with the targets.
func TestTrafficRuns(t *testing.T) {
	g := NewWithT(t)
	result, err := Run(context.Background(), Options{Rounds: 1, RoundTime: 20 * time.Millisecond, Callers: 500})
	g.Expect(err).NotTo(HaveOccurred())
	for _, row := range result.Rows {
		if row.Name == "traffic.answers_lost" {
			g.Expect(row.Value).To(BeZero())
			continue
		}
		g.Expect(row.Value).To(BeNumerically(">", 0), row.Name)
	}
}
