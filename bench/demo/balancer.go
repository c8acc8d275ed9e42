package demo

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"guavacrank.example/daemon"
)

const (
	// checkInterval is the time between two health checks of a VM.
	checkInterval = 500 * time.Millisecond
	// checkOffset keeps the checks from falling together with faults at whole seconds.
	checkOffset = 170 * time.Millisecond
	// checkTimeout limits one check.
	checkTimeout = 100 * time.Millisecond
)

// Endpoint is one entry VM as callers see it.
type Endpoint struct {
	Name string
	// Address is the IP:port for callers.
	Address string
}

// balancer is the stand-in of the platform's balancer: it names the VMs in
// turn, without those whose health check failed.
type balancer struct {
	vms     []Endpoint
	healthy []atomic.Bool
	next    atomic.Uint64
	client  *http.Client
}

func newBalancer(vms []Endpoint) *balancer {
	b := &balancer{
		vms:     vms,
		healthy: make([]atomic.Bool, len(vms)),
		client:  &http.Client{Transport: &http.Transport{}, Timeout: checkTimeout},
	}
	for i := range b.healthy {
		b.healthy[i].Store(true)
	}
	return b
}

// pick returns the next healthy VM, or the next one if none is.
func (b *balancer) pick() Endpoint {
	first := int(b.next.Add(1))
	for i := range b.vms {
		at := (first + i) % len(b.vms)
		if b.healthy[at].Load() {
			return b.vms[at]
		}
	}
	return b.vms[first%len(b.vms)]
}

// run checks the VMs until the context ends.
func (b *balancer) run(ctx context.Context) {
	defer b.client.CloseIdleConnections()
	time.Sleep(checkOffset)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		for i, v := range b.vms {
			b.healthy[i].Store(b.check(ctx, v))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *balancer) check(ctx context.Context, v Endpoint) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.Address+daemon.PathHealth, nil)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
