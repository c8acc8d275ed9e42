package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	"guavacrank.example/config"
	"guavacrank.example/daemon/operator"
	"guavacrank.example/daemon/operator/client"
)

// defaultWait is the time in which an accepted revision is in force everywhere.
const defaultWait = 6 * time.Second

// pollInterval is the time between two looks at the state of the fleet.
const pollInterval = 50 * time.Millisecond

// applyResult is the result of every command that changes the configuration.
type applyResult struct {
	operator.ChangeResponse
	InForce   int   `json:"in_force"`
	VMCount   int   `json:"vm_count"`
	InForceMs int64 `json:"in_force_ms"` // From the acceptance; -1: not everywhere in time.
	// Behind names the VMs that do not have the revision in force yet.
	Behind []string `json:"behind"`
}

// changeCommand is what the commands that change the configuration share.
type changeCommand struct {
	output *outputFlag
	daemon *daemonFlags
	change *changeFlags
	wait   *time.Duration
}

// addChangeCommand declares the shared flags.
func addChangeCommand(flags *flag.FlagSet) *changeCommand {
	return &changeCommand{
		output: addOutput(flags),
		daemon: addDaemon(flags),
		change: addChange(flags),
		wait:   flags.Duration("wait", defaultWait, "how long to wait until the revision is in force everywhere"),
	}
}

// run sends the change, waits until it is in force and prints the result.
func (c *changeCommand) run(ctx context.Context, env *Environment, send func(*client.Client) (operator.ChangeResponse, error)) error {
	if err := c.change.complete(env); err != nil {
		return err
	}
	caller, err := c.daemon.connect(env)
	if err != nil {
		return err
	}
	defer caller.Close()
	applied, err := send(caller)
	if err != nil {
		return err
	}
	result := applyResult{ChangeResponse: applied, InForceMs: -1}
	if !applied.DryRun {
		fmt.Fprintf(env.Stderr, "accepted as revision %d\n", applied.Revision)
		awaitInForce(ctx, caller, &result, *c.wait)
	}
	return c.output.print(env.Stdout, result, func(w io.Writer) { printApplied(w, result) })
}

// awaitInForce asks for the state of the fleet, at least once, until every VM
// has the revision.
func awaitInForce(ctx context.Context, caller *client.Client, result *applyResult, limit time.Duration) {
	start := time.Now()
	for {
		status, err := caller.Status(ctx)
		if err == nil && status.FleetRevision >= result.Revision {
			result.InForce, result.VMCount = status.InForce, status.VMCount
			result.Behind = behind(status, result.Revision)
		}
		if result.VMCount > 0 && result.InForce == result.VMCount {
			result.InForceMs = time.Since(start).Milliseconds()
			return
		}
		if time.Since(start) > limit {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pollInterval):
		}
	}
}

// behind names the VMs that do not have a revision in force.
func behind(status operator.Status, revision config.Revision) []string {
	names := []string{}
	for _, vm := range status.VMs {
		if vm.Revision < revision {
			names = append(names, vm.Name)
		}
	}
	return names
}

// printApplied prints the result of a change.
func printApplied(w io.Writer, result applyResult) {
	printChanges(w, result.ChangeResponse)
	switch {
	case result.DryRun:
		fmt.Fprintf(w, "\ndry run: nothing was applied; revision %d stays in force\n", result.Revision)
	case result.InForceMs >= 0:
		fmt.Fprintf(w, "\nrevision %d is in force on %d of %d VMs after %d ms\n", result.Revision, result.InForce, result.VMCount, result.InForceMs)
	default:
		fmt.Fprintf(w, "\nrevision %d is accepted and in force on %d of %d VMs so far; not yet on %s\n",
			result.Revision, result.InForce, result.VMCount, strings.Join(result.Behind, ", "))
	}
}

func applyCommand() Command {
	return Command{
		Name:      "apply",
		Arguments: "FILE",
		Summary:   "Put a configuration into force",
		Examples: []string{
			"guavacrankctl get > verhaegen.yaml   # its first line names the revision",
			"guavacrankctl apply verhaegen.yaml -reason \"two more printers\"",
			"guavacrankctl apply verhaegen.yaml -base 7 -dry-run",
		},
		Setup: func(flags *flag.FlagSet) Run {
			apply := &applyOptions{changeCommand: addChangeCommand(flags)}
			flags.StringVar(&apply.base, "base", "", "`revision` that the file was made from, or \"current\" to replace whatever is in force (default: the file's first line \"# revision: N\", else 0)")
			flags.BoolVar(&apply.dryRun, "dry-run", false, "show the difference and what follows, and apply nothing")
			return apply.apply
		},
	}
}

// applyOptions are the flags of apply.
type applyOptions struct {
	*changeCommand
	base   string
	dryRun bool
}

// apply puts a file into force.
func (o *applyOptions) apply(ctx context.Context, env *Environment, args []string) error {
	if err := arguments(args, "FILE"); err != nil {
		return err
	}
	if o.dryRun {
		o.change.reason = firstOf(o.change.reason, "dry run")
	}
	data, err := readFile(env, args[0])
	if err != nil {
		return err
	}
	return o.run(ctx, env, func(caller *client.Client) (operator.ChangeResponse, error) {
		base, err := baseOf(ctx, caller, o.base, data)
		if err != nil {
			return operator.ChangeResponse{}, err
		}
		return caller.Apply(ctx, operator.ApplyRequest{
			ChangeID: o.change.changeID,
			Base:     base,
			Author:   o.change.author,
			Reason:   o.change.reason,
			File:     args[0],
			YAML:     string(data),
			DryRun:   o.dryRun,
		})
	})
}

// revisionLine is the first line of a file that get wrote.
var revisionLine = regexp.MustCompile(`^# revision: ([0-9]{1,19})\r?\n`)

// baseOf returns the revision that a file was made from.
func baseOf(ctx context.Context, caller *client.Client, text string, data []byte) (config.Revision, error) {
	if text == "current" {
		return currentRevision(ctx, caller)
	}
	if match := revisionLine.FindSubmatch(data); text == "" && match != nil {
		text = string(match[1])
	}
	if text == "" {
		return 0, nil
	}
	revision, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, badUse("-base %q is neither a revision nor \"current\"", text)
	}
	return config.Revision(revision), nil
}

// currentRevision returns the revision in force, zero before there is any.
func currentRevision(ctx context.Context, caller *client.Client) (config.Revision, error) {
	record, err := caller.Record(ctx, 0)
	var failure *client.Error
	if errors.As(err, &failure) && failure.Problem != nil && failure.Problem.Code == operator.CodeNotFound {
		return 0, nil
	}
	return record.Revision, err
}
