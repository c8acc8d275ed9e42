package ownership

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// pageRecord is the JSON form of a page in the store. A unit is an array of
// numbers and owners are indexes into Servers, so that a shard takes few bytes.
type pageRecord struct {
	Service   string           `json:"service"`
	ChangeID  string           `json:"change_id"`
	ChangedBy string           `json:"changed_by"`
	Cause     string           `json:"cause"`
	Shards    uint32           `json:"shards"`
	NextUnit  UnitID           `json:"next_unit"`
	LastTerm  Term             `json:"last_term,omitempty"`
	Servers   []serverRecord   `json:"servers"`
	Units     [][]uint64       `json:"units"`
	Overrides []overrideRecord `json:"overrides,omitempty"`
}

type serverRecord struct {
	Name           string   `json:"name"`
	Term           Term     `json:"term"`
	Grantor        string   `json:"grantor,omitempty"`
	FormerGrantors []string `json:"former,omitempty"`
	Down           bool     `json:"down,omitempty"`
}

type overrideRecord struct {
	Key      string `json:"key"`
	Unit     UnitID `json:"unit"`
	Declared bool   `json:"declared,omitempty"`
}

// Lengths of a unit's array: ID, owner and epoch, followed by the previous
// owner while that server has not stopped.
const (
	unitLength             = 3
	unitLengthWithPrevious = 4
)

// Encode checks the page and returns its compact JSON form.
func Encode(page *Page) ([]byte, error) {
	if err := page.Check(); err != nil {
		return nil, err
	}
	record := pageRecord{
		Service: page.Service, ChangeID: page.ChangeID, ChangedBy: page.ChangedBy, Cause: page.Cause,
		Shards: page.Shards, NextUnit: page.NextUnit, LastTerm: page.LastTerm,
		Units: make([][]uint64, len(page.Units)),
	}
	for _, server := range page.Servers {
		record.Servers = append(record.Servers, serverRecord(server))
	}
	for i, unit := range page.Units {
		owner, _ := page.serverIndex(unit.Owner)
		numbers := []uint64{uint64(unit.ID), uint64(owner), uint64(unit.Epoch)}
		if unit.Previous != "" {
			previous, _ := page.serverIndex(unit.Previous)
			numbers = append(numbers, uint64(previous))
		}
		record.Units[i] = numbers
	}
	for _, override := range page.Overrides {
		record.Overrides = append(record.Overrides, overrideRecord(override))
	}
	return json.Marshal(&record)
}

// Decode parses the JSON form of a page. It returns an *Error for an unknown
// field, trailing bytes or a page that Check rejects.
func Decode(value []byte) (Page, error) {
	var record pageRecord
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	page := Page{}
	if err := decoder.Decode(&record); err != nil {
		return Page{}, pageError(&page, "json", "%v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Page{}, pageError(&page, "json", "bytes follow the page")
	}
	page = Page{
		Service: record.Service, ChangeID: record.ChangeID, ChangedBy: record.ChangedBy, Cause: record.Cause,
		Shards: record.Shards, NextUnit: record.NextUnit, LastTerm: record.LastTerm,
		Units: make([]Unit, len(record.Units)),
	}
	for _, server := range record.Servers {
		page.Servers = append(page.Servers, Server(server))
	}
	for i, numbers := range record.Units {
		unit, err := decodeUnit(&page, numbers)
		if err != nil {
			return Page{}, err
		}
		page.Units[i] = unit
	}
	for _, override := range record.Overrides {
		page.Overrides = append(page.Overrides, Override(override))
	}
	if err := page.Check(); err != nil {
		return Page{}, err
	}
	return page, nil
}

func decodeUnit(page *Page, numbers []uint64) (Unit, error) {
	if len(numbers) != unitLength && len(numbers) != unitLengthWithPrevious {
		return Unit{}, pageError(page, "units", "an entry has %d numbers", len(numbers))
	}
	serverCount := uint64(len(page.Servers))
	if numbers[0] > uint64(^UnitID(0)) || numbers[1] >= serverCount {
		return Unit{}, pageError(page, "units", "entry %v is out of range", numbers)
	}
	unit := Unit{ID: UnitID(numbers[0]), Owner: page.Servers[numbers[1]].Name, Epoch: Epoch(numbers[2])}
	if len(numbers) == unitLength {
		return unit, nil
	}
	if numbers[unitLength] >= serverCount {
		return Unit{}, pageError(page, "units", "entry %v is out of range", numbers)
	}
	unit.Previous = page.Servers[numbers[unitLength]].Name
	return unit, nil
}
