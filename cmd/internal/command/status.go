package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"guavacrank.example/daemon/operator"
	"guavacrank.example/daemon/operator/client"
)

func statusCommand() Command {
	return Command{
		Name:     "status",
		Summary:  "Show the state of the fleet as one daemon sees it",
		Examples: []string{"guavacrankctl status", "guavacrankctl status -address 10.0.0.7:20301 -output json"},
		Setup: func(flags *flag.FlagSet) Run {
			return reading(flags, nil, func(ctx context.Context, caller *client.Client, _ []string) (operator.Status, error) {
				return caller.Status(ctx)
			}, printStatus)
		},
	}
}

func printStatus(w io.Writer, status operator.Status) {
	fmt.Fprintf(w, "%s (%s, %s), %s\n", status.VM, status.Region, status.Zone, stateOf(status))
	fmt.Fprintf(w, "revision %d in force on %d of %d VMs; here revision %d\n", status.FleetRevision, status.InForce, status.VMCount, status.Revision)
	if !status.StoreAnswers {
		fmt.Fprintln(w, "the platform's service does not answer")
	}
	printVMs(w, status.VMs)
	printServices(w, status.Services)
	printServers(w, status.Servers)
	for _, lost := range status.Lost {
		fmt.Fprintf(w, "declared lost: %s %s (%s)\n", lost.Kind, lost.Name, lost.Reason)
	}
	for _, expired := range status.ExpiredExceptions {
		fmt.Fprintf(w, "past its date: exception for %s, until %s (%s)\n", expired.For, expired.Until.Format(time.DateOnly), expired.Reason)
	}
}

// stateOf says whether the daemon takes requests.
func stateOf(status operator.Status) string {
	switch {
	case status.Stopping:
		return "stopping"
	case status.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

func printVMs(w io.Writer, vms []operator.VMStatus) {
	row(w, "\nVM", "REGION", "ZONE", "STATE", "REVISION")
	for _, vm := range vms {
		state := "alive"
		switch {
		case !vm.Alive:
			state = "silent"
		case vm.Leaving:
			state = "leaving"
		}
		row(w, vm.Name, vm.Region, vm.Zone, state, vm.Revision)
	}
}

func printServices(w io.Writer, services []operator.ServiceStatus) {
	row(w, "\nSERVICE", "DIVIDED", "UNITS", "WAITING", "PLANNER")
	for _, service := range services {
		row(w, service.Name, service.DividedByKey, service.Units, service.Waiting, service.Planner)
	}
}

func printServers(w io.Writer, servers []operator.ServerStatus) {
	row(w, "\nSERVER", "SERVICE", "ZONE", "UNITS", "GRANTOR", "TERM", "NOTES")
	for _, server := range servers {
		notes := ""
		if server.Draining {
			notes = "draining "
		}
		if !server.ChecksGrants {
			notes += "does-not-check-grants"
		}
		row(w, server.Name, server.Service, server.Zone, server.Units, server.Grantor, server.Term, notes)
	}
	fmt.Fprintln(w)
}
