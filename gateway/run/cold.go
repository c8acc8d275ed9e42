package run

import (
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/limit"
	"guavacrank.example/gateway/model"
)

// This file is what a VM knows of servers that are cold. The remaining time in a record
// falls with every read, so that who reads the records keeps that of the first record of a
// cold spell, until it rises or ends: lists between VMs change with those only. Each VM
// counts the time from the arrival of the list, and so ends it too late rather than too
// early.

// coldSpell is the present or last cold time of a server, as of the list in force.
type coldSpell struct {
	begun, end time.Duration
	// read is the remaining time in the record that this VM read last.
	read time.Duration
}

// takesFewWhileCold reports whether a service's servers bear fewer requests while cold.
func (t *serverTable) takesFewWhileCold(service string) bool {
	return t.services[service].WarmUpRate > 0
}

// steadyWarmUps replaces the remaining times in records by those that change only when a
// cold spell begins, is extended or ends. Other services' servers stay as they are.
func (t *serverTable) steadyWarmUps(listed []model.Server) {
	for i := range listed {
		server := &listed[i]
		if row := t.rows[server.Incarnation()]; row != nil && t.takesFewWhileCold(server.Service) {
			read := server.WarmUp
			server.WarmUp = steadyWarmUp(row.WarmUp, row.cold.read, read)
			row.cold.read = read
		}
	}
}

// warmUpStep tells two cold spells of the same length from each other.
const warmUpStep = time.Millisecond

// steadyWarmUp returns the time to list for a server that was listed with another, of whose
// records the one before gave earlier, and the new one gives read. Earlier is zero if this VM
// has not read one.
func steadyWarmUp(listed, earlier, read time.Duration) time.Duration {
	if earlier == 0 {
		earlier = listed
	}
	switch {
	case read <= 0:
		return 0
	case listed > 0 && read <= earlier:
		return listed
	case read == listed:
		return read + warmUpStep
	default:
		return read
	}
}

// announced returns the servers that are not gone, for other VMs.
func (t *serverTable) announced() []model.Server {
	servers := t.present()
	for i := range servers {
		if !t.takesFewWhileCold(servers[i].Service) {
			servers[i].WarmUp = 0 // It falls with every read.
		}
	}
	return servers
}

// setCold records how long a server of the list in force is cold, and reports whether that
// affects request handling.
func (t *serverTable) setCold(now time.Duration, row *serverRow, server model.Server) bool {
	if row.WarmUp == server.WarmUp {
		return false
	}
	wasCold := now < row.cold.end
	if !wasCold {
		row.cold.begun = now
	}
	row.cold.end = now + server.WarmUp
	if !t.takesFewWhileCold(server.Service) {
		return false
	}
	switch {
	case server.WarmUp > 0:
		t.log.Event(event.BackendCold, "", append(t.logFields(server), zap.Duration("warm_up", server.WarmUp))...)
	case row.WarmUp > 0:
		t.log.Event(event.BackendWarm, "", t.logFields(server)...)
	}
	return true
}

// limitCold passes on to request handling how long a server is cold.
func (t *serverTable) limitCold(row *serverRow, configured model.Service) {
	end := row.cold.end
	if configured.WarmUpRate <= 0 {
		end = 0
	}
	bounds := t.settings.Bounds
	row.target.Cold.Set(row.cold.begun, end, limit.ColdBound{
		Rate: configured.WarmUpRate, Overrun: bounds.WarmUpOverrun, Slack: bounds.WarmUpSlack})
}
