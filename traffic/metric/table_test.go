package metric

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/traffic/verdict"
)

func TestTable(t *testing.T) {
	g := NewWithT(t)
	var table Table
	start := time.Unix(1000, 0)
	table.Rotate(start)
	class := table.Class("cards", "look")
	for i := range 100 {
		class.Record(verdict.Answered, verdict.CodeAnswered, Observation{
			Total: time.Duration(i+1) * time.Millisecond, Attempts: 1, ResponseBytes: 10,
		})
	}
	class.Record(verdict.NotRun, verdict.CodeShed, Observation{Total: time.Hour})

	var published map[string]map[string]Report
	g.Expect(json.Unmarshal([]byte(table.String()), &published)).To(Succeed())
	report := published["cards"]["look"]
	g.Expect(report.Outcomes).To(Equal(map[string]int64{"answered/answered": 100, "not_run/shed": 1}))
	g.Expect(report.ResponseBytes).To(BeEquivalentTo(1000))
	g.Expect(report.Distributions["total_us"].All.Count).To(BeEquivalentTo(101))
	g.Expect(report.Distributions["total_us"].All.P50).To(BeNumerically("~", 51_000, 1000))
	g.Expect(report.Distributions["attempts"].All.Count).To(BeEquivalentTo(100), "requests that were sent")
	g.Expect(report.Distributions["total_us"].LastMinute.Count).To(BeZero())

	table.Rotate(start.Add(minute))
	report = table.Reports()["cards"]["look"]
	g.Expect(report.Distributions["total_us"].LastMinute.Count).To(BeEquivalentTo(101))
	g.Expect(report.Distributions["total_us"].All.Count).To(BeEquivalentTo(101))
	table.Rotate(start.Add(2 * minute))
	g.Expect(table.Reports()["cards"]["look"].Distributions["total_us"].LastMinute.Count).To(BeZero())
}
