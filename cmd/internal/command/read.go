package command

import (
	"context"
	"flag"
	"io"

	"guavacrank.example/daemon/operator/client"
)

// reading returns the Run of a command that asks a daemon one thing.
func reading[Answer any](
	flags *flag.FlagSet,
	names []string,
	ask func(ctx context.Context, caller *client.Client, args []string) (Answer, error),
	text func(w io.Writer, answer Answer),
) Run {
	output := addOutput(flags)
	daemon := addDaemon(flags)
	return calling(daemon, names, func(ctx context.Context, env *Environment, caller *client.Client, args []string) error {
		answer, err := ask(ctx, caller, args)
		if err != nil {
			return err
		}
		return output.print(env.Stdout, answer, func(w io.Writer) { text(w, answer) })
	})
}

// calling returns the Run of a command with the named arguments that calls a daemon.
func calling(
	daemon *daemonFlags,
	names []string,
	run func(ctx context.Context, env *Environment, caller *client.Client, args []string) error,
) Run {
	return func(ctx context.Context, env *Environment, args []string) error {
		if err := arguments(args, names...); err != nil {
			return err
		}
		caller, err := daemon.connect(env)
		if err != nil {
			return err
		}
		defer caller.Close()
		return run(ctx, env, caller, args)
	}
}
