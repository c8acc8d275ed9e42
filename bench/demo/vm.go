package demo

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/config"
	"guavacrank.example/daemon"
	"guavacrank.example/kvstore"
	"guavacrank.example/kvstore/httpstore"
)

// stopNotice is the time that a stopping daemon gives the balancer.
const stopNotice = 300 * time.Millisecond

// vm is one entry VM with its daemon.
type vm struct {
	settings config.Settings
	store    string // The platform's address.
	// listeners hold the addresses until the first start.
	listeners *daemon.Listeners
	logger    *zap.Logger
	// cutOff keeps the VM from the platform's service.
	cutOff atomic.Bool

	mu      sync.Mutex
	starts  int
	process *process // Nil while the VM is down.
}

// process is one start of a VM's daemon.
type process struct {
	daemon *daemon.Daemon
	client *httpstore.Client
	stop   context.CancelFunc
	ended  chan error // Gets the result of Run.
}

// place is a region and an availability zone.
type place struct{ region, zone string }

// places returns the places of a configuration's servers, sorted by zone
// number first, so that the first VMs stand in different regions.
func places(configuration *config.Configuration) []place {
	var all []place
	for _, server := range configuration.Servers {
		at := place{server.Region, server.Zone}
		if !slices.Contains(all, at) {
			all = append(all, at)
		}
	}
	slices.SortFunc(all, func(a, b place) int {
		return strings.Compare(a.region+"\x00"+a.zone, b.region+"\x00"+b.zone)
	})
	return all
}

// newVMs returns VMs that are down, with their addresses bound.
func newVMs(count int, at []place, platformAddress string, logger *zap.Logger) ([]*vm, error) {
	var all []*vm
	for i := range count {
		settings := config.DefaultSettings()
		settings.VM = fmt.Sprintf("entry-%d", i+1)
		settings.Region = at[i%len(at)].region
		settings.Zone = at[i%len(at)].zone
		settings.PlatformAddress = platformAddress
		settings.OperatorToken = operatorToken
		settings.PeerToken = peerToken
		listeners, err := bindVM(&settings)
		if err != nil {
			return all, err
		}
		all = append(all, &vm{settings: settings, store: platformAddress, listeners: listeners, logger: logger})
	}
	return all, nil
}

// bindVM binds three free ports and notes them in the settings.
func bindVM(settings *config.Settings) (*daemon.Listeners, error) {
	listeners := &daemon.Listeners{}
	for _, want := range []struct {
		address *string
		target  *net.Listener
	}{
		{&settings.CallerAddress, &listeners.Caller},
		{&settings.PeerAddress, &listeners.Peer},
		{&settings.OperatorAddress, &listeners.Operator},
	} {
		err := bindLoopback(func(address string) error {
			bound, err := net.Listen("tcp", address)
			*want.address, *want.target = address, bound
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	return listeners, nil
}

// platformVM returns the VM's row in the platform's list.
func platformVM(settings config.Settings) kvstore.VM {
	return kvstore.VM{
		Name: settings.VM, Region: settings.Region, Zone: settings.Zone, Peer: settings.PeerAddress,
	}
}

// start starts the VM's daemon with an empty state.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.starts++
	client := httpstore.NewClient(httpstore.ClientOptions{
		Address:     v.store,
		DialContext: (&cutOffDialer{cutOff: &v.cutOff}).DialContext,
	})
	started, err := daemon.New(daemon.Options{
		Settings:      v.settings,
		Store:         client,
		Logger:        v.logger,
		Listeners:     v.listeners,
		Build:         "demo",
		Incarnation:   fmt.Sprintf("%s-%d", v.settings.VM, v.starts),
		ShutdownDelay: stopNotice,
	})
	if err != nil {
		client.Close()
		return fmt.Errorf("starting %s: %w", v.settings.VM, err)
	}
	v.listeners = nil
	ctx, stop := context.WithCancel(context.Background())
	v.process = &process{daemon: started, client: client, stop: stop, ended: make(chan error, 1)}
	go v.process.run(ctx)
	return nil
}

func (p *process) run(ctx context.Context) {
	p.ended <- p.daemon.Run(ctx)
	p.client.Close()
}

// take returns the running process and leaves the VM down.
func (v *vm) take() *process {
	v.mu.Lock()
	defer v.mu.Unlock()
	taken := v.process
	v.process = nil
	return taken
}

// kill ends the daemon as the loss of its VM does.
func (v *vm) kill() {
	lost := v.take()
	if lost == nil {
		v.release()
		return
	}
	lost.daemon.Kill()
	<-lost.ended
	lost.stop()
}

// shutdown stops the daemon gracefully and returns what Run returned.
func (v *vm) shutdown() error {
	stopped := v.take()
	if stopped == nil {
		return nil
	}
	stopped.stop()
	return <-stopped.ended
}

// release frees the addresses of a VM that never started.
func (v *vm) release() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.listeners != nil {
		v.listeners.Close()
	}
}

// ready reports whether the VM takes callers' requests.
func (v *vm) ready() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process != nil && v.process.daemon.Ready()
}
