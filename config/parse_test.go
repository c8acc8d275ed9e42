package config_test

import (
	"bufio"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"guavacrank.example/config"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

// parse reads a file of testdata by the parser of its directory.
func parse(file string) error {
	data, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	if strings.Contains(file, "settings") {
		_, err = config.ParseSettings(file, data)
		return err
	}
	_, err = config.ParseConfiguration(file, data)
	return err
}

// faults returns the *config.Error values that err joins.
func faults(err error) []*config.Error {
	var found []*config.Error
	joined, ok := err.(interface{ Unwrap() []error })
	Expect(ok).To(BeTrue(), "%v", err)
	for _, one := range joined.Unwrap() {
		var fault *config.Error
		Expect(errors.As(one, &fault)).To(BeTrue())
		found = append(found, fault)
	}
	return found
}

// want reads the field and part of the reason from a file's first line.
func want(file string) (field, reason string) {
	opened, err := os.Open(file)
	Expect(err).NotTo(HaveOccurred())
	defer opened.Close()
	scanner := bufio.NewScanner(opened)
	scanner.Scan()
	line, found := strings.CutPrefix(scanner.Text(), "# want: ")
	Expect(found).To(BeTrue())
	field, reason, _ = strings.Cut(line, " | ")
	return field, reason
}

// minimal returns the smallest configuration of testdata, changed.
func minimal(old, replacement string) []byte {
	data, err := os.ReadFile("testdata/good/minimal.yaml")
	Expect(err).NotTo(HaveOccurred())
	return []byte(strings.Replace(string(data), old, replacement, 1))
}

var _ = Describe("Parse", func() {
	good, _ := filepath.Glob("testdata/good*/*.yaml")
	examples, _ := filepath.Glob("../examples/*.yaml")
	for _, file := range append(good, examples...) {
		It("accepts "+file, func() {
			Expect(parse(file)).To(Succeed())
		})
	}
	bad, _ := filepath.Glob("testdata/bad*/*.yaml")
	for _, file := range bad {
		It("rejects "+file, func() {
			field, reason := want(file)
			found := faults(parse(file))
			Expect(found).To(HaveLen(1), "%v", found)
			Expect(found[0].File).To(Equal(file))
			Expect(found[0].Field).To(Equal(field))
			Expect(found[0].Reason).To(ContainSubstring(reason))
		})
	}

	It("reports every fault of a file with its line", func() {
		text := strings.Replace(string(minimal("slots: 6", "slots: 0")), "500ms", "5", 1)
		_, err := config.ParseConfiguration("c.yaml", []byte(text))
		found := faults(err)
		Expect(found).To(HaveLen(2))
		Expect(found[0].Error()).To(HavePrefix("c.yaml:6: services[0].classes[0].deadline: "))
		Expect(found[1].Error()).To(HavePrefix("c.yaml:11: servers[0].slots: "))
	})

	It("rejects a file beyond the size that the store holds", func() {
		data := append(minimal("", ""), []byte("#"+strings.Repeat("x", config.MaxFileBytes))...)
		_, err := config.ParseConfiguration("c.yaml", data)
		Expect(err).To(MatchError(ContainSubstring("more than")))
	})

	It("fills left-out fields from DefaultDefaults and DefaultSettings", func() {
		parsed, err := config.ParseConfiguration("c.yaml", minimal("", ""))
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed.Defaults).To(Equal(config.DefaultDefaults()))
		data, err := os.ReadFile("testdata/goodsettings/minimal.yaml")
		Expect(err).NotTo(HaveOccurred())
		settings, err := config.ParseSettings("s.yaml", data)
		Expect(err).NotTo(HaveOccurred())
		Expect(settings.Limits).To(Equal(config.DefaultSettings().Limits))
	})
})

var _ = Describe("SettingsFor", func() {
	var parsed *config.Configuration
	BeforeEach(func() {
		data, err := os.ReadFile("testdata/good/full.yaml")
		Expect(err).NotTo(HaveOccurred())
		parsed, err = config.ParseConfiguration("full.yaml", data)
		Expect(err).NotTo(HaveOccurred())
	})

	It("applies an exception to what it names and to nothing else", func() {
		Expect(parsed.SettingsFor("catalogue", "reprint", "").MaxAttempts).To(Equal(1))
		Expect(parsed.SettingsFor("catalogue", "lookup", "").MaxAttempts).To(Equal(3))
		Expect(parsed.SettingsFor("", "", "cat-2").QueueLimit).To(Equal(16))
		Expect(parsed.SettingsFor("", "", "cat-2").HoldTime).To(Equal(time.Minute))
		Expect(parsed.SettingsFor("stock", "", "")).To(Equal(parsed.Defaults))
		Expect(parsed.Defaults.HotKeyShare).To(Equal(25))
	})

	It("lists exceptions past their date", func() {
		now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
		expired := parsed.ExpiredExceptions(now)
		Expect(expired).To(HaveLen(1))
		Expect(expired[0].Server).To(Equal("cat-2"))
	})
})

var _ = Describe("Field", func() {
	for _, field := range config.Fields() {
		It("writes and reads "+string(field.Name), func() {
			text := field.Text(config.DefaultDefaults())
			value, err := field.Kind.Parse(text)
			Expect(err).NotTo(HaveOccurred())
			Expect(value).To(Equal(field.Value(config.DefaultDefaults())))
			Expect(value).To(And(BeNumerically(">=", field.Min), BeNumerically("<=", field.Max)))
		})
	}
})

func FuzzParseConfiguration(f *testing.F) {
	files, _ := filepath.Glob("testdata/*/*.yaml")
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, err := config.ParseConfiguration("fuzz.yaml", data)
		if (parsed == nil) == (err == nil) {
			t.Fatalf("configuration %v with error %v", parsed, err)
		}
		if _, err := config.ParseSettings("fuzz.yaml", data); err == nil && parsed != nil {
			t.Fatal("one file is both configuration and settings")
		}
	})
}
