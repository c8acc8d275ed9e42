package demo

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"guavacrank.example/config"
	"guavacrank.example/daemon"
	"guavacrank.example/platform"
	"guavacrank.example/platform/httpstore"
)

// stopNotice is the time that a stopping daemon gives the balancer.
const stopNotice = 300 * time.Millisecond

// vm is one entry VM with its daemon.
type vm struct {
	settings config.Settings
	store    string // The platform's address.
	logger   *zap.Logger

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

// newSettings returns the settings of count VMs on free loopback ports.
func newSettings(count int, at []place, platformAddress string) ([]config.Settings, error) {
	var all []config.Settings
	for i := range count {
		settings := config.DefaultSettings()
		settings.VM = fmt.Sprintf("entry-%d", i+1)
		settings.Region = at[i%len(at)].region
		settings.Zone = at[i%len(at)].zone
		settings.PlatformAddress = platformAddress
		settings.OperatorToken = operatorToken
		settings.PeerToken = peerToken
		for _, address := range []*string{&settings.CallerAddress, &settings.PeerAddress, &settings.OperatorAddress} {
			free, err := freeAddress()
			if err != nil {
				return nil, err
			}
			*address = free
		}
		all = append(all, settings)
	}
	return all, nil
}

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// platformVM returns the VM's row in the platform's list.
func platformVM(settings config.Settings) platform.VM {
	return platform.VM{
		Name: settings.VM, Region: settings.Region, Zone: settings.Zone, Peer: settings.PeerAddress,
	}
}

// start starts the VM's daemon with an empty state.
func (v *vm) start() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.starts++
	client := httpstore.NewClient(httpstore.ClientOptions{Address: v.store})
	started, err := daemon.New(daemon.Options{
		Settings:    v.settings,
		Store:       client,
		Logger:      v.logger,
		Build:       "demo",
		Incarnation: fmt.Sprintf("%s-%d", v.settings.VM, v.starts),
		StopNotice:  stopNotice,
	})
	if err != nil {
		client.Close()
		return fmt.Errorf("starting %s: %w", v.settings.VM, err)
	}
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
	if lost := v.take(); lost != nil {
		lost.daemon.Kill()
		<-lost.ended
		lost.stop()
	}
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

// ready reports whether the VM takes callers' requests.
func (v *vm) ready() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process != nil && v.process.daemon.Ready()
}
