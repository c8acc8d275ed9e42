package ownership_test

import (
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"guavacrank.example/control/ownership"
)

func samplePage(t testing.TB) ownership.Page {
	servers := []ownership.Server{{Name: "a", Term: 3, Grantor: "vm1", FormerGrantors: []string{"vm2"}}, {Name: "b", Term: 1, Down: true}}
	page, err := ownership.New("recipes", servers, []string{"a", "b", "a"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := page.Isolate("miso", true); err != nil {
		t.Fatal(err)
	}
	if err := page.Move(1, "a"); err != nil {
		t.Fatal(err)
	}
	return page
}

func TestDecodeRejectsInvalidPages(t *testing.T) {
	page := samplePage(t)
	encoded, err := ownership.Encode(&page)
	if err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string][2]string{
		"unknown field":     {`"service"`, `"colour":1,"service"`},
		"unknown owner":     {`[1,0,3,1]`, `[1,7,3,1]`},
		"zero epoch":        {`[1,0,3,1]`, `[1,0,0,1]`},
		"short unit":        {`[1,0,3,1]`, `[1,0]`},
		"previous is owner": {`[1,0,3,1]`, `[1,0,3,0]`},
		"zero term":         {`"term":3`, `"term":0`},
		"repeated server":   {`"name":"b"`, `"name":"a"`},
		"shard as override": {`"unit":3`, `"unit":0`},
		"fewer shards":      {`"shards":3`, `"shards":2`},
		"low next unit":     {`"next_unit":4`, `"next_unit":3`},
		"trailing bytes":    {`"overrides":[{"key":"miso","unit":3,"declared":true}]}`, `"overrides":[{"key":"miso","unit":3,"declared":true}]}{}`},
	} {
		t.Run(name, func(t *testing.T) {
			invalid := strings.Replace(string(encoded), change[0], change[1], 1)
			if invalid == string(encoded) {
				t.Fatalf("%q is not in %s", change[0], encoded)
			}
			var pageErr *ownership.Error
			if _, err := ownership.Decode([]byte(invalid)); !errors.As(err, &pageErr) {
				t.Fatalf("got %v", err)
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	page := samplePage(f)
	encoded, err := ownership.Encode(&page)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Add([]byte(`{"service":"a","shards":1,"units":[[0,0,1]]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		page, err := ownership.Decode(value)
		if err != nil {
			return
		}
		reencoded, err := ownership.Encode(&page)
		if err != nil {
			t.Fatalf("a decoded page could not be encoded: %v", err)
		}
		if _, err := ownership.Decode(reencoded); err != nil {
			t.Fatalf("an encoded page could not be decoded: %v", err)
		}
	})
}

// TestTransitions applies random changes. Each must produce a valid successor
// that can be encoded and decoded.
func TestTransitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		keys := []string{"k1", "k2", "k3", "k4"}
		page, err := ownership.New("recipes", []ownership.Server{{Name: "a", Term: 1}, {Name: "b", Term: 1}}, []string{"a", "b", "a", "b"})
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			next := page.Clone()
			unit := next.Units[rapid.IntRange(0, len(next.Units)-1).Draw(t, "unit")].ID
			name := rapid.SampledFrom(names).Draw(t, "server")
			key := rapid.SampledFrom(keys).Draw(t, "key")
			changes := []func() error{
				func() error { return next.Move(unit, name) },
				func() error { return next.Reassign(unit, name) },
				func() error { next.Unit(unit).Previous = ""; return nil },
				func() error { _, err := next.Isolate(key, false); return err },
				func() error { return next.Merge(key) },
				func() error { return next.AddServer(name, "vm") },
				func() error { return next.RemoveServer(name) },
				func() error { return next.TakeTerm(name, "vm"+key, 0) },
			}
			if err := rapid.SampledFrom(changes).Draw(t, "change")(); err != nil {
				continue
			}
			if err := page.CheckSuccessor(&next); err != nil {
				t.Fatal(err)
			}
			value, err := ownership.Encode(&next)
			if err != nil {
				t.Fatal(err)
			}
			if page, err = ownership.Decode(value); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func TestCheckSuccessorRejectsInvalidChanges(t *testing.T) {
	page := samplePage(t)
	for name, change := range map[string]func(*ownership.Page){
		"epoch":     func(p *ownership.Page) { p.Units[0].Epoch = 0 },
		"owner":     func(p *ownership.Page) { p.Units[2].Owner = "b" },
		"term":      func(p *ownership.Page) { p.Servers[0].Term = 2 },
		"grantor":   func(p *ownership.Page) { p.Servers[0].Grantor = "vm9" },
		"shards":    func(p *ownership.Page) { p.Shards = 2 },
		"next unit": func(p *ownership.Page) { p.NextUnit = 1 },
	} {
		next := page.Clone()
		change(&next)
		if page.CheckSuccessor(&next) == nil {
			t.Errorf("%s: no fault found", name)
		}
	}
}
