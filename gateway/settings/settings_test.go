package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"guavacrank.example/gateway/model"
	"guavacrank.example/gateway/settings"
)

func parse(t *testing.T, name string, decode settings.DecodeBounds) (*model.Settings, error) {
	t.Helper()
	file := filepath.Join("testdata", name)
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return settings.Parse(file, text, decode)
}

func noBounds(map[string]any) (model.Bounds, error) { return model.Bounds{}, nil }

func TestParse(t *testing.T) {
	t.Run("parses a valid file", func(t *testing.T) {
		g := NewWithT(t)
		var decoded map[string]any
		parsed, err := parse(t, "good.yaml", func(values map[string]any) (model.Bounds, error) {
			decoded = values
			return model.Bounds{GracePeriod: time.Second}, nil
		})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(decoded).To(Equal(map[string]any{"x": 1}))
		g.Expect(parsed.Bounds).To(Equal(model.Bounds{GracePeriod: time.Second, MinLeaseTTL: time.Second}))
		g.Expect(parsed.MemoryBytes).To(Equal(int64(284 << 20)))
		g.Expect(parsed.Region("zb")).To(Equal("rb"))
	})

	t.Run("reports every invalid field", func(t *testing.T) {
		_, err := parse(t, "bad.yaml", func(map[string]any) (model.Bounds, error) { return model.Bounds{}, errors.New("bad bound") })
		for _, want := range []string{"bad.yaml", "vm: is missing", `zone "zc"`, "listen.callers", "store:", "memory_mb", "lease_least_ms", "bad bound"} {
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(want)))
		}
	})

	t.Run("reports the line of an unknown field", func(t *testing.T) {
		_, err := parse(t, "unknown.yaml", noBounds)
		NewWithT(t).Expect(err).To(MatchError(And(ContainSubstring("line 2"), ContainSubstring("color"))))
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("vm: a\nbounds: {x: 1}\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		parsed, err := settings.Parse("f", text, noBounds)
		if err == nil && (parsed.VM == "" || parsed.MemoryBytes <= 0) {
			t.Fatalf("Parse accepted settings without a VM name or memory limit: %+v", parsed)
		}
	})
}
