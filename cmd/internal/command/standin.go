package command

import (
	"context"
	"flag"
	"fmt"
	"net/netip"

	"guavacrank.example/bench/demo"
)

// Addresses of the stand-ins, as examples/settings.yaml has them.
const (
	defaultStoreAddress   = "127.0.0.1:20000"
	defaultControlAddress = "127.0.0.1:20001"
)

func standinCommand() Command {
	return Command{
		Name:    "standin",
		Summary: "Serve stand-ins of the platform's service and of backend servers for daemons started by hand",
		Examples: []string{
			"guavacrankctl standin",
			"guavacrankctl standin -config examples/chikushi.yaml -vms 12",
		},
		Setup: func(flags *flag.FlagSet) Run {
			file := flags.String("config", defaultDemoFile, "configuration `FILE` whose backend servers are to run, at their addresses")
			store := flags.String("store", defaultStoreAddress, "`IP:port` of the platform's service")
			control := flags.String("control", defaultControlAddress, "`IP:port` at which faults are caused and records read")
			vms := flags.Int("vms", demo.DefaultVMs, "number of VMs in the platform's list: entry-1 and so on, peers at 127.0.0.1:20201 and so on")
			return func(ctx context.Context, env *Environment, args []string) error {
				if err := arguments(args); err != nil {
					return err
				}
				for _, address := range []string{*store, *control} {
					if _, err := netip.ParseAddrPort(address); err != nil {
						return badUse("address %q is not an IP number and port such as %s", address, defaultStoreAddress)
					}
				}
				data, err := readFile(env, *file)
				if err != nil {
					return fmt.Errorf("%w: give a configuration with -config", err)
				}
				return demo.Serve(ctx, demo.ServeOptions{
					Name: *file, Configuration: data, VMs: *vms,
					StoreAddress: *store, ControlAddress: *control, Progress: env.Stderr,
				})
			}
		},
	}
}
