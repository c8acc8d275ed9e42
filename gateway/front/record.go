package front

import (
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/dispatch"
	"guavacrank.example/traffic/metric"
	"guavacrank.example/traffic/verdict"
)

// successSampleInterval: one in 32 successes is logged.
const successSampleInterval = 32

// record adds a result to the metrics.
func (e *exchange) record(result dispatch.Result, bodyBytes, responseBytes int64) {
	o := metric.Observation{Total: e.options.Clock() - e.arrived, Attempts: len(result.Attempts), RequestBytes: bodyBytes, ResponseBytes: responseBytes}
	for _, attempt := range result.Attempts {
		o.Backend += attempt.Duration
	}
	o.Queue = queueTime(e.arrived, result.Attempts)
	e.options.Metrics.Class(e.service, e.route.Kind.String()).Record(result.Verdict, result.Code, o)
}

// queueTime returns the time from a request's arrival to the start of its first attempt,
// or zero without one. Attempts are in the order of their ends.
func queueTime(arrived time.Duration, attempts []dispatch.Attempt) time.Duration {
	if len(attempts) == 0 {
		return 0
	}
	first := attempts[0].Start
	for _, attempt := range attempts[1:] {
		first = min(first, attempt.Start)
	}
	return first - arrived
}

// log logs the result of a request.
func (e *exchange) log(result dispatch.Result) {
	number := event.RequestAnswered
	switch {
	case result.Code == verdict.CodeCallerGone:
		number = event.CallerLeft
	case result.Verdict == verdict.NotRun:
		number = event.RequestNotRun
	case result.Verdict == verdict.MayHaveRun:
		number = event.RequestMayHaveRun
	case len(result.Attempts) < 2 && result.Response.Status < http.StatusInternalServerError && !sampled(e.head.ID):
		return
	}
	fields := []zap.Field{
		zap.String("request", e.head.ID),
		zap.String("service", e.service),
		zap.String("code", string(result.Code)),
		zap.Duration("took", e.options.Clock()-e.arrived),
		zap.Duration("allowed", e.head.TimeLeft),
		zap.Uint64("configuration", e.version),
	}
	if e.route != nil {
		fields = append(fields, zap.String("route", e.route.Name))
	}
	if e.head.HasKey {
		fields = append(fields, zap.Uint16("key", e.head.Key))
	}
	if result.Response != nil {
		fields = append(fields, zap.Int("status", result.Response.Status))
	}
	if result.RetryAfter > 0 {
		fields = append(fields, zap.Duration("retry_after", result.RetryAfter))
	}
	for i, attempt := range result.Attempts {
		fields = append(fields, zap.String("send_"+strconv.Itoa(i+1), formatAttempt(attempt)))
	}
	if room := result.Room; room != nil {
		fields = append(fields, zap.Float64("room_per_second", room.Throughput), zap.Float64("demand_per_second", room.Demand), zap.Float64("in_system", room.InSystem))
	}
	if len(result.Avoided) > 0 {
		fields = append(fields, zap.String("avoided", formatAvoided(result.Avoided)))
	}
	e.options.Log.Event(number, "", fields...)
}

// formatAvoided returns the servers that did not get a request and why, for the log.
func formatAvoided(servers []dispatch.AvoidedServer) string {
	var texts []string
	for _, server := range servers {
		texts = append(texts, server.Server+" "+server.Reason.String())
	}
	return strings.Join(texts, ", ")
}

// formatAttempt returns a short description of an attempt, for the log.
func formatAttempt(attempt dispatch.Attempt) string {
	text := fmt.Sprintf("%s in %s after %s: %s %s", attempt.Server, attempt.Zone, attempt.Duration.Round(time.Millisecond), attempt.Verdict, attempt.Code)
	if attempt.Status != 0 {
		text += " " + strconv.Itoa(attempt.Status)
	}
	if attempt.Cause != "" {
		text += " (" + attempt.Cause + ")"
	}
	return text
}

// sampled reports whether a success is logged. All VMs select the same requests.
func sampled(id string) bool {
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, id) // Writing to a hash never fails.
	return hash.Sum32()%successSampleInterval == 0
}
