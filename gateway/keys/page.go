package keys

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"guavacrank.example/gateway/model"
	"guavacrank.example/kvstore"
)

// Page is the stored ownership table of one service. Its ranges are sorted and
// cover every key exactly once.
type Page struct {
	// Stamp orders the page among all pages of the service.
	Stamp
	// Fence is the highest fence that the writer may take before its next page. It is
	// above all that were ever taken.
	Fence uint64
	// Writer is the leader that wrote the page.
	Writer Leader
	// Predecessors are the leaders before the writer that may still grant keys.
	Predecessors []Leader
	// WriteID identifies a write among those of one leader.
	WriteID uint64
	// MaxGrantTTL is the longest TTL of any grant ever sent; zero on pages that
	// do not record it.
	MaxGrantTTL time.Duration
	// LostGrants describes the grants of unknown holders; zero without unknown holders.
	LostGrants LostGrants
	// PriorGrantsArriveWithin bounds how long after the writing of the page grants to the
	// prior holders that the page before it names arrive, in milliseconds; zero if unknown.
	PriorGrantsArriveWithin int64
	// EarlierGrantsArriveWithin bounds the same for grants of the leaders before the writer
	// that have stopped, or are stopping, and so are no Predecessors; zero if all have arrived.
	EarlierGrantsArriveWithin int64
	// Fleet is the number of daemons that the writer knew; zero if unknown.
	Fleet int
	// Unfenced lists the keys that servers have lost without being told.
	Unfenced []UnfencedKeys
	Ranges   []Range
}

// Stamp orders the pages of a service by the time of their writing: by the era of the
// store, then by their number. Unlike versions of the store, stamps stay comparable when
// the store is restored from an earlier copy.
type Stamp struct {
	// Era is the store's era in which the page was written.
	Era kvstore.Era `json:"era,omitempty"`
	// Number is greater by one than that of the page that this one replaced.
	Number uint64 `json:"number,omitempty"`
}

// Before reports whether s is earlier than other.
func (s Stamp) Before(other Stamp) bool {
	if s.Era != other.Era {
		return s.Era < other.Era
	}
	return s.Number < other.Number
}

// Leader identifies one process as a leader.
type Leader struct {
	VM string `json:"vm"`
	// Incarnation differs for each start of the process.
	Incarnation string `json:"incarnation"`
	// Address is the IP:port that peers call.
	Address string `json:"address"`
}

// Range is a range of keys, both ends included, and its owner.
type Range struct {
	From  uint16
	To    uint16
	Owner Holder
	// Prior are earlier holders that may still hold the keys. The owner is not
	// granted the keys until all of them have lost them.
	Prior []Holder
}

// Holder is one incarnation of a server that holds keys.
type Holder struct {
	model.Incarnation
	Address string
	// Fence of an owner marks the beginning of its ownership: it is above all earlier
	// fences, and its grants have higher ones. That of a prior holder is the fence of its
	// last grant.
	Fence uint64
}

// unknownHolder stands for all servers that may hold the keys of a range by pages that
// are not known any more.
var unknownHolder = Holder{}

// Contains reports whether the key lies in the range.
func (r Range) Contains(key uint16) bool { return r.From <= key && key <= r.To }

// Size returns the number of keys in the range.
func (r Range) Size() int { return int(r.To) - int(r.From) + 1 }

// Find returns the range that contains a key, or nil for a page without ranges.
func (p *Page) Find(key uint16) *Range {
	at := sort.Search(len(p.Ranges), func(i int) bool { return p.Ranges[i].To >= key })
	if at == len(p.Ranges) {
		return nil
	}
	return &p.Ranges[at]
}

// Moving returns the number of ranges that wait for earlier holders to lose them, and of keys in
// them.
func (p *Page) Moving() (ranges, keys int) {
	for _, r := range p.Ranges {
		if len(r.Prior) > 0 {
			ranges++
			keys += r.Size()
		}
	}
	return ranges, keys
}

// rangeOf returns the range that contains a key, or no range for a page without ranges.
func (p *Page) rangeOf(key uint16) Range {
	if r := p.Find(key); r != nil {
		return *r
	}
	return Range{}
}

// clone returns a deep copy of the page.
func (p *Page) clone() *Page {
	copied := *p
	copied.Predecessors = slices.Clone(p.Predecessors)
	copied.Unfenced = slices.Clone(p.Unfenced)
	copied.Ranges = slices.Clone(p.Ranges)
	for at := range copied.Ranges {
		copied.Ranges[at].Prior = slices.Clone(copied.Ranges[at].Prior)
	}
	return &copied
}

// Check returns an error unless the ranges cover every key exactly once and no
// owner's fence exceeds the page's.
func (p *Page) Check() error {
	next := 0
	for _, r := range p.Ranges {
		if int(r.From) != next || r.To < r.From {
			return fmt.Errorf("ownership page: range %d to %d does not continue at %d", r.From, r.To, next)
		}
		if r.Owner.Fence > p.Fence {
			return fmt.Errorf("ownership page: fence %d of range %d is above the page's %d", r.Owner.Fence, r.From, p.Fence)
		}
		next = int(r.To) + 1
	}
	if next != model.Keys && next != 0 {
		return fmt.Errorf("ownership page: ranges end at %d", next)
	}
	return nil
}
