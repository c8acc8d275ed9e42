package limits

import (
	"context"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"guavacrank.example/bench/report"
)

func TestLimitsKeepTheirTargets(t *testing.T) {
	g := NewWithT(t)
	result, err := Run(context.Background(), Options{Requests: 20_000})
	g.Expect(err).NotTo(HaveOccurred())
	for _, row := range result.Rows {
		if row.Policy == "home-same-zone" || strings.HasSuffix(row.Name, ".connections") {
			g.Expect(row.Met()).To(BeTrue(), "%+v", row)
		}
	}
	for _, site := range Sites {
		ratio := ratios(result, "limits."+site.Name+".unkeyed.wait_p99_ratio")
		for _, baseline := range []string{"direct", "home", "home-refusing", "region-home"} {
			g.Expect(ratio["zone-home"]).To(BeNumerically("<", ratio[baseline]), baseline)
		}
	}
	again, err := Run(context.Background(), Options{Requests: 20_000})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(Equal(result), "the same verdict every time")
}

// ratios returns the values of one row, by policy.
func ratios(r report.Report, name string) map[string]float64 {
	values := make(map[string]float64)
	for _, row := range r.Rows {
		if row.Name == name {
			values[row.Policy] = row.Value
		}
	}
	return values
}
