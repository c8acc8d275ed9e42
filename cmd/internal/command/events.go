package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"time"

	"guavacrank.example/daemon/operator"
	"guavacrank.example/daemon/operator/client"
)

// followInterval is the time between two questions for new events.
const followInterval = 500 * time.Millisecond

func eventsCommand() Command {
	return Command{
		Name:    "events",
		Summary: "Print the numbered events of one daemon; docs/EVENTS.md explains them",
		Examples: []string{
			"guavacrankctl events",
			"guavacrankctl events -follow",
			"guavacrankctl events -from 120 -output json",
		},
		Setup: func(flags *flag.FlagSet) Run {
			output := addOutput(flags)
			daemon := addDaemon(flags)
			from := flags.Uint64("from", 1, "`cursor` of the first event")
			follow := flags.Bool("follow", false, "go on with new events until interrupted; as JSON, one event a line")
			return calling(daemon, nil, func(ctx context.Context, env *Environment, caller *client.Client, _ []string) error {
				if *follow {
					return followEvents(ctx, env, output, caller, *from)
				}
				answer, err := caller.Events(ctx, *from, operator.MaxEvents)
				if err != nil {
					return err
				}
				return output.print(env.Stdout, answer, func(w io.Writer) { printEvents(w, answer) })
			})
		},
	}
}

// followEvents prints events as they come, until ctx ends.
func followEvents(ctx context.Context, env *Environment, output *outputFlag, caller *client.Client, from uint64) error {
	for {
		answer, err := caller.Events(ctx, from, operator.MaxEvents)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		if err := writeFollowed(env.Stdout, output.format, answer); err != nil {
			return err
		}
		from = answer.Next
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(followInterval):
		}
	}
}

// writeFollowed writes one part of the stream.
func writeFollowed(w io.Writer, format string, answer operator.Events) error {
	if format != "json" {
		printEvents(w, answer)
		return nil
	}
	encoder := json.NewEncoder(w)
	for _, logged := range answer.Events {
		if err := encoder.Encode(logged); err != nil {
			return err
		}
	}
	return nil
}

func printEvents(w io.Writer, answer operator.Events) {
	if answer.Missed > 0 {
		fmt.Fprintf(w, "(%d earlier events of %s are no longer kept)\n", answer.Missed, answer.VM)
	}
	for _, logged := range answer.Events {
		printEvent(w, logged)
	}
}
