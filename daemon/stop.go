package daemon

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"guavacrank.example/control"
	"guavacrank.example/event"
)

// ShutdownError says that a stop ended with requests in flight.
type ShutdownError struct {
	InFlight int
}

// Error implements error.
func (e *ShutdownError) Error() string {
	return fmt.Sprintf("daemon: stopped with %d requests in flight", e.InFlight)
}

// stop is the graceful shutdown. Terms are handed over while callers are still
// served; only then are new requests refused and those in flight finished.
func (d *Daemon) stop(ctx context.Context, servers httpServers) error {
	d.stopping.Store(true)
	d.events.Add(event.New(event.DaemonStopRequested, "stop signal"))
	ctx, cancel := context.WithTimeout(ctx, d.stopLimit())
	defer cancel()
	d.fleet.Leave()
	d.loop.feed(ctx, control.StopRequested{})
	notice := time.NewTimer(d.options.ShutdownDelay)
	defer notice.Stop()
	d.awaitRelease(ctx)
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	if err := d.front.Stop(ctx); err != nil {
		left := d.front.InFlight()
		d.events.Add(event.New(event.DaemonStopCutOff, err.Error(), "in_flight", strconv.Itoa(left)))
		return &ShutdownError{InFlight: left}
	}
	if err := servers[callerServer].server.Shutdown(ctx); err != nil {
		return err
	}
	d.events.Add(event.New(event.DaemonStopped, "nothing in flight"))
	return nil
}

// awaitRelease waits until every term was handed over.
func (d *Daemon) awaitRelease(ctx context.Context) {
	limit, cancel := context.WithTimeout(ctx, releaseLimit)
	defer cancel()
	select {
	case <-d.loop.released:
		d.events.Add(event.New(event.DaemonTermsReleased, "all handed over"))
	case <-limit.Done():
		d.events.Add(event.New(event.DaemonTermsReleased, "limit passed", "left", strconv.Itoa(d.termsHeld())))
	}
}

// releaseLimit bounds the wait for the hand-over of terms. Other VMs take
// over what is left, as after a loss.
const releaseLimit = 5 * time.Second

// stopLimit is how long a stop may take altogether.
func (d *Daemon) stopLimit() time.Duration {
	if accepted := d.accepted.Load(); accepted != nil {
		return accepted.configuration.Defaults.StopLimit
	}
	return releaseLimit
}
