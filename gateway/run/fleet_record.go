package run

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/succession"
	"guavacrank.example/kvstore"
)

// This file reads and writes the fleet record, by which leaders count majorities
// (succession.Fleet). docs/design/fleet-record.md gives the reasons.

// fleetRecord is the value of fleetKey.
type fleetRecord struct {
	// Era is the store's era in which the record was written.
	Era kvstore.Era `json:"era"`
	// Daemons are the addresses of the recorded daemons.
	Daemons []string `json:"daemons"`
}

// decodeFleetRecord decodes the value of fleetKey.
func decodeFleetRecord(value []byte) (fleetRecord, error) {
	var record fleetRecord
	if err := json.Unmarshal(value, &record); err != nil {
		return fleetRecord{}, fmt.Errorf("fleet record: %w", err)
	}
	if len(record.Daemons) == 0 || len(record.Daemons) > maxVMs {
		return fleetRecord{}, fmt.Errorf("fleet record: daemons: %d, must be 1 to %d", len(record.Daemons), maxVMs)
	}
	slices.Sort(record.Daemons)
	return record, nil
}

// fleetRead is the result of reading the fleet record in a term.
type fleetRead struct {
	term  kvstore.Position
	entry kvstore.Entry
	err   error
}

// fleetWritten is the result of writing it.
type fleetWritten struct {
	term     kvstore.Position
	daemons  []string
	position kvstore.Position
	err      error
}

// keepFleetRecord starts the call that the fleet record needs, if any.
func (l *loop) keepFleetRecord(now time.Duration, inContact bool) {
	mayWrite := inContact && l.settled(now) && l.predecessorsEnded()
	read, write := l.fleet.Ready(now, mayWrite, l.reporters)
	term := l.term
	if read {
		go func() {
			entry, err := l.store.Get(l.ctx, fleetKey)
			l.deliver(fleetRead{term, entry, err})
		}()
	}
	if write != nil {
		go func() {
			position, err := l.writeFleet(term.Era, *write)
			l.deliver(fleetWritten{term, write.Daemons, position, err})
		}()
	}
}

func (l *loop) writeFleet(era kvstore.Era, write succession.RecordWrite) (kvstore.Position, error) {
	value, err := json.Marshal(fleetRecord{Era: era, Daemons: write.Daemons})
	if err != nil {
		return kvstore.Position{}, &kvstore.Error{Op: "encode", Key: fleetKey, Kind: kvstore.KindInvalid, Err: err}
	}
	return l.store.CompareAndSwap(l.ctx, fleetKey, write.Expected, value, 0)
}

// predecessorsEnded reports whether all pages are known and their earlier leaders have ended,
// so that none counts by the record any more.
func (l *loop) predecessorsEnded() bool {
	for _, machine := range l.machines {
		if machine.Page() == nil {
			return false
		}
	}
	return len(l.machines) > 0 && !l.awaitsPredecessors() && l.term.Era == l.era
}

func (f fleetRead) apply(l *loop) {
	if f.term != l.term {
		return
	}
	var failure *kvstore.Error
	switch {
	case errors.As(f.err, &failure) && failure.Kind == kvstore.KindNotFound:
		l.fleet.StepRead(nil, 0, 0)
		return
	case f.err != nil:
		l.log.Event(event.GatewayStoreLost, f.err.Error(), zap.String("calls", "fleet record"))
		l.fleet.StepFailed()
		return
	case f.entry.Era != f.term.Era:
		l.fleet.StepFailed() // The store was restored since the election, which ends this term.
		return
	}
	record, err := decodeFleetRecord(f.entry.Value)
	if err != nil {
		l.ignoreRecord(f.entry, err) // It is written anew.
	}
	l.fleet.StepRead(record.Daemons, f.entry.Version, record.Era)
}

func (f fleetWritten) apply(l *loop) {
	if f.term != l.term {
		return
	}
	if f.err != nil {
		l.log.Event(event.FleetNotRecorded, f.err.Error(), zap.Int("daemons", len(f.daemons)))
		l.fleet.StepFailed()
		return
	}
	l.log.Event(event.FleetRecorded, "", zap.Int("daemons", len(f.daemons)))
	l.fleet.StepWritten(l.clock(), f.daemons, f.position.Version, l.term.Era)
}
