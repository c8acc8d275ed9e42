package plot

import (
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"guavacrank.example/bench/report"
)

func TestWriteDrawsOneFileForEachGroupAndUnit(t *testing.T) {
	g := NewWithT(t)
	rows := []report.Row{
		{Name: "placement.loss.imbalance", Policy: "balanced", Value: 1.1, Unit: "max/mean"},
		{Name: "placement.loss.imbalance", Policy: "rendezvous", Value: 2, Unit: "max/mean"},
		{Name: "placement.loss.moves", Policy: "balanced", Value: 3, Unit: "moves"},
	}
	files, err := Write(t.TempDir(), []report.Report{{Benchmark: "placement", Rows: rows}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(files).To(HaveLen(2))
	drawn, err := os.ReadFile(files[0])
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(drawn)).To(And(ContainSubstring("<svg"), ContainSubstring("balanced"), ContainSubstring("rendezvous")))
}
