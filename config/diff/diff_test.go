package diff_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/config"
	"guavacrank.example/config/diff"
)

func TestDiff(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "diff")
}

var _ = Describe("Compare and Assess", func() {
	var text string
	BeforeEach(func() {
		data, err := os.ReadFile("../../examples/verhaegen.yaml")
		Expect(err).NotTo(HaveOccurred())
		text = string(data)
	})

	read := func(text string) *config.Configuration {
		parsed, err := config.ParseConfiguration("c.yaml", []byte(text))
		Expect(err).NotTo(HaveOccurred())
		return parsed
	}
	lines := func(changes []diff.Change) string {
		var all strings.Builder
		for _, change := range changes {
			all.WriteString(change.String() + "\n")
		}
		return all.String()
	}

	It("finds nothing where only the text differs", func() {
		Expect(diff.Compare(read(text), read("# comment\n"+text))).To(BeEmpty())
	})

	It("names entity and field of each difference", func() {
		edited := strings.NewReplacer(
			"retry_budget: 10%", "retry_budget: 5%",
			"{name: cat-3, ", "{name: cat-3, draining: true, ",
			"{name: stmt-8,", "{name: stmt-9,",
			"set: {max_attempts: 2}", "set: {max_attempts: 1}",
			"{key: design/sinterklaas, server: cat-2}", "{key: design/sinterklaas, server: cat-1}",
		).Replace(text)
		found := lines(diff.Compare(read(text), read(edited)))
		Expect(found).To(ContainSubstring("~ defaults: retry_budget: 10% -> 5%\n"))
		Expect(found).To(ContainSubstring("~ server cat-3: draining: false -> true\n"))
		Expect(found).To(ContainSubstring("+ server stmt-9 {service: statements"))
		Expect(found).To(ContainSubstring("- server stmt-8 {service: statements"))
		Expect(found).To(ContainSubstring("~ exception for class printing/reprint-order: max_attempts: 2 because"))
		Expect(found).To(ContainSubstring(`~ key catalogue/"design/sinterklaas": server: cat-2 -> cat-1`))
		Expect(strings.Count(found, "\n")).To(Equal(6))
	})

	It("tells which servers lose or get work", func() {
		edited := strings.NewReplacer(
			"{name: cat-3, ", "{name: cat-3, draining: true, ",
			"{name: stmt-8,", "{name: stmt-9,",
			"idempotent: false", "idempotent: true",
		).Replace(text)
		edited += "lost: [{kind: vm, name: entry-4, reason: gone}]\n"
		found := diff.Assess(read(text), read(edited), []diff.Holding{{Server: "cat-3", Units: 23}})
		Expect(found).To(ConsistOf(
			diff.Consequence{Entity: "server cat-3", Effect: "drains: 23 shards and keys of catalogue move to other servers"},
			diff.Consequence{Entity: "server stmt-8", Effect: "leaves: it gets no new requests of statements"},
			diff.Consequence{Entity: "server stmt-9", Effect: "gets requests of statements"},
			diff.Consequence{Entity: "class printing/reprint-order", Effect: "its requests may run twice from now on"},
			diff.Consequence{Entity: "vm entry-4", Effect: "what it owned or granted is moved without waiting for its word; it must not be running"},
		))
	})

	It("sums up a service that starts or ends", func() {
		Expect(diff.Assess(nil, read(text), nil)).To(ContainElements(
			diff.Consequence{Entity: "service catalogue", Effect: "its 256 shards are given to 11 servers"},
			diff.Consequence{Entity: "service stock", Effect: "its requests are answered by 10 servers"},
		))
		Expect(diff.Assess(nil, read(text), nil)).To(HaveLen(6)) // Four services and two declared keys.
		gone := strings.ReplaceAll(text, "name: stock\n", "name: supply\n")
		gone = strings.ReplaceAll(gone, "service: stock,", "service: supply,")
		Expect(diff.Assess(read(text), read(gone), nil)).To(ContainElements(
			diff.Consequence{Entity: "service stock", Effect: "requests for it are refused as not run"},
			diff.Consequence{Entity: "service supply", Effect: "its requests are answered by 10 servers"},
		))
	})

	It("tells the share of a server that comes back", func() {
		drained := strings.Replace(text, "{name: cat-3, ", "{name: cat-3, draining: true, ", 1)
		found := diff.Assess(read(drained), read(text), nil)
		Expect(found).To(Equal([]diff.Consequence{
			{Entity: "server cat-3", Effect: "about 23 of 256 shards of catalogue move to it"},
		}))
	})
})

var _ = Describe("ParseChange", func() {
	var text string
	BeforeEach(func() {
		data, err := os.ReadFile("../testdata/good/minimal.yaml")
		Expect(err).NotTo(HaveOccurred())
		text = string(data)
	})
	DescribeTable("refuses what a running fleet can't change at once",
		func(old, replacement, field, reason string) {
			inForce, err := config.ParseConfiguration("c.yaml", []byte(text))
			Expect(err).NotTo(HaveOccurred())
			_, err = config.ParseChange("c.yaml", []byte(strings.Replace(text, old, replacement, 1)), inForce)
			Expect(err).To(MatchError(And(ContainSubstring(field), ContainSubstring(reason))))
		},
		Entry("shards", "shards: 64", "shards: 65", "services[0].shards", "can't change in force (64)"),
		Entry("address", "21001", "21009", "servers[0].address", "only while the server drains"),
		Entry("fence", "checks_grants: false", "checks_grants: true", "servers[1].checks_grants", "only while the server drains"),
		Entry("removal", "name: cat-2", "name: cat-3", "servers", `server "cat-2" of "catalogue" is removed`),
	)
	It("lets a draining server go, and change its address", func() {
		drained := strings.Replace(text, "checks_grants: false", "checks_grants: false, draining: true", 1)
		inForce, err := config.ParseConfiguration("c.yaml", []byte(drained))
		Expect(err).NotTo(HaveOccurred())
		for _, replacement := range []string{"name: cat-3", "name: cat-2"} {
			edited := strings.NewReplacer("name: cat-2", replacement, "21002", "21012").Replace(drained)
			_, err = config.ParseChange("c.yaml", []byte(edited), inForce)
			Expect(err).NotTo(HaveOccurred())
		}
	})
})
