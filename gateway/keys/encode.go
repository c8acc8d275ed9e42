package keys

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"guavacrank.example/gateway/model"
)

// storedPage is the stored form of a page. Every VM reads every version of it, so
// it is compact: each server is listed once, and ranges are rows of numbers.
type storedPage struct {
	Stamp
	Fence             uint64         `json:"fence"`
	Writer            Leader         `json:"writer"`
	Predecessors      []Leader       `json:"earlier,omitempty"`
	WriteID           uint64         `json:"draft"`
	MaxGrantTTLMillis int64          `json:"longest_hold,omitempty"` // In milliseconds.
	LostGrants        LostGrants     `json:"lost_grants,omitzero"`
	PriorGrants       int64          `json:"prior_grants_arrive_within,omitempty"`
	EarlierGrants     int64          `json:"earlier_grants_arrive_within,omitempty"`
	Fleet             int            `json:"fleet,omitempty"`
	Servers           []storedServer `json:"servers"`
	// Unfenced holds for each entry the server's index and the first and the last key.
	Unfenced [][3]uint64 `json:"unfenced,omitempty"`
	// Ranges holds one row for each range: the first key, then for the owner and
	// each prior holder its index in Servers and its fence. A range ends before
	// the first key of the next row.
	Ranges [][]uint64 `json:"ranges"`
}

type storedServer struct {
	model.Incarnation
	Address string `json:"address"`
}

// Encode returns the stored form of the page.
func (p *Page) Encode() ([]byte, error) {
	stored := p.head()
	for _, r := range p.Ranges {
		stored.Ranges = append(stored.Ranges, append([]uint64{uint64(r.From)}, stored.holders(r)...))
	}
	return json.Marshal(stored)
}

// head returns the stored form without ranges.
func (p *Page) head() *storedPage {
	stored := &storedPage{Stamp: p.Stamp, Fence: p.Fence, Writer: p.Writer, Predecessors: p.Predecessors, WriteID: p.WriteID, MaxGrantTTLMillis: p.MaxGrantTTL.Milliseconds(), LostGrants: p.LostGrants, PriorGrants: p.PriorGrantsArriveWithin, EarlierGrants: p.EarlierGrantsArriveWithin, Fleet: p.Fleet}
	for _, u := range p.Unfenced {
		server := stored.index(Holder{Incarnation: u.Incarnation, Address: u.Address})
		stored.Unfenced = append(stored.Unfenced, [3]uint64{server, uint64(u.From), uint64(u.To)})
	}
	return stored
}

// page returns the decoded page without ranges.
func (s *storedPage) page() (Page, error) {
	page := Page{Stamp: s.Stamp, Fence: s.Fence, Writer: s.Writer, Predecessors: s.Predecessors, WriteID: s.WriteID, MaxGrantTTL: time.Duration(s.MaxGrantTTLMillis) * time.Millisecond, LostGrants: s.LostGrants, PriorGrantsArriveWithin: s.PriorGrants, EarlierGrantsArriveWithin: s.EarlierGrants, Fleet: s.Fleet}
	for at, row := range s.Unfenced {
		if row[0] >= uint64(len(s.Servers)) || row[1] > row[2] || row[2] >= model.Keys {
			return Page{}, fmt.Errorf("unfenced keys %d: %w", at, errUnfenced)
		}
		server := s.Servers[row[0]]
		page.Unfenced = append(page.Unfenced, UnfencedKeys{server.Incarnation, server.Address, uint16(row[1]), uint16(row[2])})
	}
	return page, nil
}

// holders returns the part of a row that lists the owner and the prior holders.
func (s *storedPage) holders(r Range) []uint64 {
	row := []uint64{s.index(r.Owner), r.Owner.Fence}
	for _, prior := range r.Prior {
		row = append(row, s.index(prior), prior.Fence)
	}
	return row
}

// index returns a holder's index in Servers, adding the server if it is missing.
func (s *storedPage) index(holder Holder) uint64 {
	server := storedServer{holder.Incarnation, holder.Address}
	at := slices.Index(s.Servers, server)
	if at < 0 {
		at = len(s.Servers)
		s.Servers = append(s.Servers, server)
	}
	return uint64(at)
}

// errUnfenced reports malformed unfenced keys of a stored page.
var errUnfenced = errors.New("not a server, a first and a last key")

// errRow reports a malformed row of a stored page.
var errRow = errors.New("a row is not a first key followed by pairs of a server and a fence")

// Decode decodes and validates a stored page.
func Decode(value []byte) (*Page, error) {
	var stored storedPage
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, fmt.Errorf("ownership page: %w", err)
	}
	page, err := stored.page()
	if err != nil {
		return nil, fmt.Errorf("ownership page: %w", err)
	}
	for at, row := range stored.Ranges {
		end := uint64(model.Keys)
		if at+1 < len(stored.Ranges) && len(stored.Ranges[at+1]) > 0 {
			end = stored.Ranges[at+1][0]
		}
		r, err := stored.decodeRange(row, end)
		if err != nil {
			return nil, fmt.Errorf("ownership page: range %d: %w", at, err)
		}
		page.Ranges = append(page.Ranges, r)
	}
	return &page, page.Check()
}

// decodeRange decodes one row; end is the first key after the range.
func (s *storedPage) decodeRange(row []uint64, end uint64) (Range, error) {
	if len(row) < 3 || len(row)%2 == 0 || row[0] >= end || end > model.Keys {
		return Range{}, errRow
	}
	r := Range{From: uint16(row[0]), To: uint16(end - 1)}
	for at := 1; at < len(row); at += 2 {
		if row[at] >= uint64(len(s.Servers)) {
			return Range{}, errRow
		}
		server := s.Servers[row[at]]
		holder := Holder{Incarnation: server.Incarnation, Address: server.Address, Fence: row[at+1]}
		if at == 1 {
			r.Owner = holder
			continue
		}
		r.Prior = append(r.Prior, holder)
	}
	return r, nil
}
