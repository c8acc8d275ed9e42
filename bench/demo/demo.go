package demo

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"guavacrank.example/backend/standin"
	"guavacrank.example/config"
	"guavacrank.example/event"
)

// progressInterval is the time between two lines about the load.
const progressInterval = time.Second

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
	if err != nil {
		return Summary{}, errors.Join(err, running.close())
	}
	running.printAddresses()
	running.events.Add(event.New(event.StandinStarted, "start of the demo", "store", running.storeAddress))
	if !options.Load {
		running.stayUp(ctx)
		return Summary{}, running.close()
	}
	summary, err := running.runLoad(ctx)
	if err = errors.Join(err, running.close()); err != nil {
		return summary, err
	}
	if len(summary.Broken()) > 0 {
		return summary, ErrBroken
	}
	return summary, nil
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
	movedBefore, _ := w.pages.totals()
	ctx, cancel := context.WithTimeout(ctx, w.options.Length)
	defer cancel()
	injector := &injector{world: w, hit: make(map[string]bool)}
	faults := w.options.Faults
	steps, err := injector.plan(faults)
	if err != nil {
		return Summary{}, err
	}
	balancer := newBalancer(w.vms)
	callers := newCallers(balancer)
	defer callers.client.CloseIdleConnections()
	begin := standin.BootTime()
	injected := w.drive(ctx, callers, balancer, func() error { return injector.run(ctx, steps) })
	time.Sleep(settle)
	end := standin.BootTime()
	sent, runs := callers.results(), w.records.Runs()
	found := judge(sent, runs, w.pages, dividedServices(w.configuration), end)
	summary := summarise(sent, found)
	summary.Unavailable = unavailable(sent, faults, begin, end)
	summary.Imbalance = imbalance(runs, w.dividedServers(), injector.hit)
	moved, unsound := w.pages.totals()
	summary.Moves = moved - movedBefore
	for _, reason := range unsound {
		injected = errors.Join(injected, errors.New("unsound ownership page: "+reason))
	}
	return summary, injected
}

// drive runs load, balancer, faults and progress until the context ends.
func (w *world) drive(ctx context.Context, callers *callers, balancer *balancer, inject func() error) error {
	var running sync.WaitGroup
	checks, stopChecks := context.WithCancel(context.Background())
	defer running.Wait()
	defer stopChecks() // After the load: late requests still need the balancer.
	running.Go(func() { balancer.run(checks) })
	running.Go(func() { w.reportProgress(ctx, callers) })
	injected := make(chan error, 1)
	running.Go(func() { injected <- inject() })
	newLoad(w, callers).run(ctx)
	return <-injected
}

// reportProgress prints a line in each progressInterval.
func (w *world) reportProgress(ctx context.Context, callers *callers) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	begin := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		counted := summarise(callers.results(), judgement{})
		w.note("%.0f s of %v: %d requests, %d answered, %d not run, %d may have run", time.Since(begin).Seconds(),
			w.options.Length, counted.Requests, counted.Answered, counted.NotRun, counted.MayHaveRun)
	}
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

// dividedServers returns the names of the servers of each service divided by key.
func (w *world) dividedServers() map[string][]string {
	divided := dividedServices(w.configuration)
	names := make(map[string][]string)
	for _, server := range w.configuration.Servers {
		if divided[server.Service] {
			names[server.Service] = append(names[server.Service], server.Name)
		}
	}
	return names
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
