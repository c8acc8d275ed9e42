package demo

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/backend/standin"
	"guavacrank.example/config"
	"guavacrank.example/control/ownership"
	"guavacrank.example/kvstore"
	"guavacrank.example/traffic/route"
	"guavacrank.example/traffic/verdict"
)

var _ = Describe("ParseFaults", func() {
	It("reads kinds, names and times in order of their start", func() {
		faults, err := ParseFaults("vm@4s, server:cat-2@2s,store@5s-8s,freeze@3s-6s", 10*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(faults).To(Equal([]Fault{
			{Kind: FaultServer, Target: "cat-2", Start: 2 * time.Second},
			{Kind: FaultFreeze, Start: 3 * time.Second, End: 6 * time.Second},
			{Kind: FaultVM, Start: 4 * time.Second},
			{Kind: FaultStore, Start: 5 * time.Second, End: 8 * time.Second},
		}))
		Expect(faults[0].String()).To(Equal("server:cat-2@2s"))
	})

	DescribeTable("names what is wrong", func(list, reason string) {
		_, err := ParseFaults(list, 10*time.Second)
		Expect(err).To(MatchError(ContainSubstring(reason)))
	},
		Entry("kind", "disk@2s", `unknown kind "disk"`),
		Entry("no time", "server", "no time after @"),
		Entry("no unit", "server@2", `"2" is no time`),
		Entry("no end", "freeze@3s", "needs an end"),
		Entry("bad end", "store@3s-x", `"x" is no time`),
		Entry("reversed", "store@8s-5s", "ends before it begins"),
		Entry("too late", "vm@10s", "begins after the run"),
		Entry("name of the store", "store:x@1s-2s", "no name belongs"),
		Entry("end of a moment", "lapse@1s-2s", "has no end"),
		Entry("empty item", "server@2s,", "no time after @"),
	)
})

// FuzzParseFaults checks that a list that is accepted reads back as itself.
func FuzzParseFaults(f *testing.F) {
	f.Add("server@2s,vm@4s,store@5s-8s,freeze:cat-1@3s-6s")
	f.Fuzz(func(t *testing.T, list string) {
		faults, err := ParseFaults(list, time.Hour)
		if err != nil {
			return
		}
		var texts []string
		for _, fault := range faults {
			texts = append(texts, fault.String())
		}
		again, err := ParseFaults(strings.Join(texts, ","), time.Hour)
		if err != nil || len(again) != len(faults) {
			t.Fatalf("%q was read as %q, which gives %v, %v", list, texts, again, err)
		}
	})
}

var _ = Describe("judge", func() {
	const shards = 4
	var (
		pages   *history
		divided = map[string]bool{"cards": true}
		shard   = route.Shard("k", shards)
	)

	page := func(change func(*ownership.Page)) {
		GinkgoHelper()
		next, err := ownership.New("cards", []ownership.Server{
			{Name: "a", Term: 1, Grantor: "vm"}, {Name: "b", Term: 1, Grantor: "vm"},
		}, []string{"a", "a", "a", "a"})
		Expect(err).NotTo(HaveOccurred())
		if previous, ok := pages.last["cards"]; ok {
			next = previous.Clone()
		}
		change(&next)
		next.ChangeID = "change"
		value, err := ownership.Encode(&next)
		Expect(err).NotTo(HaveOccurred())
		pages.changed(kvstore.Entry{Key: kvstore.PagePrefix + "cards", Value: value})
	}
	run := func(id, server string, epoch uint64, start, end time.Duration) standin.Run {
		return standin.Run{
			Server: server, Service: "cards", CallerID: id, Key: "k",
			Unit: shard, HasUnit: true, Epoch: epoch, Start: start, End: end,
		}
	}
	sent := func(id string, idempotent bool, v verdict.Verdict) Sent {
		return Sent{ID: id, Order: strings.Split(id, ".")[0], Service: "cards", Key: "k", Idempotent: idempotent, Verdict: v}
	}

	BeforeEach(func() {
		pages = newHistory()
		page(func(*ownership.Page) {})
		page(func(p *ownership.Page) { Expect(p.Reassign(ownership.UnitID(shard), "b")).To(Succeed()) })
	})

	It("finds nothing in a clean run, and counts the move", func() {
		first := pages.last["cards"].Units[shard].Epoch
		runs := []standin.Run{run("r1.1", "a", uint64(first)-1, 0, 5), run("r2.1", "b", uint64(first), 6, 9)}
		found := judge([]Sent{sent("r1.1", true, verdict.Answered), sent("r2.1", false, verdict.Answered)}, runs, pages, divided, 20)
		Expect(found).To(Equal(judgement{}))
		moves, unsound := pages.totals()
		Expect(moves).To(Equal(1))
		Expect(unsound).To(BeEmpty())
	})

	It("finds a non-idempotent request that ran under two of its repeats", func() {
		epoch := uint64(pages.last["cards"].Units[shard].Epoch)
		runs := []standin.Run{run("r1.1", "b", epoch, 0, 1), run("r1.2", "b", epoch, 2, 3), run("r2.1", "b", epoch, 4, 5), run("r2.1", "b", epoch, 6, 7)}
		requests := []Sent{
			sent("r1.1", false, verdict.MayHaveRun), sent("r1.2", false, verdict.Answered), sent("r2.1", true, verdict.Answered),
		}
		Expect(judge(requests, runs, pages, divided, 20).doubled).To(Equal([]string{"r1"}))
	})

	It("finds a run whose caller was told that there was none", func() {
		epoch := uint64(pages.last["cards"].Units[shard].Epoch)
		found := judge([]Sent{sent("r1.1", true, verdict.NotRun)}, []standin.Run{run("r1.1", "b", epoch, 0, 1)}, pages, divided, 20)
		Expect(found.ranAnyway).To(HaveLen(1))
	})

	DescribeTable("finds runs at a server that did not own the key", func(make func(epoch uint64) []standin.Run) {
		epoch := uint64(pages.last["cards"].Units[shard].Epoch)
		Expect(misrouted(make(epoch), pages, divided, 20)).To(HaveLen(1))
	},
		Entry("another owner at that epoch", func(e uint64) []standin.Run {
			return []standin.Run{run("r", "a", e, 0, 1)}
		}),
		Entry("an epoch that never was", func(e uint64) []standin.Run {
			return []standin.Run{run("r", "b", e+1, 0, 1)}
		}),
		Entry("no unit", func(uint64) []standin.Run {
			return []standin.Run{{Server: "b", Service: "cards", Key: "k"}}
		}),
		Entry("another unit than the key's", func(e uint64) []standin.Run {
			other := run("r", "a", 1, 0, 1)
			other.Unit = (shard + 1) % shards
			return []standin.Run{other}
		}),
		Entry("the former owner, still at it when the next began", func(e uint64) []standin.Run {
			return []standin.Run{run("late", "a", e-1, 0, 5), run("r", "b", e, 4, 6)}
		}),
		Entry("the former owner, after the next had ended", func(e uint64) []standin.Run {
			return []standin.Run{run("r", "b", e, 4, 6), run("late", "a", e-1, 8, 9)}
		}),
	)

	It("accepts any epoch's override of a key", func() {
		var unit ownership.UnitID
		page(func(p *ownership.Page) {
			var err error
			unit, err = p.Isolate("k", false)
			Expect(err).NotTo(HaveOccurred())
		})
		last := pages.last["cards"]
		apart := run("r", "b", uint64(last.Unit(unit).Epoch), 0, 1)
		apart.Unit = uint32(unit)
		Expect(misrouted([]standin.Run{apart}, pages, divided, 20)).To(BeEmpty())
		apart.Key = "other"
		Expect(misrouted([]standin.Run{apart}, pages, divided, 20)).To(HaveLen(1))
	})
})

var _ = Describe("unavailable", func() {
	It("gives the longest time from asking to an answer, for the faults around it", func() {
		probe := func(start, end time.Duration, v verdict.Verdict) Sent {
			return Sent{Probe: true, Key: "k", Start: start * time.Millisecond, End: end * time.Millisecond, Verdict: v}
		}
		requests := []Sent{
			probe(900, 910, verdict.Answered), probe(1000, 1005, verdict.NotRun),
			probe(1100, 1900, verdict.MayHaveRun), probe(1200, 1600, verdict.Answered), probe(1300, 1700, verdict.Answered),
		}
		faults := []Fault{{Kind: FaultServer, Start: time.Second}, {Kind: FaultVM, Start: 9 * time.Second}}
		Expect(unavailable(requests, faults, 0, 20*time.Second)).To(Equal(map[string]int64{"server@1s": 600}))
		Expect(unavailable(requests, nil, 0, 20*time.Second)).To(Equal(map[string]int64{"none": 600}))
		dead := []Sent{probe(1000, 1001, verdict.NotRun)}
		Expect(unavailable(dead, faults[:1], 0, 3*time.Second)["server@1s"]).To(BeEquivalentTo(2000))
	})
})

var _ = Describe("workAtLeaving", func() {
	It("counts runs that begin more than 3 s after a drain was accepted and before its end", func() {
		drained := []leaving{{server: "a", from: time.Second, until: 9 * time.Second}, {server: "b", from: time.Second}}
		var runs []standin.Run
		for _, second := range []time.Duration{2, 4, 5, 8, 9, 10} {
			for _, server := range []string{"a", "b", "c"} {
				runs = append(runs, standin.Run{Server: server, Start: second * time.Second})
			}
		}
		Expect(workAtLeaving(runs, drained)).To(Equal(2 + 4))
	})
})

var _ = Describe("rewriteAddresses", func() {
	const text = "# kept\nservers:\n  - {name: a, address: \"127.0.0.1:1\", zone: z} # kept\n  - name: b\n    address: 127.0.0.1:2\n"

	It("replaces addresses by name and keeps the rest", func() {
		got, err := rewriteAddresses(text, map[string]string{"a": "127.0.0.1:11", "b": "127.0.0.1:22"})
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(strings.NewReplacer("127.0.0.1:1", "127.0.0.1:11", "127.0.0.1:2", "127.0.0.1:22").Replace(text)))
	})

	It("refuses a server without a stand-in", func() {
		_, err := rewriteAddresses(text, nil)
		Expect(err).To(MatchError(ContainSubstring("server a")))
	})
})

var _ = Describe("curl", func() {
	It("gives a repeat of a non-idempotent request an idempotency key", func() {
		line := curl(config.Settings{CallerAddress: "127.0.0.1:1"}, config.Service{Name: "printing"}, config.Class{Name: "reprint-order"})
		Expect(line).To(Equal("curl -i -X POST -H 'Guavacrank-Idempotency-Key: try-1' -H 'Guavacrank-Class: reprint-order' http://127.0.0.1:1/v1/printing/key-1"))
	})
})
