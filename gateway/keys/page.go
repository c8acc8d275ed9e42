package keys

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"guavacrank.example/gateway/model"
)

// Page is the record of who owns the keys of one service. Its ranges are
// sorted and cover every key once.
type Page struct {
	// Fence is the highest fence that any range ever had.
	Fence uint64
	// Writer is the leader that wrote the page.
	Writer Leader
	// Predecessors are leaders before the writer that may still grant keys.
	Predecessors []Leader
	// WriteID tells the writes of one leader apart.
	WriteID uint64
	// MaxGrantTTL is the longest hold of any grant that was ever sent; zero on pages that
	// do not say so.
	MaxGrantTTL time.Duration
	Ranges      []Range
}

// Leader identifies one process that leads.
type Leader struct {
	VM string `json:"vm"`
	// Incarnation differs for each start of the process.
	Incarnation string `json:"incarnation"`
	// Address is the IP:port for peers.
	Address string `json:"address"`
}

// Range is a range of keys, both ends included, with its owner.
type Range struct {
	From  uint16
	To    uint16
	Owner Holder
	// Prior are earlier holders that may still hold the keys. The owner is not
	// granted the keys before they have ended.
	Prior []Holder
}

// Holder is one life of a server with the fence of its grant.
type Holder struct {
	model.Life
	Address string
	Fence   uint64
}

// Contains says whether the key lies in the range.
func (r Range) Contains(key uint16) bool { return r.From <= key && key <= r.To }

// Size returns the number of keys.
func (r Range) Size() int { return int(r.To) - int(r.From) + 1 }

// Find returns the range of a key, or nil for a page without ranges.
func (p *Page) Find(key uint16) *Range {
	at := sort.Search(len(p.Ranges), func(i int) bool { return p.Ranges[i].To >= key })
	if at == len(p.Ranges) {
		return nil
	}
	return &p.Ranges[at]
}

// clone returns a deep copy.
func (p *Page) clone() *Page {
	copied := *p
	copied.Predecessors = slices.Clone(p.Predecessors)
	copied.Ranges = slices.Clone(p.Ranges)
	for at := range copied.Ranges {
		copied.Ranges[at].Prior = slices.Clone(copied.Ranges[at].Prior)
	}
	return &copied
}

// Check returns an error unless the ranges cover every key once and no fence
// exceeds the page's.
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
