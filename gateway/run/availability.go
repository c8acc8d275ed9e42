package run

import (
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/availability"
	"guavacrank.example/gateway/keys"
	"guavacrank.example/gateway/model"
)

// noteAvailability logs what servers have said of their availability since the last call,
// and reports a leaving owner of keys without delay.
func (l *loop) noteAvailability(now time.Duration) {
	for _, news := range l.servers.availability.TakeNews(now) {
		l.logAvailability(now, news)
		if news.Kind == availability.LeavingBegun && l.mayOwnKeys(news.Incarnation) {
			l.reportSoon()
		}
	}
}

// availabilityEvents are the events of the kinds of news.
var availabilityEvents = map[availability.Kind]event.Number{
	availability.LeavingBegun:     event.BackendSaidLeaving,
	availability.LeavingForgotten: event.BackendLeavingForgotten,
	availability.BackoffBegun:     event.BackendBackoffBegun,
	availability.BackoffEnded:     event.BackendBackoffEnded,
	availability.BackoffInvalid:   event.RetryAfterIgnored,
}

func (l *loop) logAvailability(now time.Duration, news availability.News) {
	fields := []zap.Field{zap.String("server", news.Incarnation.ID), zap.Int64("born", news.Incarnation.Born)}
	if news.Kind == availability.BackoffBegun {
		fields = append(fields, zap.Duration("left", news.Until-now))
	}
	l.log.Event(availabilityEvents[news.Kind], news.Text, fields...)
}

// mayOwnKeys says whether a server is one of a partitioned service.
func (l *loop) mayOwnKeys(incarnation model.Incarnation) bool {
	row := l.servers.rows[incarnation]
	return row != nil && l.configuration != nil && l.configuration.Services[row.Service].Partitioned
}

// reportSoon brings the next report forward, unless the reports of the fleet are so many
// that another VM reports soon.
func (l *loop) reportSoon() {
	if l.reportInterval() == minReportInterval {
		l.scheduleReport()
	}
}

// leavingServers returns the listed servers that are known to be leaving.
func (l *loop) leavingServers() []model.Incarnation {
	var listed []model.Incarnation
	for _, incarnation := range l.servers.availability.Leaving() {
		if row := l.servers.rows[incarnation]; row != nil && !row.gone {
			listed = append(listed, incarnation)
		}
	}
	return listed
}

// applyLeaving has the leader move the keys of servers that a daemon reports to be
// leaving.
func (l *loop) applyLeaving(now time.Duration, leaving []model.Incarnation) {
	changed := false
	for _, incarnation := range leaving {
		changed = l.servers.markLeaving(incarnation) || changed
	}
	if changed {
		l.stepServers(now)
	}
}

// markLeaving records that a server has said that it is leaving. It says whether that is
// a change.
func (t *serverTable) markLeaving(incarnation model.Incarnation) bool {
	row := t.rows[incarnation]
	if row == nil || row.gone || row.saidLeaving {
		return false
	}
	row.saidLeaving = true
	t.log.Event(event.BackendLeaving, "a VM reported that the server said so", t.logFields(row.Server)...)
	return true
}

// keepProbeAway says whether a server wants no probe at present. Its machine takes it as
// one that was not answered.
func (l *loop) keepProbeAway(machine *keys.Machine, call keys.ProbeCall) bool {
	now := l.clock()
	row := l.servers.rows[call.Incarnation]
	if row == nil || row.target == nil || now >= row.target.Availability.BackoffEnd() {
		return false
	}
	machine.StepProbed(now, call, "", false)
	return true
}
