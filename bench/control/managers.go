package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"guavacrank.example/bench/report"
	"guavacrank.example/fleet"
	"guavacrank.example/fleet/fleettest"
	"guavacrank.example/fleet/spread"
	"guavacrank.example/kvstore"
	"guavacrank.example/kvstore/memstore"
)

const (
	// startPeriod is how long a fleet runs before it is measured.
	startPeriod = 10 * time.Second
	// stopPeriod is how long what ran before gets to free its memory.
	stopPeriod = 2 * time.Second
	// startSpacing, times the size of the fleet, is the time between the starts
	// of two VMs: all of them share this machine's cores.
	startSpacing = time.Millisecond
)

// discard is a Listener that does nothing.
type discard struct{}

// DocumentChanged implements fleet.Listener.
func (discard) DocumentChanged(fleet.Document) {}

// MembersChanged implements fleet.Listener.
func (discard) MembersChanged([]fleet.Member) {}

// MessageReceived implements fleet.Listener.
func (discard) MessageReceived(string, string, []byte) {}

// localFleet is a fleet of managers on loopback ports of one process.
type localFleet struct {
	store    *memstore.Store
	managers []*fleet.Manager
	servers  []*http.Server
	cancel   context.CancelFunc
	group    *errgroup.Group
}

// startFleet starts size managers against one in-memory store.
func startFleet(ctx context.Context, p policy, size int) (*localFleet, error) {
	f := &localFleet{store: memstore.New(memstore.Options{ReadsPerSecond: -1, WritesPerSecond: -1})}
	ctx, f.cancel = context.WithCancel(ctx)
	f.group, ctx = errgroup.WithContext(ctx)
	vms := fleettest.Verhaegen.VMs(size)
	listeners := make([]net.Listener, size)
	for i := range vms {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			f.stop()
			return nil, fmt.Errorf("control: listener %d of %d: %w", i+1, size, err)
		}
		listeners[i] = listener
		vms[i].Peer = listener.Addr().String()
	}
	f.store.SetVMs(vms)
	if _, err := f.store.CompareAndSwap(ctx, kvstore.ConfigKey, 0, configValue(0), 0); err != nil {
		f.stop()
		return nil, fmt.Errorf("control: first configuration: %w", err)
	}
	for i, vm := range vms {
		if err := f.start(ctx, p, vm, listeners[i]); err != nil {
			f.stop()
			return nil, err
		}
		if err := sleep(ctx, time.Duration(size)*startSpacing); err != nil {
			f.stop()
			return nil, err
		}
	}
	return f, nil
}

func (f *localFleet) start(ctx context.Context, p policy, vm kvstore.VM, listener net.Listener) error {
	manager, err := fleet.New(fleet.Options{
		Self: vm, Store: f.store, Listener: discard{}, Token: "benchmark", Policy: p.value,
	})
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(manager.Handler())
	server := fleet.NewServer(mux)
	f.managers = append(f.managers, manager)
	f.servers = append(f.servers, server)
	f.group.Go(func() error { return manager.Run(ctx) })
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (f *localFleet) stop() {
	f.cancel()
	_ = f.group.Wait()
	for _, server := range f.servers {
		_ = server.Close()
	}
}

// usage is what the process and the fleet have used so far.
type usage struct {
	at         time.Time
	processor  time.Duration
	traffic    uint64 // Bytes that connections carried, either way.
	storeCalls uint64
}

func (f *localFleet) usage() usage {
	u := usage{at: time.Now(), processor: processorTime()}
	for _, manager := range f.managers {
		traffic := manager.Traffic()
		u.traffic += traffic.SentBytes + traffic.ReceivedBytes
	}
	counts := f.store.Counts()
	u.storeCalls = counts.Reads() + counts.Writes()
	return u
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

// costs are the measured figures of one fleet at rest, for each VM.
type costs struct {
	bytes      float64 // Bytes a second, sent and received.
	processor  float64 // Percent of a core.
	memory     float64 // Megabytes.
	storeCalls float64 // Calls a second of the whole fleet.
}

// managerCosts measures fleets at rest over TCP, and how their cost grows.
func managerCosts(ctx context.Context, options Options) ([]report.Row, error) {
	var rows []report.Row
	for _, p := range policies() {
		if p.value == spread.Gossip {
			continue // Its connections of all to all exceed a process's files.
		}
		sizes := options.Sizes
		if p.value != spread.Tree {
			sizes = []int{sizes[0], sizes[len(sizes)-1]}
		}
		measured := make([]costs, 0, len(sizes))
		for _, size := range sizes {
			c, err := measureFleet(ctx, p, size, options.Period)
			if err != nil {
				return rows, err
			}
			measured = append(measured, c)
			rows = append(rows, c.rows(p, size)...)
		}
		if len(sizes) > 1 {
			rows = append(rows, slopeRows(p, sizes, measured)...)
		}
	}
	return rows, nil
}

func measureFleet(ctx context.Context, p policy, size int, period time.Duration) (costs, error) {
	if err := sleep(ctx, stopPeriod); err != nil {
		return costs{}, err
	}
	heapBefore := heapBytes()
	f, err := startFleet(ctx, p, size)
	if err != nil {
		return costs{}, err
	}
	defer f.stop()
	if err := sleep(ctx, startPeriod); err != nil {
		return costs{}, err
	}
	before := f.usage()
	if err := sleep(ctx, period); err != nil {
		return costs{}, err
	}
	after := f.usage()
	seconds := after.at.Sub(before.at).Seconds()
	vms := float64(size)
	return costs{
		// Each byte is sent by one VM and received by another.
		bytes:      2 * float64(after.traffic-before.traffic) / seconds / vms,
		processor:  100 * (after.processor - before.processor).Seconds() / seconds / vms,
		memory:     (float64(heapBytes()) - float64(heapBefore)) / vms / (1 << 20),
		storeCalls: float64(after.storeCalls-before.storeCalls) / seconds,
	}, nil
}

func (c costs) rows(p policy, size int) []report.Row {
	return []report.Row{
		maxRow(sizedName("control.bytes", size), p, c.bytes, "bytes/s", bytesTarget),
		maxRow(sizedName("control.processor", size), p, c.processor, "% of a core", processorTarget),
		maxRow(sizedName("control.memory", size), p, c.memory, "MB", memoryTarget),
		maxRow(sizedName("control.store_calls", size), p, c.storeCalls, "calls/s", storeTargetPerZone*zones),
	}
}

func slopeRows(p policy, sizes []int, measured []costs) []report.Row {
	slope := func(name, unit string, figure func(costs) float64) report.Row {
		values := make([]float64, 0, len(measured))
		for _, c := range measured {
			values = append(values, figure(c))
		}
		return slopeRow(name, p.name, unit, sizes, values)
	}
	return []report.Row{
		slope("control.bytes", "bytes/s", func(c costs) float64 { return c.bytes }),
		slope("control.processor", "% of a core", func(c costs) float64 { return c.processor }),
		slope("control.memory", "MB", func(c costs) float64 { return c.memory }),
		slope("control.store_calls", "calls/s", func(c costs) float64 { return c.storeCalls }),
	}
}

// sleep waits for a duration, or returns the context's error.
func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
