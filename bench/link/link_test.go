package link

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestPacingKeepsItsTarget(t *testing.T) {
	g := NewWithT(t)
	result, err := Run(context.Background(), Options{Duration: 20 * time.Second})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Missed()).To(BeEmpty())
}
