package config_test

import (
	"fmt"
	"os"
	"regexp"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/config"
)

// referenceRow is how the operators' reference lists a field of defaults.
func referenceRow(field config.FieldDefinition) string {
	return fmt.Sprintf("| `%s` | %s | %s | %s to %s | %s | %s |", field.Name, field.Kind, field.Text(config.DefaultDefaults()),
		field.Kind.Format(field.Min), field.Kind.Format(field.Max), field.Scopes, field.Meaning)
}

var _ = Describe("docs/operators/configuration.md", func() {
	var page string
	BeforeEach(func() {
		data, err := os.ReadFile("../docs/operators/configuration.md")
		Expect(err).NotTo(HaveOccurred())
		page = string(data)
	})

	It("lists every field of defaults with unit, default and bounds", func() {
		for _, field := range config.Fields() {
			Expect(page).To(ContainSubstring(referenceRow(field)))
		}
	})

	It("names every other field that the parser knows", func() {
		source, err := os.ReadFile("parse.go")
		Expect(err).NotTo(HaveOccurred())
		names := regexp.MustCompile(`\{name: "(\w+)"`).FindAllStringSubmatch(string(source), -1)
		Expect(len(names)).To(BeNumerically(">", 30))
		for _, name := range names {
			Expect(page).To(ContainSubstring("| `" + name[1] + "` |"))
		}
	})
})
