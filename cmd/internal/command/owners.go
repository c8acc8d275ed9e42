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

func ownersCommand() Command {
	return Command{
		Name:      "owners",
		Arguments: "SERVICE",
		Summary:   "Show which backend server owns each shard and separate key of a service",
		Examples:  []string{"guavacrankctl owners catalogue", "guavacrankctl owners catalogue -output json"},
		Setup: func(flags *flag.FlagSet) Run {
			return reading(flags, []string{"SERVICE"}, func(ctx context.Context, caller *client.Client, args []string) (operator.Owners, error) {
				return caller.Owners(ctx, args[0])
			}, printOwners)
		},
	}
}

func printOwners(w io.Writer, owners operator.Owners) {
	if !owners.DividedByKey {
		fmt.Fprintf(w, "%s is not divided by key: every server of it may answer\n", owners.Service)
		return
	}
	fmt.Fprintf(w, "%s, page version %d\n", owners.Service, owners.PageVersion)
	row(w, "UNIT", "SERVER", "EPOCH", "STATE", "GRANTOR", "TERM", "KEY")
	for _, unit := range owners.Units {
		row(w, unit.Unit, unit.Server, unit.Epoch, unitState(unit), unit.Grantor, unit.Term, keyOf(unit))
	}
}

// unitState says whether the owner may serve the unit.
func unitState(unit operator.Owner) string {
	if unit.Servable {
		return "served"
	}
	return "waiting"
}

// keyOf names the key of a unit that is no shard.
func keyOf(unit operator.Owner) string {
	switch {
	case unit.Key == "":
		return ""
	case unit.Declared:
		return fmt.Sprintf("%q (declared)", unit.Key)
	default:
		return fmt.Sprintf("%q (hot)", unit.Key)
	}
}

func printExplanation(w io.Writer, e operator.Explanation) {
	if !e.DividedByKey {
		fmt.Fprintf(w, "%s is not divided by key: every server of it may answer\n", e.Service)
		return
	}
	owner := e.Owner
	row(w, "key", fmt.Sprintf("%q of %s", e.Key, e.Service))
	row(w, "unit", fmt.Sprintf("%d %s", owner.Unit, keyOf(owner)))
	row(w, "owner", fmt.Sprintf("%s at %s, %s", owner.Server, e.Address, unitState(owner)))
	row(w, "epoch", owner.Epoch)
	row(w, "grantor", fmt.Sprintf("%s, term %d", owner.Grantor, owner.Term))
	row(w, "checks grants", e.ChecksGrants)
	row(w, "why", e.Cause)
	row(w, "page", fmt.Sprintf("version %d by %s: %s", e.PageVersion, e.ChangedBy, e.PageCause))
	if len(e.Changes) > 0 {
		fmt.Fprintln(w, "\nlast events here:")
	}
	for _, change := range e.Changes {
		printEvent(w, change)
	}
}

// printEvent prints one event as one line.
func printEvent(w io.Writer, logged operator.LoggedEvent) {
	fmt.Fprintf(w, "%s %d %s %s: %s", logged.Time.Format(time.RFC3339Nano), logged.Number, logged.Level, logged.Name, logged.Cause)
	for _, field := range logged.Fields {
		fmt.Fprintf(w, " %s=%q", field.Name, field.Value)
	}
	fmt.Fprintln(w)
}
