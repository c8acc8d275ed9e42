package command

import (
	"context"
	"flag"
	"io"
	"time"

	"guavacrank.example/config"
	"guavacrank.example/daemon/operator"
	"guavacrank.example/daemon/operator/client"
)

func historyCommand() Command {
	return Command{
		Name:     "history",
		Summary:  "List the kept revisions with author, time and reason, newest first",
		Examples: []string{"guavacrankctl history", "guavacrankctl history -output json"},
		Setup: func(flags *flag.FlagSet) Run {
			return reading(flags, nil, func(ctx context.Context, caller *client.Client, _ []string) (operator.History, error) {
				return caller.History(ctx)
			}, printHistory)
		},
	}
}

func printHistory(w io.Writer, history operator.History) {
	row(w, "REVISION", "TIME", "AUTHOR", "BYTES", "REASON")
	for _, one := range history.Revisions {
		row(w, one.Revision, one.Time.Format(time.RFC3339), one.Author, one.Bytes, one.Reason)
	}
}

func rollbackCommand() Command {
	return Command{
		Name:    "rollback",
		Summary: "Put the text of an earlier revision into force as a new revision",
		Examples: []string{
			"guavacrankctl history",
			"guavacrankctl rollback -to 7 -reason \"late stock checks since revision 8\"",
		},
		Setup: func(flags *flag.FlagSet) Run {
			rollback := &rollbackOptions{changeCommand: addChangeCommand(flags)}
			flags.Uint64Var(&rollback.to, "to", 0, "`revision` to go back to; required")
			flags.Uint64Var(&rollback.base, "base", 0, "`revision` that must be in force (default: the one in force now)")
			return rollback.rollback
		},
	}
}

// rollbackOptions are the flags of rollback.
type rollbackOptions struct {
	*changeCommand
	to   uint64
	base uint64
}

// rollback puts an earlier text into force.
func (o *rollbackOptions) rollback(ctx context.Context, env *Environment, args []string) error {
	if err := arguments(args); err != nil {
		return err
	}
	if o.to == 0 {
		return badUse("no revision to go back to: give -to N")
	}
	return o.run(ctx, env, func(caller *client.Client) (operator.ChangeResponse, error) {
		base, err := o.baseOf(ctx, caller)
		if err != nil {
			return operator.ChangeResponse{}, err
		}
		return caller.Rollback(ctx, operator.RollbackRequest{
			ChangeID: o.change.changeID,
			Base:     base,
			To:       config.Revision(o.to),
			Author:   o.change.author,
			Reason:   o.change.reason,
		})
	})
}

// baseOf returns the revision that must be in force.
func (o *rollbackOptions) baseOf(ctx context.Context, caller *client.Client) (config.Revision, error) {
	if o.base != 0 {
		return config.Revision(o.base), nil
	}
	return currentRevision(ctx, caller)
}
