package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"guavacrank.example/backend/standin"
	"guavacrank.example/config"
	"guavacrank.example/platform"
	"guavacrank.example/platform/httpstore"
	"guavacrank.example/platform/memstore"
)

// firstPeerPort is the peer port of the first VM, as examples/settings.yaml has it.
const firstPeerPort = 20201

// ServeOptions configure Serve.
type ServeOptions struct {
	// Name and Configuration are the file whose servers are to run, at the
	// addresses that it gives.
	Name          string
	Configuration []byte
	// VMs is the length of the platform's list: entry-1 and so on, in the zones
	// of the configuration in turn.
	VMs int
	// StoreAddress and ControlAddress are the IP:port of the platform's service
	// and of the controller of the stand-in servers.
	StoreAddress   string
	ControlAddress string
	Progress       io.Writer
}

// Serve runs the stand-ins until the context ends, for daemons that are
// started by hand. It fails if an address is taken or the file is faulty.
func Serve(ctx context.Context, options ServeOptions) error {
	configuration, err := config.ParseConfiguration(options.Name, options.Configuration)
	if err != nil {
		return err
	}
	records := &standin.Records{}
	servers, err := StartServers(ServersOptions{Configuration: configuration, Records: records, KeepAddresses: true})
	if err != nil {
		return err
	}
	defer StopServers(servers)
	store := memstore.New(memstore.Options{})
	store.SetVMs(listedVMs(options.VMs, places(configuration)))
	_, stopStore, err := serveHTTP(options.StoreAddress, httpstore.NewFaultHandler(store))
	if err != nil {
		return err
	}
	defer stopStore()
	_, stopControl, err := serveHTTP(options.ControlAddress, standin.NewController(servers, records))
	if err != nil {
		return err
	}
	defer stopControl()
	printServed(options, configuration, len(servers))
	<-ctx.Done()
	return nil
}

// listedVMs returns the platform's list of VMs.
func listedVMs(count int, at []place) []platform.VM {
	var listed []platform.VM
	for i := range count {
		listed = append(listed, platform.VM{
			Name:   fmt.Sprintf("entry-%d", i+1),
			Region: at[i%len(at)].region,
			Zone:   at[i%len(at)].zone,
			Peer:   fmt.Sprintf("127.0.0.1:%d", firstPeerPort+i),
		})
	}
	return listed
}

// serveHTTP serves a handler and returns where, and what ends it.
func serveHTTP(address string, handler http.Handler) (bound string, stop func(), err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // Always http.ErrServerClosed.
	return listener.Addr().String(), func() { _ = server.Close() }, nil
}

func printServed(options ServeOptions, configuration *config.Configuration, servers int) {
	print := func(format string, arguments ...any) { fmt.Fprintf(options.Progress, format+"\n", arguments...) }
	first := configuration.Servers[0].Name
	print("platform's service at %s, %d VMs listed, %d backend servers of %s", options.StoreAddress, options.VMs, servers, options.Name)
	print("\ntry:")
	print("  guavacrankd -settings examples/settings.yaml")
	print("  guavacrankctl apply %s -reason \"first configuration\"", options.Name)
	print("  curl -X POST http://%s%s/%s/kill      # also start, freeze, thaw", options.ControlAddress, standin.PathServers, first)
	print("  curl http://%s%s", options.ControlAddress, standin.PathRuns)
	print("  curl -X PUT -d '{\"outage\":true}' http://%s%s", options.StoreAddress, httpstore.PathFaults)
}
