package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"guavacrank.example/config"
	"guavacrank.example/daemon/operator/client"
)

func getCommand() Command {
	return Command{
		Name:    "get",
		Summary: "Print the configuration in force or an earlier revision",
		Examples: []string{
			"guavacrankctl get > verhaegen.yaml",
			"guavacrankctl get -revision 7",
			"guavacrankctl get -output json",
		},
		Setup: func(flags *flag.FlagSet) Run {
			output := addOutput(flags)
			daemon := addDaemon(flags)
			revision := flags.Uint64("revision", 0, "`number` of an earlier revision; 0 is the one in force")
			return calling(daemon, nil, func(ctx context.Context, env *Environment, caller *client.Client, _ []string) error {
				record, err := caller.Record(ctx, config.Revision(*revision))
				if err != nil {
					return err
				}
				if output.format == "text" {
					_, err := io.WriteString(env.Stdout, withRevision(record))
					return err
				}
				return output.print(env.Stdout, record, nil)
			})
		},
	}
}

// withRevision returns the text with the revision on its first line.
func withRevision(record config.Record) string {
	text := revisionLine.ReplaceAllString(record.YAML, "")
	if text != "" && !strings.HasSuffix(text, "\n") {
		text += "\n"
	}
	return fmt.Sprintf("# revision: %d\n%s", record.Revision, text)
}
