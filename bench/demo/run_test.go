package demo

import (
	"bytes"
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

// smallConfiguration has one service divided by key, with servers of both
// kinds, and one that is not.
const smallConfiguration = `services:
  - name: cards
    divided_by_key: true
    shards: 16
    classes:
      - {name: lookup, idempotent: true, priority: interactive, deadline: 2s}
      - {name: stamp, idempotent: false, priority: patient, deadline: 2s}
  - name: printing
    classes: [{name: order, idempotent: false, priority: patient, deadline: 2s}]
servers:
  - {name: a, service: cards, address: "127.0.0.1:1", region: r, zone: r-a, slots: 4, connections: 55, checks_grants: true}
  - {name: b, service: cards, address: "127.0.0.1:2", region: r, zone: r-b, slots: 4, connections: 55, checks_grants: true}
  - {name: c, service: cards, address: "127.0.0.1:3", region: r, zone: r-a, slots: 4, connections: 55, checks_grants: true}
  - {name: d, service: cards, address: "127.0.0.1:4", region: r, zone: r-b, slots: 4, connections: 55, checks_grants: false}
  - {name: p, service: printing, address: "127.0.0.1:5", region: r, zone: r-a, slots: 4, connections: 55, checks_grants: false}
  - {name: q, service: printing, address: "127.0.0.1:6", region: r, zone: r-b, slots: 4, connections: 55, checks_grants: false}
`

var _ = Describe("Run", func() {
	run := func(length time.Duration, list string) (Summary, string, error) {
		GinkgoHelper()
		running := goleak.IgnoreCurrent()
		faults, err := ParseFaults(list, length)
		Expect(err).NotTo(HaveOccurred())
		var progress bytes.Buffer
		summary, err := Run(context.Background(), Options{
			Name: "small.yaml", Configuration: []byte(smallConfiguration), Length: length, Load: true,
			Faults: faults, LoadOptions: LoadOptions{Rate: 200, Seed: 1}, Progress: &progress,
		})
		Eventually(func() error { return goleak.Find(running) }, "10s").Should(Succeed())
		return summary, progress.String(), err
	}

	DescribeTable("keeps every promise", func(list string) {
		summary, _, err := run(3*time.Second, list)
		Expect(err).NotTo(HaveOccurred(), strings.Join(summary.Details, "\n"))
		Expect(summary.Broken()).To(BeEmpty())
		Expect(summary.Answered).To(BeNumerically(">", 0))
		Expect(summary.Answered + summary.NotRun + summary.MayHaveRun).To(Equal(summary.Requests))
	},
		Entry("loss of a server while another freezes", "server@500ms,freeze@1s-2500ms"),
		Entry("loss of a VM during an outage of the store", "store@500ms-1500ms,vm@1s"),
		Entry("graceful stop while replies of the store are lost", "replies@500ms-1500ms,stop:entry-1@600ms-2s"),
	)

	It("names a server that is not there", func() {
		_, _, err := run(time.Second, "server:x@500ms")
		Expect(err).To(MatchError(ContainSubstring("there is no such server")))
	})
})
