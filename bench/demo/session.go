package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"guavacrank.example/backend/standin"
	"guavacrank.example/config"
)

// progressInterval is the time between two lines about the load.
const progressInterval = time.Second

// session drives load through entry VMs and judges the outcome.
type session struct {
	configuration *config.Configuration
	pages         *history
	records       *standin.Records
	endpoints     []Endpoint
	load          LoadOptions
	length        time.Duration
	progress      io.Writer
}

// causes is what else happens during the load.
type causes interface {
	// run causes it until the context ends, and returns what failed.
	run(ctx context.Context) error
	// faults, hit and drained tell what was caused, and at which servers.
	faults() []Fault
	hit() map[string]bool
	drained() []leaving
}

// run drives the load until the context ends.
func (s *session) run(ctx context.Context, inject causes) (Summary, error) {
	movedBefore, _ := s.pages.totals()
	callers := newCallers(newBalancer(s.endpoints))
	defer callers.client.CloseIdleConnections()
	begin := standin.BootTime()
	injected := s.drive(ctx, callers, inject)
	time.Sleep(settle)
	end := standin.BootTime()
	sent, runs := callers.results(), s.records.Runs()
	found := judge(sent, runs, s.pages, dividedServices(s.configuration), end)
	summary := summarise(sent, found)
	summary.Unavailable = unavailable(sent, inject.faults(), begin, end)
	summary.WorkAtLeavingServer = workAtLeaving(runs, inject.drained())
	summary.Imbalance = imbalance(runs, dividedServers(s.configuration), inject.hit())
	moved, unsound := s.pages.totals()
	summary.Moves = moved - movedBefore
	for _, reason := range unsound {
		injected = errors.Join(injected, errors.New("unsound ownership page: "+reason))
	}
	return summary, injected
}

// runWhenReady waits until every VM takes requests and every unit has an
// owner, then runs for the length without faults of its own.
func (s *session) runWhenReady(ctx context.Context) (Summary, error) {
	checker := newBalancer(s.endpoints)
	for !s.ready(ctx, checker) {
		select {
		case <-ctx.Done():
			return Summary{}, ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	ctx, cancel := context.WithTimeout(ctx, s.length)
	defer cancel()
	summary, err := s.run(ctx, nothing{})
	return summary, errors.Join(err, summary.broken())
}

// nothing are causes that do nothing.
type nothing struct{}

func (nothing) run(context.Context) error { return nil }
func (nothing) faults() []Fault           { return nil }
func (nothing) hit() map[string]bool      { return nil }
func (nothing) drained() []leaving        { return nil }

func (s *session) ready(ctx context.Context, checker *balancer) bool {
	for _, endpoint := range s.endpoints {
		if !checker.check(ctx, endpoint) {
			return false
		}
	}
	for service := range dividedServers(s.configuration) {
		if s.pages.ownerNow(service, "") == "" {
			return false
		}
	}
	return true
}

// drive runs load, balancer, faults and progress until the context ends.
func (s *session) drive(ctx context.Context, callers *callers, inject causes) error {
	var running sync.WaitGroup
	checks, stopChecks := context.WithCancel(context.Background())
	defer running.Wait()
	defer stopChecks() // After the load: late requests still need the balancer.
	running.Go(func() { callers.balancer.run(checks) })
	running.Go(func() { s.reportProgress(ctx, callers) })
	injected := make(chan error, 1)
	running.Go(func() { injected <- inject.run(ctx) })
	newLoad(s.configuration, s.pages, callers, s.load).run(ctx)
	return <-injected
}

// reportProgress prints a line in each progressInterval.
func (s *session) reportProgress(ctx context.Context, callers *callers) {
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
		fmt.Fprintf(s.progress, "%.0f s of %v: %d requests, %d answered, %d not run, %d may have run\n", time.Since(begin).Seconds(),
			s.length, counted.Requests, counted.Answered, counted.NotRun, counted.MayHaveRun)
	}
}

// dividedServers returns the names of the servers of each service divided by key.
func dividedServers(configuration *config.Configuration) map[string][]string {
	divided := dividedServices(configuration)
	names := make(map[string][]string)
	for _, server := range configuration.Servers {
		if divided[server.Service] {
			names[server.Service] = append(names[server.Service], server.Name)
		}
	}
	return names
}
