package keys

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"

	"guavacrank.example/gateway/model"
)

// Change is the difference between two consecutive pages.
type Change struct {
	// Head is the next page without its ranges.
	Head Page
	// Ranges are the ranges of the next page that the earlier page lacks.
	Ranges []Range
}

// Diff returns the change that turns page into next.
func Diff(page, next *Page) Change {
	change := Change{Head: *next}
	change.Head.Ranges = nil
	for _, r := range next.Ranges {
		at := sort.Search(len(page.Ranges), func(i int) bool { return page.Ranges[i].From >= r.From })
		if at == len(page.Ranges) || !page.Ranges[at].equal(r) {
			change.Ranges = append(change.Ranges, r)
		}
	}
	return change
}

func (r Range) equal(other Range) bool {
	return r.From == other.From && r.To == other.To && r.Owner == other.Owner && slices.Equal(r.Prior, other.Prior)
}

// Apply returns the page after the change, or an error if the change does not
// fit the page.
func (c Change) Apply(page *Page) (*Page, error) {
	next := c.Head
	next.Ranges = slices.Clone(c.Ranges)
	at := 0
	for _, r := range page.Ranges {
		for at < len(c.Ranges) && c.Ranges[at].To < r.From {
			at++
		}
		if at == len(c.Ranges) || c.Ranges[at].From > r.To {
			next.Ranges = append(next.Ranges, r)
		}
	}
	sort.Slice(next.Ranges, func(i, j int) bool { return next.Ranges[i].From < next.Ranges[j].From })
	return &next, next.Check()
}

// Encode returns the wire form of the change: a page whose rows start with the
// first and the last key of a range.
func (c Change) Encode() ([]byte, error) {
	stored := c.Head.head()
	for _, r := range c.Ranges {
		stored.Ranges = append(stored.Ranges, append([]uint64{uint64(r.From), uint64(r.To)}, stored.holders(r)...))
	}
	return json.Marshal(stored)
}

// DecodeChange decodes the wire form of a change.
func DecodeChange(value []byte) (Change, error) {
	var stored storedPage
	if err := json.Unmarshal(value, &stored); err != nil {
		return Change{}, fmt.Errorf("ownership change: %w", err)
	}
	head, err := stored.page()
	if err != nil {
		return Change{}, fmt.Errorf("ownership change: %w", err)
	}
	change := Change{Head: head}
	for at, row := range stored.Ranges {
		if len(row) < 2 || row[1] >= model.Keys {
			return Change{}, fmt.Errorf("ownership change: range %d: %w", at, errRow)
		}
		r, err := stored.decodeRange(slices.Delete(slices.Clone(row), 1, 2), row[1]+1)
		if err != nil {
			return Change{}, fmt.Errorf("ownership change: range %d: %w", at, err)
		}
		change.Ranges = append(change.Ranges, r)
	}
	return change, nil
}
