package command_test

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/cmd/internal/command"
	"guavacrank.example/gateway/explore"
)

var _ = Describe("guavacrankctl explore", func() {
	It("prints its result as JSON and its progress on standard error", func() {
		r := run("", "explore", "-faults", "1", "-output", "json")
		Expect(r.status).To(Equal(command.Done), r.err)
		Expect(r.err).To(ContainSubstring("states"))
		var result explore.Result
		Expect(json.Unmarshal([]byte(r.out), &result)).To(Succeed())
		Expect(result.Verdict).To(Equal(explore.Explored))
		Expect(result.States).To(BeNumerically(">", 100))
	})

	It("exits with 2 and the name of the flag on bad bounds", func() {
		for flag, value := range map[string]string{
			"-vms": "0", "-servers": "9", "-daemons": "31", "-faults": "-1", "-share": "0", "-depth": "0s", "-states": "0",
			"-memory": "0", "-for": "-1s", "-rules": "owners", "-seed": "x",
		} {
			r := run("", "explore", flag, value)
			Expect(r.status).To(Equal(command.BadUse), flag)
			Expect(r.err).To(ContainSubstring(flag))
		}
	})

	It("plays a schedule", func() {
		file := filepath.Join(GinkgoT().TempDir(), "quiet.txt")
		Expect(os.WriteFile(file, []byte("vms 2\nservers 2\nrule holders\n2 unlist 0\n9 end\n"), 0o600)).To(Succeed())
		r := run("", "explore", "-play", file)
		Expect(r.status).To(Equal(command.Done), r.err)
		Expect(r.out).To(ContainSubstring("unlist 0: i-1/1"))
	})

	It("exits with 1 and writes the schedule if a rule is broken", func() {
		bounds := explore.DefaultBounds()
		bounds.Servers, bounds.Rules = 1, []explore.Rule{explore.Lives}
		result, err := explore.Explore(context.Background(), bounds, nil)
		Expect(err).NotTo(HaveOccurred())
		file := filepath.Join(GinkgoT().TempDir(), "broken.txt")
		r := run("", "explore", "-servers", "1", "-rules", "lives", "-schedule", file)
		if result.Violation == nil {
			Expect(r.status).To(Equal(command.Done), r.err)
			return
		}
		Expect(r.status).To(Equal(command.Failed), r.err)
		Expect(r.err).To(ContainSubstring("a schedule breaks a rule"))
		again := run("", "explore", "-play", file)
		Expect(again.status).To(Equal(command.Failed), again.err)
		written, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(again.out).To(Equal(string(written)))
	})

	It("exits with 2 and the line on a damaged schedule", func() {
		file := filepath.Join(GinkgoT().TempDir(), "damaged.txt")
		Expect(os.WriteFile(file, []byte("vms 2\nservers 2\n1 vanish 0\n"), 0o600)).To(Succeed())
		r := run("", "explore", "-play", file)
		Expect(r.status).To(Equal(command.BadUse))
		Expect(r.err).To(ContainSubstring(`schedule, line 3: "vanish" is no event`))
	})
})
