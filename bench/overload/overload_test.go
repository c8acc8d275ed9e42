package overload

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestOverloadKeepsItsTargets(t *testing.T) {
	g := NewWithT(t)
	result, err := Run(context.Background(), Options{Duration: 40 * time.Second})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Missed()).To(BeEmpty())
}
