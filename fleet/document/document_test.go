package document_test

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"guavacrank.example/fleet/document"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20250601")
	}
	os.Exit(m.Run())
}

// drawEdited draws a random value and an edited copy of it.
func drawEdited(t *rapid.T) (old, changed []byte) {
	old = rapid.SliceOfN(rapid.Byte(), 0, 600).Draw(t, "old")
	changed = bytes.Clone(old)
	for range rapid.IntRange(0, 4).Draw(t, "edits") {
		at := rapid.IntRange(0, len(changed)).Draw(t, "at")
		end := rapid.IntRange(at, len(changed)).Draw(t, "end")
		insert := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "insert")
		changed = append(append(bytes.Clone(changed[:at]), insert...), changed[end:]...)
	}
	return old, changed
}

// TestPatchInvertsDiff checks that applying a delta reproduces the value that
// it was made for.
func TestPatchInvertsDiff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, changed := drawEdited(t)
		patched, err := document.Patch(old, document.Diff(old, changed))
		if err != nil || !bytes.Equal(patched, changed) {
			t.Fatalf("patched %d bytes, want %d: %v", len(patched), len(changed), err)
		}
	})
}

// TestDeltaNeedsItsBase checks that a receiver with another base version or
// value gets an error, which makes it request the full document.
func TestDeltaNeedsItsBase(t *testing.T) {
	base := document.Document{Key: "page/a", Version: 4, Value: []byte(strings.Repeat("unit 1 server 2\n", 200))}
	changed := document.Document{Key: "page/a", Version: 6, Value: append(bytes.Clone(base.Value), "unit 9"...)}
	wire := document.Encode(changed, base)
	if wire.GetBaseVersion() != 4 || len(wire.GetValue()) > 100 {
		t.Fatalf("not a short delta: base %d, %d bytes", wire.GetBaseVersion(), len(wire.GetValue()))
	}
	decoded, err := document.Decode(wire, base)
	if err != nil || !bytes.Equal(decoded.Value, changed.Value) {
		t.Fatalf("decoded: %v", err)
	}
	if _, err := document.Decode(wire, document.Document{Key: "page/a", Version: 3}); !errors.Is(err, document.ErrMissingBase) {
		t.Fatalf("other base: %v", err)
	}
	other := document.Document{Key: "page/a", Version: 4, Value: bytes.Repeat([]byte("x"), len(base.Value))}
	if _, err := document.Decode(wire, other); !errors.Is(err, document.ErrChecksum) {
		t.Fatalf("same version, other value: %v", err)
	}
}

// FuzzPatch checks that Patch returns an error for any invalid delta and never
// panics.
func FuzzPatch(f *testing.F) {
	f.Add([]byte("an old value of some length"), []byte{2, 'a', 9, 3})
	f.Add([]byte(""), []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, old, delta []byte) {
		value, err := document.Patch(old, delta)
		if err != nil && value != nil {
			t.Fatal("Patch returned both a value and an error")
		}
	})
}
