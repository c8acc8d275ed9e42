package demo

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"guavacrank.example/backend/standin"
	"guavacrank.example/config"
	"guavacrank.example/daemon/eventlog"
	"guavacrank.example/daemon/operator"
	"guavacrank.example/daemon/operator/client"
	"guavacrank.example/kvstore"
	"guavacrank.example/kvstore/httpstore"
	"guavacrank.example/kvstore/memstore"
)

// pollInterval is the time between two looks at a state that is waited for.
const pollInterval = 50 * time.Millisecond

// world is everything that runs in a demo.
type world struct {
	options       Options
	configuration *config.Configuration
	events        *eventlog.Log
	pages         *history
	store         *memstore.Store
	stopPlatform  func()
	records       *standin.Records
	servers       []*standin.Server
	vms           []*vm
	storeAddress  string
}

// newWorld starts everything and applies the configuration. The caller must
// close the world, also after an error.
func newWorld(ctx context.Context, options Options) (*world, error) {
	w := &world{options: options, pages: newHistory(), records: &standin.Records{}}
	w.events = eventlog.New(options.Logger)
	w.store = memstore.New(memstore.Options{OnChange: w.pages.changed})
	w.store.SetFaults(memstore.Faults{VMListLag: vmListLag})
	var err error
	if w.configuration, err = config.ParseConfiguration(options.Name, options.Configuration); err != nil {
		return w, err
	}
	if err = w.startPlatform(); err != nil {
		return w, err
	}
	servers := ServersOptions{Configuration: w.configuration, Records: w.records}
	if w.servers, err = StartServers(servers); err != nil {
		return w, err
	}
	if err = w.startVMs(); err != nil {
		return w, err
	}
	return w, w.apply(ctx)
}

func (w *world) startPlatform() error {
	return bindLoopback(func(address string) (err error) {
		w.storeAddress = address
		w.stopPlatform, err = serveHTTP(address, httpstore.NewFaultHandler(w.store))
		return err
	})
}

func (w *world) startVMs() error {
	var err error
	if w.vms, err = newVMs(w.options.VMs, places(w.configuration), w.storeAddress, w.options.Logger); err != nil {
		return err
	}
	var listed []kvstore.VM
	for _, v := range w.vms {
		listed = append(listed, platformVM(v.settings))
	}
	w.store.SetVMs(listed)
	for _, v := range w.vms {
		if err := v.start(); err != nil {
			return err
		}
	}
	return nil
}

// apply puts the configuration into force as an operator does.
func (w *world) apply(ctx context.Context) error {
	addresses := make(map[string]string)
	for _, server := range w.servers {
		addresses[server.Name()] = server.Address()
	}
	text, err := rewriteAddresses(string(w.options.Configuration), addresses)
	if err != nil {
		return err
	}
	caller := w.operator(w.vms[0])
	defer caller.Close()
	_, err = caller.Apply(ctx, operator.ApplyRequest{
		ChangeID: fmt.Sprintf("demo-%d", w.options.Seed),
		Author:   "demo",
		Reason:   "first configuration of the demo",
		File:     w.options.Name,
		YAML:     text,
	})
	if err != nil {
		return fmt.Errorf("applying %s: %w", w.options.Name, err)
	}
	return nil
}

func (w *world) operator(v *vm) *client.Client {
	return client.New(client.Options{Address: v.settings.OperatorAddress, Token: operatorToken})
}

// drain drains a server, or ends that, as an operator does: a change that was
// refused, or whose outcome is unknown, is repeated through the next VM.
func (w *world) drain(server string, draining bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), warmUp)
	defer cancel()
	request := operator.DrainRequest{
		ChangeID: fmt.Sprintf("demo-%s-%t", server, draining),
		Author:   "demo",
		Reason:   "asked for on the command line",
		Server:   server,
		Draining: draining,
	}
	for n := 0; ; n++ {
		err := w.drainThrough(ctx, w.vms[n%len(w.vms)], request)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

func (w *world) drainThrough(ctx context.Context, v *vm, request operator.DrainRequest) error {
	caller := w.operator(v)
	defer caller.Close()
	_, err := caller.Drain(ctx, request)
	return err
}

// errNotServed says that the fleet did not come up in time.
var errNotServed = errors.New("not every unit is served")

// awaitServed waits until every VM is ready and sees every unit of every
// service divided by key at a server that may serve it.
func (w *world) awaitServed(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, warmUp)
	defer cancel()
	missing := "nothing was seen yet"
	for {
		if missing = w.missing(ctx); missing == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %s", errNotServed, missing)
		case <-time.After(pollInterval):
		}
	}
}

// missing returns what is not served yet, or nothing.
func (w *world) missing(ctx context.Context) string {
	for _, v := range w.vms {
		if !v.ready() {
			return v.settings.VM + " is not ready"
		}
		caller := w.operator(v)
		status, err := caller.Status(ctx)
		caller.Close()
		if err != nil {
			return err.Error()
		}
		for _, service := range status.Services {
			if service.DividedByKey && (service.Units == 0 || service.Waiting > 0) {
				return fmt.Sprintf("%s sees %d of %d units of %s waiting", v.settings.VM, service.Waiting, service.Units, service.Name)
			}
		}
	}
	return ""
}

// server returns the stand-in of a name, or nil.
func (w *world) server(name string) *standin.Server {
	i := slices.IndexFunc(w.servers, func(s *standin.Server) bool { return s.Name() == name })
	if i < 0 {
		return nil
	}
	return w.servers[i]
}

// vm returns the VM of a name, or nil.
func (w *world) vm(name string) *vm {
	i := slices.IndexFunc(w.vms, func(v *vm) bool { return v.settings.VM == name })
	if i < 0 {
		return nil
	}
	return w.vms[i]
}

// close ends everything at once. The load must have ended.
func (w *world) close() {
	var ending sync.WaitGroup
	for _, v := range w.vms {
		ending.Go(v.kill)
	}
	ending.Wait()
	StopServers(w.servers)
	if w.stopPlatform != nil {
		w.stopPlatform()
	}
}
