package daemon

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"guavacrank.example/control"
	"guavacrank.example/event"
)

// ShutdownError reports that the daemon stopped with requests in flight.
type ShutdownError struct {
	InFlight int
}

// Error implements error.
func (e *ShutdownError) Error() string {
	return fmt.Sprintf("daemon: stopped with %d requests in flight", e.InFlight)
}

// stop shuts the daemon down gracefully. Terms are handed over while new requests
// are still accepted; only then are new requests rejected and those in flight
// finished.
func (d *Daemon) stop(ctx context.Context, servers httpServers) error {
	d.stopping.Store(true)
	d.events.Add(event.New(event.DaemonStopRequested, "stop signal"))
	ctx, cancel := context.WithTimeout(ctx, d.shutdownTimeout())
	defer cancel()
	d.fleet.Leave()
	d.loop.feed(ctx, control.StopRequested{})
	delay := time.NewTimer(d.options.ShutdownDelay)
	defer delay.Stop()
	d.awaitHandover(ctx)
	select {
	case <-delay.C:
	case <-ctx.Done():
	}
	if err := d.front.Stop(ctx); err != nil {
		left := d.front.InFlight()
		d.events.Add(event.New(event.DaemonStopCutOff, err.Error(), "in_flight", strconv.Itoa(left)))
		return &ShutdownError{InFlight: left}
	}
	if err := servers[callerServerIndex].server.Shutdown(ctx); err != nil {
		return err
	}
	d.events.Add(event.New(event.DaemonStopped, "nothing in flight"))
	return nil
}

// awaitHandover waits until every term is handed over, at most handoverTimeout.
func (d *Daemon) awaitHandover(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	select {
	case <-d.loop.termsReleased:
		d.events.Add(event.New(event.DaemonTermsReleased, "all handed over"))
	case <-waitCtx.Done():
		d.events.Add(event.New(event.DaemonTermsReleased, "limit passed", "left", strconv.Itoa(d.termsHeld())))
	}
}

// handoverTimeout bounds the wait for the handover of terms. Other VMs take over
// the remaining terms as after the loss of a VM.
const handoverTimeout = 5 * time.Second

// shutdownTimeout bounds the whole shutdown.
func (d *Daemon) shutdownTimeout() time.Duration {
	if active := d.active.Load(); active != nil {
		return active.configuration.Defaults.StopLimit
	}
	return handoverTimeout
}
