package demo

import (
	"context"
	"errors"
	"fmt"

	"guavacrank.example/config"
	"guavacrank.example/event"
)

// ErrBroken says that a run broke a promise; the summary tells which.
var ErrBroken = errors.New("a promise was broken")

// Run runs the demo. With load it returns the summary, and ErrBroken if a
// promise was broken; without, it keeps the system up for the length or until
// the context ends.
func Run(ctx context.Context, options Options) (Summary, error) {
	options = options.withDefaults()
	running, err := newWorld(ctx, options)
	if err == nil {
		err = running.awaitServed(ctx)
	}
	defer running.close()
	if err != nil {
		return Summary{}, err
	}
	running.printAddresses()
	running.events.Add(event.New(event.StandinStarted, "start of the demo", "store", running.storeAddress))
	if !options.Load {
		running.stayUp(ctx)
		return Summary{}, nil
	}
	summary, err := running.runLoad(ctx)
	if err != nil {
		return summary, err
	}
	return summary, summary.broken()
}

// stayUp waits for the end.
func (w *world) stayUp(ctx context.Context) {
	if w.options.Length > 0 {
		limited, cancel := context.WithTimeout(ctx, w.options.Length)
		defer cancel()
		ctx = limited
	}
	<-ctx.Done()
}

// runLoad drives the load and the faults and judges the outcome.
func (w *world) runLoad(ctx context.Context) (Summary, error) {
	ctx, cancel := context.WithTimeout(ctx, w.options.Length)
	defer cancel()
	injector, err := newInjector(w, w.options.Faults)
	if err != nil {
		return Summary{}, err
	}
	test := &session{
		configuration: w.configuration,
		pages:         w.pages,
		records:       w.records,
		load:          w.options.LoadOptions,
		progress:      w.options.Progress,
		length:        w.options.Length,
	}
	for _, v := range w.vms {
		test.endpoints = append(test.endpoints, Endpoint{Name: v.settings.VM, Address: v.settings.CallerAddress})
	}
	return test.run(ctx, injector)
}

func (w *world) note(format string, arguments ...any) {
	fmt.Fprintf(w.options.Progress, format+"\n", arguments...)
}

// tell reports a step of a fault.
func (w *world) tell(next step) {
	definition, _ := event.Lookup(next.event)
	w.events.Add(event.New(next.event, "asked for on the command line", "fault", next.fault))
	w.note("%s: %s", definition.Name, next.fault)
}

// printAddresses prints where everything listens and lines to try.
func (w *world) printAddresses() {
	w.note("platform's service  %s", w.storeAddress)
	for _, v := range w.vms {
		w.note("%-19s callers %s, operators %s (%s)", v.settings.VM, v.settings.CallerAddress, v.settings.OperatorAddress, v.settings.Zone)
	}
	w.note("%d backend servers\n\ntry:", len(w.servers))
	first := w.vms[0].settings
	for _, service := range w.configuration.Services {
		w.note("  %s", curl(first, service, service.Classes[0]))
	}
	w.note("  curl -i http://%s/healthz", first.CallerAddress)
	w.note("  GUAVACRANK_TOKEN=%s guavacrankctl status -address %s\n", operatorToken, first.OperatorAddress)
}

// curl returns a line that sends one request of a class.
func curl(settings config.Settings, service config.Service, class config.Class) string {
	method := ""
	if !class.Idempotent {
		method = "-X POST -H 'Guavacrank-Idempotency-Key: try-1' "
	}
	return fmt.Sprintf("curl -i %s-H 'Guavacrank-Class: %s' http://%s/v1/%s/key-1", method, class.Name, settings.CallerAddress, service.Name)
}
