package event_test

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/event"
)

var update = flag.Bool("update", false, "generate docs/EVENTS.md from the catalogue")

const page = "../docs/EVENTS.md"

func TestEvent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "event")
}

// areas lists the areas with their ranges of numbers.
var areas = []struct {
	name        string
	first, last event.Number
}{
	{"Control", 100, 199},
	{"Traffic", 200, 299},
	{"Fleet", 300, 399},
	{"Configuration and operators", 400, 499},
	{"Platform", 500, 599},
	{"Daemon life cycle", 600, 699},
	{"Gateway", 700, 799},
}

// generate returns the text of docs/EVENTS.md.
func generate() string {
	var text strings.Builder
	text.WriteString("# Events\n\n")
	text.WriteString("Every log line on which an operator may act has a number whose meaning never\n")
	text.WriteString("changes. `guavacrankctl events` prints a daemon's newest events; each has a\n")
	text.WriteString("cause and fields such as the server's name. This page is generated from the\n")
	text.WriteString("catalogue by `go test ./event -update`.\n")
	for _, area := range areas {
		fmt.Fprintf(&text, "\n## %s (%d-%d)\n\n", area.name, area.first, area.last)
		text.WriteString("| number | name | level | meaning |\n|---|---|---|---|\n")
		for _, definition := range event.Catalogue() {
			if definition.Number >= area.first && definition.Number <= area.last {
				fmt.Fprintf(&text, "| %d | %s | %s | %s |\n", definition.Number, definition.Name, definition.Level, definition.Meaning)
			}
		}
	}
	return text.String()
}

var _ = Describe("Catalogue", func() {
	It("matches docs/EVENTS.md (go test ./event -update generates it)", func() {
		if *update {
			Expect(os.WriteFile(page, []byte(generate()), 0o644)).To(Succeed())
		}
		written, err := os.ReadFile(page)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(written)).To(Equal(generate()))
	})

	It("has unique names and ascending numbers within the areas, and a full sentence as each meaning", func() {
		names := make(map[string]bool)
		last := event.Number(0)
		for _, definition := range event.Catalogue() {
			Expect(definition.Number).To(BeNumerically(">", last))
			Expect(names).NotTo(HaveKey(definition.Name))
			Expect(definition.Number).To(And(BeNumerically(">=", areas[0].first), BeNumerically("<=", areas[len(areas)-1].last)))
			Expect(definition.Name).To(MatchRegexp(`^[a-z]+(-[a-z]+)*$`))
			Expect(definition.Meaning).To(MatchRegexp(`^[A-Z][^\n|]*\.$`))
			names[definition.Name] = true
			last = definition.Number
		}
	})

	It("defines every declared number", func() {
		pattern := regexp.MustCompile(`(?m)^\t\w+\s+Number = (\d+)$`)
		files, err := os.ReadDir(".")
		Expect(err).NotTo(HaveOccurred())
		constants := 0
		for _, file := range files {
			if !strings.HasSuffix(file.Name(), ".go") || strings.HasSuffix(file.Name(), "_test.go") {
				continue
			}
			source, err := os.ReadFile(file.Name())
			Expect(err).NotTo(HaveOccurred())
			constants += len(pattern.FindAllString(string(source), -1))
		}
		Expect(constants).To(Equal(len(event.Catalogue())))
	})
})
