package run

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/event"
	"guavacrank.example/gateway/shutdown"
)

const (
	// balancerNoticeTime is how long the load balancer takes to notice that a VM is
	// not ready: two failed checks, one second apart, plus network latency.
	balancerNoticeTime = 2300 * time.Millisecond
	// estimatesTime is how long after the stop signal requests are accepted that are
	// expected to end in time. Later ones must be certain to.
	estimatesTime = 2800 * time.Millisecond
	// minStopTime is how long after the stop signal the process runs at least, to
	// respond to callers that the balancer still sends.
	minStopTime = 3600 * time.Millisecond
	// stopPollInterval is how often a stopping process checks whether it may end.
	stopPollInterval = 50 * time.Millisecond
	// stopMargin is the safety margin before the platform sends SIGKILL. answerTime is
	// the time before it to write the last responses.
	stopMargin = 300 * time.Millisecond
	answerTime = 200 * time.Millisecond
)

// stop serves requests until the load balancer has noticed, then waits until no
// requests are in flight, as long as the platform's grace period permits. Requests that
// run longer are interrupted, so that their callers get a response.
func (g *Gateway) stop(callers *http.Server) {
	start := time.Now()
	limit := g.stopLimit(start)
	end := limit.Add(-answerTime)
	g.shared.log.Event(event.GatewayStopping, "", zap.Int64("in_flight", g.handler.InFlight()))
	now := g.shared.clock()
	g.gate.Begin(shutdown.Schedule{EstimatesUntil: now + estimatesTime, End: now + time.Until(end)})
	g.notifyStopping(false)
	sleepUntil(start.Add(balancerNoticeTime), end)
	g.handler.DisableKeepAlives()
	sleepUntil(start.Add(estimatesTime), end)
	g.dispatcher.EndWaits()
	g.notifyStopping(false) // The store may be reachable again.
	sleepUntil(start.Add(minStopTime), end)
	g.awaitIdle(end)
	g.gate.Close()
	g.awaitIdle(end) // Requests may have arrived before the gate was closed.
	interrupted := g.handler.InFlight()
	g.gate.Interrupt()
	g.awaitIdle(limit)
	g.notifyStopping(true)
	g.shared.log.Event(event.GatewayStopped, "", zap.Int64("in_flight", interrupted))
	g.closeConnections(callers, limit)
}

// stopLimit returns when a process that begins to stop at a time must have ended.
func (g *Gateway) stopLimit(start time.Time) time.Time {
	return start.Add(g.bounds.GracePeriod - stopMargin)
}

// sleepUntil sleeps until a time, or until the limit if that is earlier.
func sleepUntil(at, limit time.Time) {
	if limit.Before(at) {
		at = limit
	}
	time.Sleep(time.Until(at))
}

// awaitIdle waits until no requests are in flight, or until the limit.
func (g *Gateway) awaitIdle(limit time.Time) {
	for time.Now().Before(limit) && g.handler.InFlight() > 0 {
		time.Sleep(stopPollInterval)
	}
}

// closeConnections closes the connections of callers once their requests are answered and the
// callers have the responses, or at the limit.
func (g *Gateway) closeConnections(callers *http.Server, limit time.Time) {
	err := g.connections.CloseListeners()
	if unfinished := g.endConnections(limit); unfinished > 0 {
		err = errors.Join(err, unfinishedError{unfinished})
	}
	if err != nil {
		g.shared.log.Event(event.CallersCutOff, err.Error(), zap.Int64("in_flight", g.handler.InFlight()))
	}
	_ = callers.Close() // Its listeners are closed.
	g.connections.Abandon()
}

// endConnections ends idle connections until the others are finished, or until the limit. It
// returns the number of those that are not. http.Server.Shutdown would read requests and drop
// them.
func (g *Gateway) endConnections(limit time.Time) (unfinished int) {
	for {
		g.connections.EndIdle()
		unfinished = g.connections.Unfinished()
		if unfinished == 0 || !time.Now().Before(limit) {
			return unfinished
		}
		time.Sleep(stopPollInterval)
	}
}

// unfinishedError reports connections that are open when the process ends.
type unfinishedError struct{ connections int }

// Error implements error.
func (e unfinishedError) Error() string {
	return fmt.Sprintf("%d callers may not have all responses", e.connections)
}

// notifyStopping tells the loop that the process is stopping. last says that it is
// about to exit. It waits until the loop has processed the input.
func (g *Gateway) notifyStopping(last bool) {
	done := make(chan struct{})
	g.loop.deliver(stopRequested{last, done})
	<-done
}
