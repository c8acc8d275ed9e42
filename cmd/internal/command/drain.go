package command

import (
	"context"
	"flag"

	"guavacrank.example/config"
	"guavacrank.example/daemon/operator"
	"guavacrank.example/daemon/operator/client"
)

func drainCommand(name string, draining bool) Command {
	summary := "Take work away from a backend server that is to stop"
	example := "guavacrankctl drain cat-3 -reason \"kernel update\""
	if !draining {
		summary = "Give work to a draining backend server again"
		example = "guavacrankctl undrain cat-3 -reason \"kernel updated\""
	}
	return Command{
		Name:      name,
		Arguments: "SERVER",
		Summary:   summary,
		Examples:  []string{example},
		Setup: func(flags *flag.FlagSet) Run {
			shared := addChangeCommand(flags)
			return func(ctx context.Context, env *Environment, args []string) error {
				if err := arguments(args, "SERVER"); err != nil {
					return err
				}
				return shared.run(ctx, env, func(caller *client.Client) (operator.ChangeResponse, error) {
					return caller.Drain(ctx, operator.DrainRequest{
						ChangeID: shared.change.changeID,
						Server:   args[0],
						Draining: draining,
						Author:   shared.change.author,
						Reason:   shared.change.reason,
					})
				})
			}
		},
	}
}

func declareLostCommand() Command {
	return Command{
		Name:      "declare-lost",
		Arguments: "server|vm|zone|region NAME",
		Summary:   "Say that something is gone for good, so that what it owned or granted moves without its word",
		Examples: []string{
			"guavacrankctl declare-lost vm entry-4 -reason \"host burnt out, ticket 88\"",
			"guavacrankctl declare-lost zone wallonia-b -reason \"power cut; verified switched off\"",
		},
		Setup: func(flags *flag.FlagSet) Run {
			shared := addChangeCommand(flags)
			return func(ctx context.Context, env *Environment, args []string) error {
				if err := arguments(args, "KIND", "NAME"); err != nil {
					return err
				}
				return shared.run(ctx, env, func(caller *client.Client) (operator.ChangeResponse, error) {
					return caller.DeclareLost(ctx, operator.LostRequest{
						ChangeID: shared.change.changeID,
						Kind:     config.LostKind(args[0]),
						Name:     args[1],
						Author:   shared.change.author,
						Reason:   shared.change.reason,
					})
				})
			}
		},
	}
}
