package run

import (
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/limit"
	"guavacrank.example/gateway/model"
)

// takeLimitObservations returns what this VM knows of servers that limit their requests.
func (l *loop) takeLimitObservations() []limit.Observation {
	var observations []limit.Observation
	for incarnation, row := range l.servers.rows {
		if row.target == nil {
			continue
		}
		cold, isCold := row.target.Cold.TakeObservation(l.clock())
		if isCold {
			cold.Server, cold.Born = incarnation.ID, incarnation.Born
			observations = append(observations, cold)
		}
		observation, relevant := row.target.Limit.TakeObservation(l.clock())
		l.logLimit(row, observation)
		if relevant {
			observation.Server, observation.Born = incarnation.ID, incarnation.Born
			observations = append(observations, observation)
		}
	}
	return observations
}

// logLimit logs the begin and the end of a server's limit.
func (l *loop) logLimit(row *serverRow, observation limit.Observation) {
	if row.limited == observation.Limited {
		return
	}
	row.limited = observation.Limited
	l.log.Event(event.BackendLimited, "", zap.String("server", row.ID), zap.Bool("limited", observation.Limited),
		zap.Float64("requests_per_second", observation.Rate), zap.Int("demand", observation.Demand), zap.Int("sent", observation.Sent))
}

// applyLimitObservation processes a daemon's observation of a server's limit on the
// leader.
func (l *loop) applyLimitObservation(now time.Duration, observation limit.Observation) {
	l.allocator.Step(now, observation)
	if observation.Cold {
		return
	}
	rate, limited := l.allocator.Limit(observation.Server, observation.Born)
	for _, machine := range l.machines {
		machine.StepLimit(now, model.Incarnation{ID: observation.Server, Born: observation.Born}, limited, rate)
	}
}

// applyAllotments puts the leader's decisions on limited servers in force.
func (l *loop) applyAllotments(allotments []limit.Allotment) {
	now := l.clock()
	until := now + limit.Validity(l.reportInterval())
	for _, allotment := range allotments {
		row := l.servers.rows[model.Incarnation{ID: allotment.Server, Born: allotment.Born}]
		switch {
		case row == nil || row.target == nil:
		case allotment.Cold:
			row.target.Cold.Apply(now, until, allotment)
		default:
			row.target.Limit.Apply(now, until, allotment)
		}
	}
}
