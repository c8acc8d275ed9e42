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
	"guavacrank.example/kvstore"
	"guavacrank.example/kvstore/httpstore"
	"guavacrank.example/kvstore/memstore"
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
	// Callers are the entry VMs to drive load through, for Length, once all of
	// them are ready; empty: none.
	Callers []Endpoint
	Length  time.Duration
	LoadOptions
}

// Serve runs the stand-ins until the context ends, for daemons that are
// started by hand, or until the load that it is asked for has ended. It fails
// if an address is taken, the file is faulty, or with ErrBroken.
func Serve(ctx context.Context, options ServeOptions) (Summary, error) {
	configuration, err := config.ParseConfiguration(options.Name, options.Configuration)
	if err != nil {
		return Summary{}, err
	}
	records := &standin.Records{}
	servers, err := StartServers(ServersOptions{Configuration: configuration, Records: records, KeepAddresses: true})
	if err != nil {
		return Summary{}, err
	}
	defer StopServers(servers)
	pages := newHistory()
	store := memstore.New(memstore.Options{OnChange: pages.changed})
	store.SetVMs(listedVMs(options.VMs, places(configuration)))
	stopStore, err := serveHTTP(options.StoreAddress, httpstore.NewFaultHandler(store))
	if err != nil {
		return Summary{}, err
	}
	defer stopStore()
	stopControl, err := serveHTTP(options.ControlAddress, standin.NewController(servers, records))
	if err != nil {
		return Summary{}, err
	}
	defer stopControl()
	printServed(options, configuration, len(servers))
	if len(options.Callers) == 0 {
		<-ctx.Done()
		return Summary{}, nil
	}
	test := &session{
		configuration: configuration, pages: pages, records: records, endpoints: options.Callers,
		load: options.LoadOptions, length: options.Length, progress: options.Progress,
	}
	return test.runWhenReady(ctx)
}

// listedVMs returns the platform's list of VMs.
func listedVMs(count int, at []place) []kvstore.VM {
	var listed []kvstore.VM
	for i := range count {
		listed = append(listed, kvstore.VM{
			Name:   fmt.Sprintf("entry-%d", i+1),
			Region: at[i%len(at)].region,
			Zone:   at[i%len(at)].zone,
			Peer:   fmt.Sprintf("127.0.0.1:%d", firstPeerPort+i),
		})
	}
	return listed
}

// serveHTTP serves a handler and returns what ends it.
func serveHTTP(address string, handler http.Handler) (stop func(), err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // Always http.ErrServerClosed.
	return func() { _ = server.Close() }, nil
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
