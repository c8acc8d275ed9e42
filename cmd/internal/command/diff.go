package command

import (
	"context"
	"flag"
	"fmt"
	"io"

	"guavacrank.example/config"
	"guavacrank.example/config/diff"
	"guavacrank.example/daemon/operator"
)

func diffCommand() Command {
	return Command{
		Name:      "diff",
		Arguments: "FILE [NEWER-FILE]",
		Summary:   "Show what a file would change and what follows, against what is in force or an older file",
		Examples: []string{
			"guavacrankctl diff verhaegen.yaml",
			"guavacrankctl diff verhaegen.yaml verhaegen-new.yaml",
		},
		Setup: func(flags *flag.FlagSet) Run {
			output := addOutput(flags)
			daemon := addDaemon(flags)
			return func(ctx context.Context, env *Environment, args []string) error {
				compare := func() (operator.ChangeResponse, error) { return compareInForce(ctx, env, daemon, args[0]) }
				switch len(args) {
				case 1:
				case 2:
					compare = func() (operator.ChangeResponse, error) { return compareFiles(env, args[0], args[1]) }
				default:
					return badUse("wants one or two files, got %d", len(args))
				}
				result, err := compare()
				if err != nil {
					return err
				}
				return output.print(env.Stdout, result, func(w io.Writer) { printChanges(w, result) })
			}
		},
	}
}

// compareFiles compares two files without a daemon.
func compareFiles(env *Environment, older, newer string) (operator.ChangeResponse, error) {
	before, err := readConfiguration(env, older)
	if err != nil {
		return operator.ChangeResponse{}, err
	}
	after, err := readConfiguration(env, newer)
	if err != nil {
		return operator.ChangeResponse{}, err
	}
	result := operator.ChangeResponse{DryRun: true}
	result.Changes = diff.Compare(before, after)
	result.Consequences = diff.Assess(before, after, nil)
	return result, nil
}

// readConfiguration reads and parses a configuration file.
func readConfiguration(env *Environment, file string) (*config.Configuration, error) {
	data, err := readFile(env, file)
	if err != nil {
		return nil, err
	}
	return config.ParseConfiguration(file, data)
}

// compareInForce asks a daemon what a file would change.
func compareInForce(ctx context.Context, env *Environment, daemon *daemonFlags, file string) (operator.ChangeResponse, error) {
	data, err := readFile(env, file)
	if err != nil {
		return operator.ChangeResponse{}, err
	}
	caller, err := daemon.connect(env)
	if err != nil {
		return operator.ChangeResponse{}, err
	}
	defer caller.Close()
	status, err := caller.History(ctx)
	if err != nil {
		return operator.ChangeResponse{}, err
	}
	request := operator.ApplyRequest{File: file, YAML: string(data), DryRun: true}
	if len(status.Revisions) > 0 {
		request.Base = status.Revisions[0].Revision
	}
	return caller.Apply(ctx, request)
}

// printChanges prints the differences and what follows from them.
func printChanges(w io.Writer, result operator.ChangeResponse) {
	if len(result.Changes) == 0 {
		fmt.Fprintln(w, "no difference")
	}
	for _, change := range result.Changes {
		fmt.Fprintln(w, change)
	}
	if len(result.Consequences) > 0 {
		fmt.Fprintln(w, "\nwhat follows:")
	}
	for _, consequence := range result.Consequences {
		fmt.Fprintln(w, "  "+consequence.String())
	}
}
