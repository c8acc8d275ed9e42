package edit_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/config"
	"guavacrank.example/config/diff"
	"guavacrank.example/config/edit"
)

func TestEdit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "edit")
}

const block = `# Ünïcode — kept
servers:
  - name: a   # first
    service: s
    address: 127.0.0.1:1
    region: r
    zone: z
    slots: 1
    connections: 1
    checks_grants: true
  - {name: b, service: s, address: "127.0.0.1:2", region: r, zone: z, slots: 1, connections: 1, checks_grants: true, draining: false}
  - {name: c, service: s, address: "127.0.0.1:3", region: r, zone: z, slots: 1, connections: 1, checks_grants: true}
services:
  - name: s
    classes:
      - {name: q, idempotent: true, priority: bulk, deadline: 1s}
`

// changes returns what an edit changed.
func changes(before, after string) []diff.Change {
	old, err := config.ParseConfiguration("before", []byte(before))
	Expect(err).NotTo(HaveOccurred())
	current, err := config.ParseConfiguration("after", []byte(after))
	Expect(err).NotTo(HaveOccurred())
	return diff.Compare(old, current)
}

var _ = Describe("SetDraining", func() {
	for _, server := range []string{"a", "b", "c"} {
		It("changes only server "+server+", there and back", func() {
			drained, err := edit.SetDraining(block, server, true)
			Expect(err).NotTo(HaveOccurred())
			Expect(changes(block, drained)).To(Equal([]diff.Change{
				{Kind: diff.Changed, Entity: "server " + server, Field: "draining", Before: "false", After: "true"},
			}))
			back, err := edit.SetDraining(drained, server, false)
			Expect(err).NotTo(HaveOccurred())
			Expect(changes(block, back)).To(BeEmpty())
			Expect(back).To(ContainSubstring("# first"))
		})
	}
	It("refuses an unknown server and a change without effect", func() {
		_, err := edit.SetDraining(block, "d", true)
		Expect(err).To(MatchError("server d: is not declared"))
		_, err = edit.SetDraining(block, "a", false)
		Expect(err).To(MatchError("server a: draining is false already"))
	})
	It("refuses to drain the last server of a service", func() {
		text := block
		var err error
		for _, server := range []string{"a", "b"} {
			text, err = edit.SetDraining(text, server, true)
			Expect(err).NotTo(HaveOccurred())
		}
		_, err = edit.SetDraining(text, "c", true)
		Expect(err).To(MatchError(ContainSubstring("has no server that is not draining")))
	})
	It("edits every server of the examples", func() {
		files, _ := filepath.Glob("../../examples/[cv]*.yaml")
		Expect(files).To(HaveLen(2))
		for _, file := range files {
			data, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			parsed, err := config.ParseConfiguration(file, data)
			Expect(err).NotTo(HaveOccurred())
			for _, server := range parsed.Servers {
				drained, err := edit.SetDraining(string(data), server.Name, true)
				Expect(err).NotTo(HaveOccurred())
				Expect(changes(string(data), drained)).To(HaveLen(1))
			}
		}
	})
})

var _ = Describe("DeclareLost", func() {
	lost := config.Lost{Kind: config.LostZone, Name: "z", Reason: "fire: \"all\" of it — ü\nticket #7"}
	for name, head := range map[string]string{
		"no list":       "",
		"an empty list": "lost: []\n",
		"a flow list":   "lost: [{kind: vm, name: v, reason: r}]\n",
		"a block list":  "lost:\n  # why\n  - kind: vm\n    name: v\n    reason: r\n",
	} {
		It("adds one entry to "+name, func() {
			edited, err := edit.DeclareLost(head+block, lost)
			Expect(err).NotTo(HaveOccurred())
			changed := changes(head+block, edited)
			Expect(changed).To(HaveLen(1))
			Expect(changed[0].Entity).To(Equal("lost zone z"))
			parsed, err := config.ParseConfiguration("edited", []byte(edited))
			Expect(err).NotTo(HaveOccurred())
			Expect(parsed.Lost).To(ContainElement(lost))
		})
	}
	It("refuses what is declared already", func() {
		once, err := edit.DeclareLost(block, lost)
		Expect(err).NotTo(HaveOccurred())
		_, err = edit.DeclareLost(once, lost)
		Expect(err).To(MatchError(ContainSubstring("already given")))
	})
	It("keeps a text in one flow mapping", func() {
		flow := `{services: [{name: s, classes: [{name: q, idempotent: true, priority: bulk, deadline: 1s}]}], servers: [{name: a, service: s, address: "127.0.0.1:1", region: r, zone: z, slots: 1, connections: 1, checks_grants: true}]}`
		edited, err := edit.DeclareLost(flow, lost)
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Count(edited, "\n")).To(BeZero())
	})
})
