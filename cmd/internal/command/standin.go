package command

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"strings"

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
			"guavacrankctl standin -load 127.0.0.1:20101,127.0.0.1:20102 -for 30s",
		},
		Setup: func(flags *flag.FlagSet) Run {
			options := demo.ServeOptions{}
			output := addOutput(flags)
			flags.StringVar(&options.Name, "config", defaultDemoFile, "configuration `FILE` whose backend servers are to run, at their addresses")
			flags.StringVar(&options.StoreAddress, "store", defaultStoreAddress, "`IP:port` of the platform's service")
			flags.StringVar(&options.ControlAddress, "control", defaultControlAddress, "`IP:port` at which faults are caused and records read")
			flags.IntVar(&options.VMs, "vms", demo.DefaultVMs, "number of VMs in the platform's list: entry-1 and so on, peers at 127.0.0.1:20201 and so on")
			callers := flags.String("load", "", "drive load through these caller addresses, `IP:port,...`, once all are ready, print the summary and end")
			flags.DurationVar(&options.Length, "for", demo.DefaultLength, "length of the load")
			flags.IntVar(&options.Rate, "rate", demo.DefaultRate, "requests a second")
			flags.Uint64Var(&options.Seed, "seed", 1, "`number` from which the load draws")
			return func(ctx context.Context, env *Environment, args []string) error {
				if err := arguments(args); err != nil {
					return err
				}
				options.Progress = env.Stderr
				if err := completeStandin(env, &options, *callers); err != nil {
					return err
				}
				return serveStandin(ctx, env, options, output)
			}
		},
	}
}

// completeStandin checks the flags and reads the configuration.
func completeStandin(env *Environment, options *demo.ServeOptions, callers string) error {
	if callers != "" {
		for i, address := range strings.Split(callers, ",") {
			options.Callers = append(options.Callers, demo.Endpoint{Name: fmt.Sprintf("entry-%d", i+1), Address: address})
		}
	}
	addresses := []string{options.StoreAddress, options.ControlAddress}
	for _, caller := range options.Callers {
		addresses = append(addresses, caller.Address)
	}
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return badUse("address %q is not an IP number and port such as %s", address, defaultStoreAddress)
		}
	}
	if options.VMs <= 0 || options.Rate <= 0 || options.Length <= 0 {
		return badUse("-vms, -rate and -for must be positive")
	}
	var err error
	if options.Configuration, err = readFile(env, options.Name); err != nil {
		return fmt.Errorf("%w: give a configuration with -config", err)
	}
	return nil
}

func serveStandin(ctx context.Context, env *Environment, options demo.ServeOptions, output *outputFlag) error {
	summary, err := demo.Serve(ctx, options)
	return printSummary(env, output, summary, err)
}
