package event_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// sources returns the concatenated text of all Go files below a directory,
// without tests, hidden directories and skipped paths.
func sources(root string, skip func(path string) bool) string {
	var text strings.Builder
	Expect(filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && strings.HasPrefix(entry.Name(), ".") && path != root {
			return filepath.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || skip(path) {
			return nil
		}
		source, err := os.ReadFile(path)
		text.Write(source)
		return err
	})).To(Succeed())
	return text.String()
}

var _ = Describe("Numbers", func() {
	It("are all used outside this package", func() {
		declared := regexp.MustCompile(`(?m)^\t(\w+) +Number = \d+`)
		used := sources("..", func(path string) bool { return strings.HasPrefix(path, "../event/") })
		var unused []string
		for _, match := range declared.FindAllStringSubmatch(sources(".", func(string) bool { return false }), -1) {
			if !regexp.MustCompile(`\bevent\.` + match[1] + `\b`).MatchString(used) {
				unused = append(unused, match[1])
			}
		}
		Expect(unused).To(BeEmpty())
	})
})
